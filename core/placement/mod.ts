/**
 * What each engine does: role, model, adapter and version, worked out alike by every agent from records and live hosts.
 */
export { choosePlacement } from './choose_placement.ts'
export { createMoveDecider, MoveKind, MoveReason } from './create_move_decider.ts'
export { createPrefillShareController } from './create_prefill_share_controller.ts'
export type { Assignment, ServingReport, PlacementView } from './_types.ts'
export type { MoveDecision, MoveDecider, MoveDeciderOptions } from './create_move_decider.ts'
export type { PrefillShareController, PrefillShareControllerOptions } from './create_prefill_share_controller.ts'
