/**
 * Shared vocabulary of the coordination core: identifiers, outcomes, places and tiers.
 */
export { Outcome } from './outcome.ts'
export { RefusalCode } from './refusal_code.ts'
export { TierClass } from './tier_class.ts'
export { Role } from './role.ts'
export { attemptKey } from './attempt_key.ts'
export type { AttemptRef } from './attempt_key.ts'
export type { Place } from './place.ts'
