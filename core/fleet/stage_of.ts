/**
 * The stage of an engine as far as it is known.
 */
import { Stage } from './_types.ts'
import type { Worker } from './_types.ts'

/**
 * Returns the stage of an engine: what the process beside it says goes before what the store says, which may be older.
 *
 * @param worker the engine
 * @returns its stage; undefined for a worker that is no engine
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
