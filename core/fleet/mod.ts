/**
 * The workers that a process knows: what they publish, what this process has measured, and the choice among them.
 */
export { checkSend, HoldReason, SendRank } from './check_send.ts'
export { chooseWorker } from './choose_worker.ts'
export { getEarliestSendMs } from './get_earliest_send_ms.ts'
export { getSendDelayMs } from './get_send_delay_ms.ts'
export { createFleet } from './create_fleet.ts'
export { findSuccessor } from './find_successor.ts'
export { isFailing } from './is_failing.ts'
export { smooth } from './smooth.ts'
export { stageOf } from './stage_of.ts'
export { takeSendPlace } from './take_send_place.ts'
export { Stage, WorkerState } from './_types.ts'
export type { CheckSendOptions, SendVerdict } from './check_send.ts'
export type { ChooseWorkerOptions } from './choose_worker.ts'
export type { Fleet, LeavingWorker } from './create_fleet.ts'
export type { EngineStatus, EngineCapacityView, Worker, WorkerEntry, WorkerWord } from './_types.ts'
