/**
 * The delay that a limit of the request rate, or a hold that has just ended, imposes on a worker's next request.
 */
import type { Worker } from './_types.ts'

/**
 * Returns the time in milliseconds until a worker accepts the next request of this process; 0 when it takes one now.
 *
 * @param worker the worker
 * @param nowMs the time in milliseconds
 * @returns the delay in milliseconds
 *
 * @example
 * ```ts
 * import { createFleet, getSendDelayMs } from 'briarloom/core/fleet'
 *
 * console.assert(createFleet().all().every((worker) => getSendDelayMs(worker, 0) === 0))
 * ```
 */
export function getSendDelayMs (worker: Worker, nowMs: number): number {
  return Math.max(worker.pacer?.delayMs(nowMs) ?? 0, worker.word.hold.delayMs(nowMs))
}
