/**
 * The timer service: the only source of time in the project. Parts subscribe to it; tests advance a manual one.
 */
export { createSystemTimer } from './create_system_timer.ts'
export { createManualTimer } from './create_manual_timer.ts'
export type { SystemTimerOptions } from './create_system_timer.ts'
export type { ManualTimer, ManualTimerOptions } from './create_manual_timer.ts'
export type { Subscription, Timer } from './_timer.ts'
