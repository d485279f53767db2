/**
 * The decision whether a failed attempt is repeated.
 */
import { Err, Ok } from '../results/mod.ts'
import { Outcome, RefusalCode } from '../types/mod.ts'
import type { Result } from '../results/mod.ts'
import type { RetryBudget } from './create_retry_budget.ts'

const defaultMaxAttempts = 3
const baseDelayMs = 10

/** Describes an attempt that failed. */
export interface FailedAttempt {
  /** What is known about whether the attempt ran. */
  outcome: Outcome
  /** True when running the request twice does no harm. */
  idempotent: boolean
  /** Number of the attempt, counted from 1. */
  attempt: number
  /** Time in milliseconds at which the answer is due. */
  deadlineMs: number
  /** Name of the backend server that the attempt used; empty when none was reached. */
  lastBackend: string
}

/** Configures the decision. */
export interface PlanRetryOptions {
  budget: Pick<RetryBudget, 'take'>
  nowMs: number
  /** Returns a number from 0 up to but not including 1. */
  random: () => number
  /** Highest number of attempts; 3 by default. */
  maxAttempts?: number
  /** Shortest time in milliseconds that an attempt needs; 0 by default. */
  minAttemptMs?: number
}

/** Says how to repeat an attempt. */
export interface RetryPlan {
  attempt: number
  /** Names of backend servers that must not be chosen. */
  exclude: string[]
  /** Time in milliseconds to wait before the attempt. */
  delayMs: number
}

const repeatable: { [K in Outcome]: (failed: FailedAttempt) => boolean } = {
  [Outcome.NotRun]: () => true,
  [Outcome.Unknown]: (failed) => failed.idempotent,
  [Outcome.Done]: () => false
}

/**
 * Decides whether a failed attempt is repeated: only when it certainly did not run or is idempotent, within the
 * deadline, the number of attempts and the budget, and never at the same backend server twice in a row.
 *
 * @param failed the attempt
 * @param options the budget, which is charged when the attempt is repeated, and the time
 * @returns how to repeat the attempt, or the code under which the request ends
 *
 * @example
 * ```ts
 * import { createRetryBudget, shouldRetry } from 'briarloom/core/retry'
 * import { Outcome } from 'briarloom/core/types'
 *
 * const budget = createRetryBudget({ ratio: 1, minPerS: 0 })
 * budget.succeeded()
 * const failed = { outcome: Outcome.Unknown, idempotent: false, attempt: 1, deadlineMs: 900, lastBackend: 'd1' }
 * console.assert(shouldRetry(failed, { budget, nowMs: 0, random: Math.random }).err)
 * ```
 */
export function planRetry (failed: FailedAttempt, options: PlanRetryOptions): Result<RetryPlan, RefusalCode> {
  const { budget, nowMs, random } = options
  if (!repeatable[failed.outcome](failed)) return Err(RefusalCode.BackendError)
  if (failed.attempt >= (options.maxAttempts ?? defaultMaxAttempts)) return Err(RefusalCode.NoCapacity)
  // The first retry goes out at once; later ones back off with full jitter.
  const spreadMs = failed.attempt === 1 ? 0 : baseDelayMs * 2 ** failed.attempt
  const delayMs = Math.floor(random() * spreadMs)
  if (nowMs + delayMs + (options.minAttemptMs ?? 0) >= failed.deadlineMs) return Err(RefusalCode.DeadlineExceeded)
  if (!budget.take(nowMs)) return Err(RefusalCode.RetryBudgetExhausted)
  const exclude = failed.lastBackend === '' ? [] : [failed.lastBackend]
  return Ok({ attempt: failed.attempt + 1, exclude, delayMs })
}
