/**
 * The choice of a worker for a request that is not a generation.
 */
import { checkSend, SendRank } from './check_send.ts'
import { getSendDelayMs } from './get_send_delay_ms.ts'
import type { Worker } from './_types.ts'

/** Configures the choice of a worker. */
export interface ChooseWorkerOptions {
  nowMs: number
  /** Time in milliseconds for which a worker takes requests after it has said that it leaves. */
  drainMs: number
  /** Estimates the round-trip time in milliseconds to an availability zone. */
  roundTripMs: (zone: string) => number
  /** Identities of workers that must not be chosen. */
  exclude: ReadonlySet<string>
  /** Cost of a failed request in milliseconds; weighs the failure share of a worker. */
  failureMs: number
  /** Returns a number from 0 up to but not including 1; varies the choice among nearly equal workers. */
  random: () => number
}

/**
 * Chooses the worker with the shortest expected response time among those that `checkSend` ranks first.
 *
 * @param workers the workers of the service
 * @param options the time, the round-trip times and the excluded workers
 * @returns the worker, or undefined when all are excluded or take no request at all; it may take one only after a delay
 *
 * @example
 * ```ts
 * import { chooseWorker } from 'briarloom/core/fleet'
 *
 * const options = { nowMs: 0, drainMs: 2500, roundTripMs: () => 1, exclude: new Set<string>(), failureMs: 250, random: Math.random }
 * console.assert(chooseWorker([], options) === undefined)
 * ```
 */
export function chooseWorker (workers: Worker[], options: ChooseWorkerOptions): Worker | undefined {
  const candidates = workers.filter((worker) => !options.exclude.has(worker.entry.id))
  const ranked = candidates.map((worker) => ({ worker, rank: checkSend(worker, options).rank }))
  const bestRank = Math.min(SendRank.Held, ...ranked.map(({ rank }) => rank))
  let best: Worker | undefined
  let shortestMs = Infinity
  for (const { worker, rank } of ranked) {
    if (rank !== bestRank) continue
    // The random increase of up to 5 % spreads requests over workers with nearly equal estimates.
    const expectedMs = estimateResponseMs(worker, options) * (1 + 0.05 * options.random())
    if (expectedMs >= shortestMs) continue
    best = worker
    shortestMs = expectedMs
  }
  return best
}

function estimateResponseMs (worker: Worker, options: ChooseWorkerOptions): number {
  const { entry, inFlight, latencyMs, failureShare } = worker
  const roundTripMs = options.roundTripMs(entry.zone)
  const serviceMs = Math.max(1, latencyMs - roundTripMs)
  return getSendDelayMs(worker, options.nowMs) + roundTripMs + serviceMs * (1 + inFlight / Math.max(1, entry.slots)) + failureShare * options.failureMs
}
