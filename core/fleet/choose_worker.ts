/**
 * The choice of a worker of a plain service.
 */
import type { Worker } from './_types.ts'

/** Configures the choice. */
export interface ChooseWorkerOptions {
  nowMs: number
  /** Estimates the time in milliseconds that a message to a zone and back takes. */
  roundTripMs: (zone: string) => number
  /** Identities of workers that are not chosen. */
  exclude: ReadonlySet<string>
  /** Time in milliseconds that a failed request costs. */
  failureMs: number
  /** Returns a number from 0 up to but not including 1; breaks ties. */
  random: () => number
}

/**
 * Chooses the worker that is expected to answer first; those that could not be reached recently come last.
 *
 * @param workers the workers of the service
 * @param options times, distances and the workers to leave out
 * @returns the worker, or undefined when none is left
 *
 * @example
 * ```ts
 * import { chooseWorker } from 'briarloom/core/fleet'
 *
 * const options = { nowMs: 0, roundTripMs: () => 1, exclude: new Set<string>(), failureMs: 250, random: Math.random }
 * console.assert(chooseWorker([], options) === undefined)
 * ```
 */
export function chooseWorker (workers: Worker[], options: ChooseWorkerOptions): Worker | undefined {
  const left = workers.filter((worker) => !options.exclude.has(worker.entry.id))
  const trusted = left.filter((worker) => worker.suspectUntilMs <= options.nowMs)
  let best: Worker | undefined
  let bestMs = Infinity
  for (const worker of trusted.length > 0 ? trusted : left) {
    const expectedMs = estimate(worker, options) * (1 + 0.05 * options.random())
    if (expectedMs >= bestMs) continue
    best = worker
    bestMs = expectedMs
  }
  return best
}

function estimate (worker: Worker, options: ChooseWorkerOptions): number {
  const { entry, inFlight, latencyMs, failureShare: failures } = worker
  const farMs = options.roundTripMs(entry.zone)
  const workMs = Math.max(1, latencyMs - farMs)
  return farMs + workMs * (1 + inFlight / Math.max(1, entry.slots)) + failures * options.failureMs
}
