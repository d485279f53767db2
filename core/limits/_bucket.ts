/**
 * A token bucket that may go into debt, so that a request larger than the bucket can pass.
 */

const msPerS = 1000
const maxRetryAfterMs = 10000

/** Holds what may be spent. */
export interface Bucket {
  /** Adds what accrued at `perS` since the last call, up to `cap`. */
  refill (perS: number, cap: number, nowMs: number): void
  /** Tells whether an amount may be spent. */
  has (amount: number): boolean
  spend (amount: number): void
  /** Returns the time in milliseconds until the amount may be spent. */
  waitMs (amount: number, perS: number): number
}

/** Creates a bucket that is full at the first refill. */
export function createBucket (): Bucket {
  let level = Infinity
  let lastMs = 0
  return {
    refill (perS, cap, nowMs) {
      level = Math.min(cap, level + perS * Math.max(0, nowMs - lastMs) / msPerS)
      lastMs = Math.max(lastMs, nowMs)
    },
    has: (amount) => level >= amount,
    spend (amount) { level -= amount },
    waitMs: (amount, perS) => {
      const ms = Math.ceil((amount - level) * msPerS / Math.max(perS, 0.001))
      return Math.min(maxRetryAfterMs, Math.max(1, ms))
    }
  }
}
