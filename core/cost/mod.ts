/**
 * Cost: what requests are likely to cost, what workers still have to do, and where a request of a plain service goes by both.
 */
export { PlacementPolicy } from './_types.ts'
export { chooseByCompletion } from './choose_by_completion.ts'
export { createCostEstimates } from './create_cost_estimates.ts'
export { createLoadSums } from './create_load_sums.ts'
export { createLoadView } from './create_load_view.ts'
export { createUsualDeadline } from './create_usual_deadline.ts'
export { decideSend, getReturnDelayMs, SendDecision } from './decide_send.ts'
export { estimateCompletionMs } from './estimate_completion_ms.ts'
export type { Candidate, LoadEntry, WorkerLoad } from './_types.ts'
export type { ChooseByCompletionOptions, CompletionChoice } from './choose_by_completion.ts'
export type { CostEstimates, CostEstimatesOptions, CostSample } from './create_cost_estimates.ts'
export type { LoadReportData, LoadSums, LoadSumsOptions } from './create_load_sums.ts'
export type { LoadView, SeenLoad } from './create_load_view.ts'
export type { UsualDeadline } from './create_usual_deadline.ts'
export type { SendSituation } from './decide_send.ts'
