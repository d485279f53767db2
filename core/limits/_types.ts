/**
 * Types of the limits.
 */
import type { Result } from '../results/mod.ts'
import type { RefusalCode } from '../types/mod.ts'
import type { UsageShare } from '../../wire/mod.ts'

/** Holds the limits of one caller over all entries. */
export interface CallerLimits {
  requestsPerS: number
  tokensPerS: number
  /** Highest number of requests at one time. */
  concurrency: number
}

/** Configures the limits of one entry. */
export interface LimiterOptions {
  /** Name of this entry. */
  entry: string
  /** Incarnation of this entry. */
  incarnation: number
  /** Returns the limits of a caller, or undefined when the caller is not known. */
  getLimits: (caller: string) => CallerLimits | undefined
  /** Time in milliseconds between two calls of `share`; 200 by default. */
  sharePeriodMs?: number
  /** Age in milliseconds at which the usage of another entry counts for nothing; 1000 by default. */
  shareTtlMs?: number
  /** Time in milliseconds for which an unused share may be saved up; 500 by default. */
  burstMs?: number
}

/** Says why a request was refused; it certainly did not run. */
export interface LimitRefusal {
  code: RefusalCode
  /** Time in milliseconds after which a retry makes sense. */
  retryAfterMs: number
}

/** Holds the limits of every caller at one entry. */
export interface Limiter {
  /** Admits a request of about `tokens` tokens, or says why not; an admitted one must be released. */
  admit (caller: string, tokens: number, nowMs: number): Result<void, LimitRefusal>
  /** Replaces the tokens that `admit` counted by those that were used. */
  settleTokens (caller: string, admittedTokens: number, usedTokens: number): void
  /** Counts the end of an admitted request. */
  release (caller: string): void
  /** Returns the message for the other entries; it must be sent every `sharePeriodMs`. */
  createUsageShare (nowMs: number): UsageShare
  /** Takes in the message of another entry. */
  onUsageShare (msg: UsageShare, nowMs: number): void
  /** Takes in the number of live entries, this one included. */
  setEntryCount (liveCount: number): void
}
