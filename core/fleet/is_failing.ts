/**
 * Whether an engine has failed its latest streams.
 */
import type { Worker } from './_types.ts'

/**
 * Returns whether an engine is asked only after the others, because it has failed its latest streams.
 *
 * @param worker the engine
 * @param nowMs the time in milliseconds
 * @returns true until the time after its last failure has passed, or a stream of it has succeeded
 *
 * @example
 * ```ts
 * import { createFleet, isFailing } from 'briarloom/core/fleet'
 *
 * console.assert(!createFleet().all().some((worker) => isFailing(worker, 0)))
 * ```
 */
export function isFailing (worker: Worker, nowMs: number): boolean {
  return worker.streamFailures !== undefined && nowMs < worker.streamFailures.untilMs
}
