/**
 * The division of engines between prefill and decode.
 */
export { chooseStages, StagePolicy } from './choose_stages.ts'
export type { ChooseStagesOptions } from './choose_stages.ts'
