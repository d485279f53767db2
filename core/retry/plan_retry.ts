/**
 * The decision whether a failed attempt is repeated.
 */
import { Err, Ok } from '../results/mod.ts'
import { Outcome, RefusalCode } from '../types/mod.ts'
import type { Result } from '../results/mod.ts'
import type { RetryBudget } from './create_retry_budget.ts'

const defaultMaxAttempts = 3
/** Base of the exponential backoff: after failed attempt `n`, from the second on, the delay is below `baseDelayMs * 2 ** n`. */
const baseDelayMs = 10

/** Describes an attempt that failed. */
export interface FailedAttempt {
  /** Outcome as far as it is known: whether the attempt ran. */
  outcome: Outcome
  /** True when the request may safely run twice. */
  idempotent: boolean
  /** Number of the attempt, counted from 1. */
  attempt: number
  /** Time in milliseconds at which the response is due. */
  deadlineMs: number
  /** Name of the backend server that the attempt used; empty when none was reached. */
  lastBackend: string
}

/** Configures the decision. */
export interface PlanRetryOptions {
  /** Budget from which a planned retry is taken. */
  budget: Pick<RetryBudget, 'take'>
  nowMs: number
  /** Returns a number from 0 up to but not including 1. */
  random: () => number
  /** Highest number of attempts; 3 by default. */
  maxAttempts?: number
  /** Shortest time in milliseconds that must remain for the attempt; 0 by default. */
  minAttemptMs?: number
}

/** Describes the next attempt. */
export interface RetryPlan {
  /** Number of the attempt, counted from 1. */
  attempt: number
  /** Names of backend servers that must not be chosen. */
  exclude: string[]
  /** Time in milliseconds to wait before the attempt. */
  delayMs: number
}

const canRepeat: { [K in Outcome]: (failed: FailedAttempt) => boolean } = {
  [Outcome.NotRun]: () => true,
  [Outcome.Unknown]: (failed) => failed.idempotent,
  [Outcome.Done]: () => false
}

/**
 * Plans the retry of a failed attempt, if one is allowed.
 *
 * An attempt is repeated only when it did not run or the request is idempotent, within the deadline, the number of attempts and the
 * budget, and never at the same backend server twice in a row.
 *
 * @param failed the failed attempt
 * @param options the budget, from which a planned retry is taken, the time and the limits
 * @returns the next attempt, or the code with which the request ends: `BackendError` when it must not be repeated, `NoCapacity` after
 * the last attempt, `DeadlineExceeded` or `RetryBudgetExhausted`
 *
 * @example
 * ```ts
 * import { createRetryBudget, planRetry } from 'briarloom/core/retry'
 * import { Outcome } from 'briarloom/core/types'
 *
 * const budget = createRetryBudget({ ratio: 1, minPerS: 0 })
 * budget.recordSuccess()
 * const failed = { outcome: Outcome.Unknown, idempotent: false, attempt: 1, deadlineMs: 900, lastBackend: 'd1' }
 * console.assert(planRetry(failed, { budget, nowMs: 0, random: Math.random }).err)
 * ```
 */
export function planRetry (failed: FailedAttempt, options: PlanRetryOptions): Result<RetryPlan, RefusalCode> {
  const { budget, nowMs, random } = options
  if (!canRepeat[failed.outcome](failed)) return Err(RefusalCode.BackendError)
  if (failed.attempt >= (options.maxAttempts ?? defaultMaxAttempts)) return Err(RefusalCode.NoCapacity)
  // The first retry is sent at once; later ones back off exponentially with full jitter.
  const maxDelayMs = failed.attempt === 1 ? 0 : baseDelayMs * 2 ** failed.attempt
  const delayMs = Math.floor(random() * maxDelayMs)
  if (nowMs + delayMs + (options.minAttemptMs ?? 0) >= failed.deadlineMs) return Err(RefusalCode.DeadlineExceeded)
  if (!budget.take(nowMs)) return Err(RefusalCode.RetryBudgetExhausted)
  const exclude = failed.lastBackend === '' ? [] : [failed.lastBackend]
  return Ok({ attempt: failed.attempt + 1, exclude, delayMs })
}
