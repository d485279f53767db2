/**
 * The time until a worker has answered one more request.
 */
import type { Candidate } from './_types.ts'

/**
 * Estimates the time until a worker has answered a request that is sent to it now. The requests ahead of it beyond the slots have to be
 * worked off first, at the speed of all slots.
 *
 * @param candidate the worker with what it still has to do
 * @param workMs the work of the request, in milliseconds of a worker of mean speed
 * @returns the time in milliseconds
 *
 * @example
 * ```ts
 * import { estimateCompletionMs } from 'briarloom/core/cost'
 *
 * const idle = { fixedMs: 4, slots: 6, slowness: 2, requests: 0, workMs: 0 }
 * console.assert(estimateCompletionMs(idle, 80) === 164)
 * ```
 */
export function estimateCompletionMs (candidate: Candidate, workMs: number): number {
  const { fixedMs, slots, slowness, requests, workMs: aheadMs } = candidate
  const queued = Math.max(0, requests - slots + 1)
  const queueMs = queued === 0 ? 0 : aheadMs * queued / requests / slots
  return fixedMs + slowness * (queueMs + workMs)
}
