/**
 * The budget that bounds how much load retries add.
 */

/** Configures a retry budget. */
export interface RetryBudgetOptions {
  /** Retries for each request that succeeds, as a share. */
  ratio: number
  /** Retries in each second that are allowed without any success. */
  minPerS: number
  /** Highest number of retries that may be saved up; 10 by default. */
  capacity?: number
  /** Retries that are saved up at the start; those of one second by default. */
  initialRetries?: number
}

/** Bounds retries. */
export interface RetryBudget {
  /** Adds to the budget for a request that succeeded. */
  recordSuccess (): void
  /** Takes one retry out of the budget; false when it is used up. */
  take (nowMs: number): boolean
  /** Replaces the share of retries for later successes. */
  setRatio (ratio: number): void
  /** Returns the number of retries that are left. */
  remaining (nowMs: number): number
}

/**
 * Creates a retry budget.
 *
 * Over `t` seconds with `s` successes it lets through at most `ratio * s + minPerS * (t + 1)` retries, so load grows by
 * the factor `1 + ratio` at most, beside the constant rate.
 *
 * @param options the share of retries, the constant rate and the bound on savings
 * @returns the budget
 *
 * @example
 * ```ts
 * import { createRetryBudget } from 'briarloom/core/retry'
 *
 * const budget = createRetryBudget({ ratio: 0.5, minPerS: 0 })
 * console.assert(!budget.take(0))
 * budget.succeeded()
 * budget.succeeded()
 * console.assert(budget.take(0))
 * console.assert(!budget.take(0))
 * ```
 */
export function createRetryBudget (options: RetryBudgetOptions): RetryBudget {
  const { minPerS } = options
  const maxSaved = options.capacity ?? 10
  let { ratio } = options
  let saved = Math.min(maxSaved, options.initialRetries ?? minPerS)
  let lastMs: number | undefined

  function accrue (nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - (lastMs ?? nowMs))
    lastMs = nowMs
    saved = Math.min(maxSaved, saved + minPerS * elapsedMs / 1000)
  }

  return {
    recordSuccess () { saved = Math.min(maxSaved, saved + ratio) },
    take (nowMs) {
      accrue(nowMs)
      if (saved < 1) return false
      saved -= 1
      return true
    },
    setRatio (next) { ratio = next },
    remaining (nowMs) {
      accrue(nowMs)
      return Math.floor(saved)
    }
  }
}
