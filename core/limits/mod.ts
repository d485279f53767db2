/**
 * Limits: requests, tokens and concurrency of each caller, held across entries that share no state.
 */
export { createLimits } from './create_limits.ts'
export type { CallerLimits, LimitRefusal, Limits, LimitsOptions } from './_types.ts'
