/**
 * Limits of callers across processes that share no state: request rate, token rate and concurrency, divided between entries by demand, and
 * allowances that gateways spend by what exchange points know of all of them.
 */
export { createAllowancePoint } from './create_allowance_point.ts'
export { createAllowanceSpender } from './create_allowance_spender.ts'
export { getAllowanceTolerance } from './_allowance_terms.ts'
export { createLimiter } from './create_limiter.ts'
export { AllowanceRefusal } from './_allowance_types.ts'
export type {
  AllowanceDenial, AllowanceLimit, AllowancePoint, AllowancePointOptions, AllowanceRequest, AllowanceSpender, AllowanceSpenderOptions,
  AllowanceTolerance
} from './_allowance_types.ts'
export type { StatedTolerance } from './_allowance_terms.ts'
export type { CallerLimits, LimitRefusal, Limiter, LimiterOptions } from './_types.ts'
