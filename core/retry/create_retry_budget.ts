/**
 * A token bucket that limits the load that retries add.
 */

/** Configures a retry budget. */
export interface RetryBudgetOptions {
  /** Number of retries added for each request that succeeds. */
  ratio: number
  /** Number of retries added in each second, regardless of successes. */
  minPerS: number
  /** Highest number of retries in the bucket; 10 by default. */
  capacity?: number
  /** Number of retries in the bucket at the start; those of one second by default. */
  initialRetries?: number
}

/** Limits the number of retries. */
export interface RetryBudget {
  /** Adds `ratio` retries for a request that succeeded. */
  recordSuccess (): void
  /** Takes one retry; false when less than one is left. */
  take (nowMs: number): boolean
  /** Replaces the ratio for later successes. */
  setRatio (ratio: number): void
  /** Returns the number of whole retries that are left. */
  remaining (nowMs: number): number
}

/**
 * Creates a retry budget.
 *
 * Over `t` seconds with `s` successes the budget allows at most `ratio * s + minPerS * (t + 1)` retries, so apart from the constant rate
 * the load grows at most by the factor `1 + ratio`.
 *
 * @param options the ratio, the constant rate in retries per second, and the capacity and initial content of the bucket in retries
 * @returns the budget
 *
 * @example
 * ```ts
 * import { createRetryBudget } from 'briarloom/core/retry'
 *
 * const budget = createRetryBudget({ ratio: 0.5, minPerS: 0 })
 * console.assert(!budget.take(0))
 * budget.recordSuccess()
 * budget.recordSuccess()
 * console.assert(budget.take(0))
 * console.assert(!budget.take(0))
 * ```
 */
export function createRetryBudget (options: RetryBudgetOptions): RetryBudget {
  const { minPerS } = options
  const capacity = options.capacity ?? 10
  let { ratio } = options
  let available = Math.min(capacity, options.initialRetries ?? minPerS)
  let lastMs: number | undefined

  function refill (nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - (lastMs ?? nowMs))
    lastMs = nowMs
    available = Math.min(capacity, available + minPerS * elapsedMs / 1000)
  }

  return {
    recordSuccess () { available = Math.min(capacity, available + ratio) },
    take (nowMs) {
      refill(nowMs)
      if (available < 1) return false
      available -= 1
      return true
    },
    setRatio (newRatio) { ratio = newRatio },
    remaining (nowMs) {
      refill(nowMs)
      return Math.floor(available)
    }
  }
}
