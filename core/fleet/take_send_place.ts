/**
 * The place of a request in the schedules of its worker.
 */
import type { Worker } from './_types.ts'

/**
 * Takes the next place in the schedules that a worker's limit and the end of its hold impose.
 *
 * @param worker the worker
 * @param nowMs the time in milliseconds
 * @returns the time in milliseconds until the place; 0 when the request may be sent now
 *
 * @example
 * ```ts
 * import { createFleet, takeSendPlace } from 'briarloom/core/fleet'
 *
 * console.assert(createFleet().all().every((worker) => takeSendPlace(worker, 0) === 0))
 * ```
 */
export function takeSendPlace (worker: Worker, nowMs: number): number {
  return Math.max(worker.pacer?.take(nowMs) ?? 0, worker.word.hold.take(nowMs))
}
