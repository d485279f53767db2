/**
 * Routing: the choice of a backend server for new work from hints that may be stale.
 */
export { createDelayEstimate } from './create_delay_estimate.ts'
export type { DelayEstimate } from './create_delay_estimate.ts'
export { createRouter } from './create_router.ts'
export { BackendHealth, NotChosenReason } from './_types.ts'
export type {
  BackendInfo, BackendView, Choice, BackendQuery, BackendPairQuery, PairChoice, Router, RouterOptions, RoutingPolicy, RunnerUp
} from './_types.ts'
