/**
 * Types of the limiter.
 */
import type { Result } from '../results/mod.ts'
import type { RefusalCode } from '../types/mod.ts'
import type { UsageShare } from '../../wire/mod.ts'

/** Limits of one caller, for all entries together. */
export interface CallerLimits {
  requestsPerS: number
  tokensPerS: number
  /** Maximum number of requests in flight. */
  concurrency: number
}

/** Options of the limiter of one entry. */
export interface LimiterOptions {
  /** Name of this entry. */
  entry: string
  /** Incarnation of this entry. */
  incarnation: number
  /** Returns the limits of a caller; undefined when the caller is not known. */
  getLimits: (caller: string) => CallerLimits | undefined
  /** Time in milliseconds between two calls of `createUsageShare`; 200 by default. */
  sharePeriodMs?: number
  /** Age in milliseconds at which the usage of another entry expires; 1000 by default. */
  shareTtlMs?: number
  /** Capacity of the token buckets, as the time in milliseconds in which they fill; 500 by default. */
  burstMs?: number
}

/** Reason why a request was refused; a refused request did not run. */
export interface LimitRefusal {
  code: RefusalCode
  /** Time in milliseconds after which a retry makes sense. */
  retryAfterMs: number
}

/** Enforces the limits of every caller at one entry. */
export interface Limiter {
  /** Admits a request of an estimated number of tokens, or returns why it is refused. An admitted request must be released. */
  admit (caller: string, tokens: number, nowMs: number): Result<void, LimitRefusal>
  /** Replaces the estimated tokens of an admitted request by the tokens that it used. */
  settleTokens (caller: string, admittedTokens: number, usedTokens: number): void
  /** Records the end of an admitted request. */
  release (caller: string): void
  /** Ends the current period and returns the message for the other entries. Must be called every `sharePeriodMs`. */
  createUsageShare (nowMs: number): UsageShare
  /** Handles the message of another entry. */
  onUsageShare (msg: UsageShare, nowMs: number): void
  /** Sets the number of live entries, this one included. */
  setEntryCount (liveCount: number): void
}
