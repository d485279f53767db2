/**
 * Graceful shutdown: refuses new work, waits for work in flight, and ends the rest on a second signal.
 */
export { createDrain, DrainEffect, DrainState } from './create_drain.ts'
export type { Drain } from './create_drain.ts'
