/**
 * The workers that a process knows: what they publish, what this process has measured, and the choice among them.
 */
export { chooseWorker } from './choose_worker.ts'
export { getSendDelayMs } from './get_send_delay_ms.ts'
export { createFleet } from './create_fleet.ts'
export { findSuccessor } from './find_successor.ts'
export { smooth } from './smooth.ts'
export { stageOf } from './stage_of.ts'
export { Stage, WorkerState } from './_types.ts'
export type { ChooseWorkerOptions } from './choose_worker.ts'
export type { Fleet } from './create_fleet.ts'
export type { EngineStatus, EngineCapacityView, Worker, WorkerEntry } from './_types.ts'
