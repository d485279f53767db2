/**
 * Limits of each caller's request rate, token rate and concurrency, enforced across entries that share no state.
 */
export { createLimiter } from './create_limiter.ts'
export type { CallerLimits, LimitRefusal, Limiter, LimiterOptions } from './_types.ts'
