/**
 * Records what a worker says of itself in an answer.
 */
import type { Fleet, Worker } from '../core/fleet/mod.ts'
import type { Log } from '../log/mod.ts'
import type { ResponseHead } from '../platform/mod.ts'

const msPerS = 1_000
/** Status with which a worker turns a request away. */
const unavailableStatus = 503

/** Configures the recording. */
export interface RecordWordOptions {
  fleet: Fleet
  log: Log
  nowMs: number
  /** Returns a number from 0 up to but not including 1. */
  random: () => number
}

/**
 * Records whether a worker leaves, and for how long it wants no requests.
 *
 * @param worker the worker to which the request went
 * @param head the head of its answer
 * @param options the fleet, the log, the time and a source of randomness
 * @returns true when the worker is known to leave since this answer
 *
 * @example
 * ```ts
 * import { recordWord } from 'briarloom/directory'
 *
 * console.assert(typeof recordWord === 'function')
 * ```
 */
export function recordWord (worker: Worker, head: ResponseHead, options: RecordWordOptions): boolean {
  const { fleet, log, nowMs, random } = options
  const { id, bornMs } = worker.entry
  if (head.status === unavailableStatus && head.retryAfterS !== undefined && head.retryAfterS > 0) {
    const statedMs = head.retryAfterS * msPerS
    const heldMs = fleet.hold(worker, statedMs, nowMs, random)
    const fields = { worker: id, retryAfterMs: Math.round(heldMs) }
    if (heldMs < statedMs) log.warn({ ...fields, statedMs }, 'worker retry after, shortened')
    else log.warn(fields, 'worker retry after')
  }
  if (!head.isLeaving || !fleet.markLeaving({ id, bornMs }, nowMs)) return false
  log.warn({ worker: id, bornMs, status: head.status }, 'worker leaving')
  return true
}
