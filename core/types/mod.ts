/**
 * Types that all modules of the core share: identifiers, outcomes, refusal codes, roles, places and tier classes.
 */
export { Outcome } from './outcome.ts'
export { RefusalCode } from './refusal_code.ts'
export { TierClass } from './tier_class.ts'
export { Role } from './role.ts'
export { attemptKey } from './attempt_key.ts'
export type { AttemptRef } from './attempt_key.ts'
export type { Place } from './place.ts'
