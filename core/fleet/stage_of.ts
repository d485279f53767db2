/**
 * The stage of an engine.
 */
import { Stage } from './_types.ts'
import type { Worker } from './_types.ts'

/**
 * Returns the stage of an engine. The report of its sidecar takes precedence over its published entry, which may be older.
 *
 * @param worker the engine
 * @returns its stage; undefined for a worker that is not an engine
 *
 * @example
 * ```ts
 * import { createFleet, stageOf } from 'briarloom/core/fleet'
 *
 * console.assert(createFleet().all().map(stageOf).length === 0)
 * ```
 */
export function stageOf (worker: Worker): Stage | undefined {
  if (worker.capacity === undefined) return worker.entry.stage
  return worker.capacity.isPrefill ? Stage.Prefill : Stage.Decode
}
