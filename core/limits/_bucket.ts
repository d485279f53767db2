/**
 * A token bucket whose level may become negative, so that a request larger than the bucket can be admitted.
 */

const msPerS = 1000
const maxRetryAfterMs = 10000

/** A token bucket. */
export interface Bucket {
  /** Adds the amount that accrued at `perS` per second since the last call, up to the capacity `cap`. */
  refill (perS: number, cap: number, nowMs: number): void
  /** Returns whether the bucket holds at least `amount`. */
  canSpend (amount: number): boolean
  /** Takes an amount, even when the bucket holds less; a negative amount is put back. */
  spend (amount: number): void
  /** Returns the amount that the bucket holds; negative after more was taken than it held. */
  level (): number
  /** Sets the amount that the bucket holds. */
  setLevel (amount: number): void
  /** Returns the time in milliseconds until the bucket holds `amount` at `perS` per second, from 1 to 10000. */
  getWaitMs (amount: number, perS: number): number
}

/** Creates a bucket that is full after the first refill, or one that holds `amount` at the time `startMs` in milliseconds. */
export function createBucket (amount = Infinity, startMs = 0): Bucket {
  let available = amount
  let lastMs = startMs
  return {
    refill (perS, cap, nowMs) {
      available = Math.min(cap, available + perS * Math.max(0, nowMs - lastMs) / msPerS)
      lastMs = Math.max(lastMs, nowMs)
    },
    canSpend: (amount) => available >= amount,
    spend (amount) { available -= amount },
    level: () => available,
    setLevel (amount) { available = amount },
    getWaitMs: (amount, perS) => {
      const ms = Math.ceil((amount - available) * msPerS / Math.max(perS, 0.001))
      return Math.min(maxRetryAfterMs, Math.max(1, ms))
    }
  }
}
