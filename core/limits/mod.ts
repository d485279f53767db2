/**
 * Limits: requests, tokens and concurrency of each caller, held across entries that share no state.
 */
export { createLimiter } from './create_limiter.ts'
export type { CallerLimits, LimitRefusal, Limiter, LimiterOptions } from './_types.ts'
