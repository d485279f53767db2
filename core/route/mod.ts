/**
 * Routing rules: the service to which a request goes, and the limits and timeouts of its route.
 */
export { chooseTarget } from './choose_target.ts'
export { compareKeys } from './compare_keys.ts'
export { createRouteTable } from './create_route_table.ts'
export { CallerRefusal, identifyCaller } from './identify_caller.ts'
export { AllowanceUnit, RequestKind } from './_types.ts'
export type { KeyChanges } from './compare_keys.ts'
export type { Caller, Credentials } from './identify_caller.ts'
export type { RouteTable } from './create_route_table.ts'
export type {
  AllowanceRule, ClientLimits, EngineRule, OrganisationRule, RouteRule, RouteTarget, RoutingRules, ServiceRule
} from './_types.ts'
