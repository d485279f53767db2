/**
 * What each engine does: role, model, adapter and version, worked out alike by every agent from records and live hosts.
 */
export { choosePlacement } from './choose_placement.ts'
export { createPlacement, MoveKind, MoveReason } from './create_placement.ts'
export { createRoleBalance } from './create_role_balance.ts'
export type { Assignment, EngineReport, PlacementView } from './_types.ts'
export type { MoveDecision, Placement, PlacementOptions } from './create_placement.ts'
export type { RoleBalance, RoleBalanceOptions } from './create_role_balance.ts'
