/**
 * Routing rules: which service a request goes to, and what its route allows.
 */
export { chooseTarget } from './choose_target.ts'
export { createRouteTable } from './create_route_table.ts'
export { RequestKind } from './_types.ts'
export type { RouteTable } from './create_route_table.ts'
export type { ClientLimits, EngineRule, RouteRule, RouteTarget, RoutingRules, ServiceRule } from './_types.ts'
