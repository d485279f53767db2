/**
 * The search for the worker that has taken the place of another one.
 */
import type { WorkerEntry } from './_types.ts'

/**
 * Returns the worker that has taken the place of another one: it started later, under the same identity or at the same address. What
 * the earlier one ran is lost then. That an entry has gone says less, because entries also expire while a worker runs.
 *
 * @param entries the published entries of the workers that are known now
 * @param entry the earlier worker, as it was when it was chosen
 * @returns the later worker; undefined when none is known
 *
 * @example
 * ```ts
 * import { findSuccessor, WorkerState } from 'briarloom/core/fleet'
 *
 * const entry = { id: 'd1', service: 'llm', address: '10.0.0.1:80', zone: 'a', slots: 6, state: WorkerState.Ready, softwareVersion: 'v1', bornMs: 1 }
 * console.assert(findSuccessor([entry], entry) === undefined)
 * console.assert(findSuccessor([{ ...entry, id: 'd9', bornMs: 2 }], entry)?.id === 'd9')
 * ```
 */
export function findSuccessor (entries: readonly WorkerEntry[], entry: WorkerEntry): WorkerEntry | undefined {
  if (entry.bornMs === 0) return undefined // It did not publish its start.
  return entries.find((other) => other.bornMs > entry.bornMs && (other.id === entry.id || other.address === entry.address))
}
