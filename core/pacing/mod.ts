/**
 * Pacing: spaces the requests of one process to a worker that limits the rate of all processes together.
 */
export { createHold } from './create_hold.ts'
export { createPacer } from './create_pacer.ts'
export type { Hold } from './create_hold.ts'
export type { Pacer, PacerOptions } from './create_pacer.ts'
