/**
 * A hold of the requests of one process to a worker that wants none for a time, and their gradual return afterwards.
 */

/** Holds requests back until a time, and spaces those that follow it. */
export interface Hold {
  /** Holds requests back until `untilMs` at least; an earlier time than one named before has no effect. */
  extend (untilMs: number): void
  /** Returns the time in milliseconds until which no request may be sent; -Infinity before the first hold. */
  untilMs (): number
  /** Returns the time in milliseconds until the next request may be sent; 0 when it may be sent now. */
  delayMs (nowMs: number): number
  /** Takes the next place in the schedule and returns the time in milliseconds until it. */
  take (nowMs: number): number
}

/** Longest time in milliseconds after the hold until the first request, chosen at random so that processes do not return together. */
const returnJitterMs = 100
/** Time in milliseconds between the first two requests after the hold. */
const firstIntervalMs = 100
/** Each interval is this share of the one before it: 14 requests take 480 ms. */
const intervalShare = 0.8
/** Requests are spaced no longer when the interval in milliseconds falls below this one. */
const minIntervalMs = 5

/**
 * Creates a hold that holds nothing back yet.
 *
 * @param random returns a number from 0 up to but not including 1
 * @returns the hold
 *
 * @example
 * ```ts
 * import { createHold } from 'briarloom/core/pacing'
 *
 * const hold = createHold(() => 0)
 * hold.extend(1500)
 * console.assert(hold.delayMs(500) === 1000)
 * ```
 */
export function createHold (random: () => number): Hold {
  let untilMs = -Infinity
  let nextMs = -Infinity
  /** 0 while requests are not spaced. */
  let intervalMs = 0

  return {
    extend (next) {
      if (next <= untilMs) return
      untilMs = next
      nextMs = next + returnJitterMs * random()
      intervalMs = firstIntervalMs
    },
    untilMs: () => untilMs,
    delayMs: (nowMs) => intervalMs === 0 ? 0 : Math.max(0, nextMs - nowMs),
    take (nowMs) {
      if (intervalMs === 0) return 0
      const atMs = Math.max(nowMs, nextMs)
      nextMs = atMs + intervalMs
      intervalMs = intervalMs * intervalShare < minIntervalMs ? 0 : intervalMs * intervalShare
      return atMs - nowMs
    }
  }
}
