/**
 * Clock and scheduler of a process, and the only source of time in the project. Production code uses a system timer; tests use
 * a manual timer, which moves only when they advance it.
 */
export { createSystemTimer } from './create_system_timer.ts'
export { createManualTimer } from './create_manual_timer.ts'
export type { SystemTimerOptions } from './create_system_timer.ts'
export type { ManualTimer, ManualTimerOptions } from './create_manual_timer.ts'
export type { Subscription, Timer } from './_timer.ts'
