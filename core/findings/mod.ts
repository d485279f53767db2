/**
 * Checks of a configuration before it is sent, and its comparison with the one in force.
 */
export { checkRecords } from './check_records.ts'
export { checkRoutingRules } from './check_routing_rules.ts'
export { compareRecords } from './compare_records.ts'
export { checkSuccession, compareRoutingRules } from './compare_routing_rules.ts'
export { ChangeKind, FindingLevel } from './_types.ts'
export type { Difference, Finding } from './_types.ts'
