/**
 * The earliest time at which one of several workers takes a request.
 */
import { checkSend, SendRank } from './check_send.ts'
import type { CheckSendOptions } from './check_send.ts'
import type { Worker } from './_types.ts'

/**
 * Returns the time in milliseconds until one of the workers takes a request.
 *
 * @param workers the workers
 * @param options the time and what is known of the request
 * @returns the delay in milliseconds; 0 when one takes it now, undefined when none takes it at any known time
 *
 * @example
 * ```ts
 * import { getEarliestSendMs } from 'briarloom/core/fleet'
 *
 * console.assert(getEarliestSendMs([], { nowMs: 0, drainMs: 2500 }) === undefined)
 * ```
 */
export function getEarliestSendMs (workers: readonly Worker[], options: CheckSendOptions): number | undefined {
  const verdicts = workers.map((worker) => checkSend(worker, options)).filter(({ rank }) => rank !== SendRank.Never)
  if (verdicts.length === 0) return undefined
  return Math.min(...verdicts.map(({ rank, untilMs }) => rank === SendRank.Leaving ? 0 : Math.max(0, untilMs - options.nowMs)))
}
