/**
 * A pacer for the requests of one process to one worker.
 */

/** Configures a pacer. */
export interface PacerOptions {
  /** Returns the number of processes that share the limit, at least 1. */
  memberCount: () => number
  /** Returns a number from 0 up to but not including 1. */
  random: () => number
  /** Time in milliseconds whose requests may be sent together after a time without any; 0 by default, so that requests are spaced evenly. */
  burstMs?: number
}

/** Spaces requests at this process's share of a limit. */
export interface Pacer {
  /** Sets the limit that the worker names now, in requests per second of all processes together. */
  setLimit (limitPerS: number): void
  /** Returns the limit in requests per second of all processes together. */
  limitPerS (): number
  /** Returns the time in milliseconds until the next request may be sent; 0 when it may be sent now. */
  delayMs (nowMs: number): number
  /** Takes the next place in the schedule and returns the time in milliseconds until it. */
  take (nowMs: number): number
}

/** Longest time in milliseconds between two requests: also a worker that accepts none is asked now and then whether its limit has ended. */
const maxIntervalMs = 60_000
const msPerS = 1_000

/**
 * Creates a pacer. The first request waits for a random part of the interval, so that processes that learn a limit together do not
 * send together.
 *
 * @param limitPerS requests per second that the worker accepts from all processes together
 * @param nowMs the time in milliseconds
 * @param options the number of processes and a source of randomness
 * @returns the pacer
 *
 * @example
 * ```ts
 * import { createPacer } from 'briarloom/core/pacing'
 *
 * const pacer = createPacer(2, 0, { memberCount: () => 4, random: () => 0 })
 * console.assert(pacer.take(0) === 0)
 * console.assert(pacer.delayMs(500) === 1500)
 * ```
 */
export function createPacer (limitPerS: number, nowMs: number, options: PacerOptions): Pacer {
  const { memberCount, random, burstMs = 0 } = options
  let limit = limitPerS
  let lastMs = nowMs - intervalMs() * (1 - random())

  function intervalMs (): number {
    return Math.min(maxIntervalMs, msPerS * Math.max(1, memberCount()) / limit)
  }

  /** Returns the place after the last one taken; a change of the limit or of the number of processes moves it. */
  function nextMs (now: number): number {
    return Math.max(now - burstMs, lastMs + intervalMs())
  }

  return {
    setLimit (next) { limit = next },
    limitPerS: () => limit,
    delayMs: (now) => Math.max(0, nextMs(now) - now),
    take (now) {
      lastMs = nextMs(now)
      return Math.max(0, lastMs - now)
    }
  }
}
