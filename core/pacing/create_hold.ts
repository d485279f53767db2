/**
 * A hold of the requests of one process to a worker that wants none for a time, and their gradual return afterwards.
 */

/** Holds requests back until a time, and spaces those that follow it. */
export interface Hold {
  /**
   * Holds requests back until `untilMs` at least; an earlier time than one named before has no effect. `jitter`, from 0 up to but not
   * including 1, is chosen at random so that processes do not return together.
   */
  extend (untilMs: number, jitter: number): void
  /** Returns the time in milliseconds until which no request may be sent; -Infinity before the first hold. */
  untilMs (): number
  /** Returns the time in milliseconds until the next request may be sent; 0 when it may be sent now. */
  delayMs (nowMs: number): number
  /** Takes the next place in the schedule and returns the time in milliseconds until it. */
  take (nowMs: number): number
}

/** Longest time in milliseconds after the hold until the first request. */
const returnJitterMs = 100
/** Time in milliseconds between the first two requests after the hold. */
const firstIntervalMs = 100
/** Each interval is this share of the one before it: 14 requests take 480 ms. */
const intervalShare = 0.8
/** Shortest interval in milliseconds; requests are spaced no longer when none has had to wait for it. */
const minIntervalMs = 5

/**
 * Creates a hold that holds nothing back yet.
 *
 * @returns the hold
 *
 * @example
 * ```ts
 * import { createHold } from 'briarloom/core/pacing'
 *
 * const hold = createHold()
 * hold.extend(1500, 0)
 * console.assert(hold.delayMs(500) === 1000)
 * ```
 */
export function createHold (): Hold {
  let untilMs = -Infinity
  let nextMs = -Infinity
  /** 0 while requests are not spaced. */
  let intervalMs = 0

  return {
    extend (next, jitter) {
      if (next <= untilMs) return
      untilMs = next
      nextMs = next + returnJitterMs * jitter
      intervalMs = firstIntervalMs
    },
    untilMs: () => untilMs,
    delayMs: (nowMs) => Math.max(0, nextMs - nowMs),
    take (nowMs) {
      const atMs = Math.max(nowMs, nextMs)
      if (intervalMs === minIntervalMs && atMs === nowMs) intervalMs = 0
      nextMs = atMs + intervalMs
      if (intervalMs > 0) intervalMs = Math.max(minIntervalMs, intervalMs * intervalShare)
      return atMs - nowMs
    }
  }
}
