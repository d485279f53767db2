/**
 * Types of the allowances that gateways share.
 */
import type { Result } from '../results/mod.ts'
import type { AllowanceLevels, AllowanceReport } from '../../wire/mod.ts'

/** What an organisation may spend, over all gateways together. */
export interface AllowanceLimit {
  /** Units per second. */
  perS: number
  /** Units beyond that rate. */
  burst: number
}

/** How far the sum over all gateways may exceed a limit: in any window, `(perS * window + burst) * (1 + over) + slack` units. */
export interface AllowanceTolerance {
  windowMs: number
  /** Share of the limit. */
  over: number
  /** Units. */
  slack: number
}

/** Configures an exchange point of allowances. */
export interface AllowancePointOptions {
  tolerance: AllowanceTolerance
  /** Returns the limit of an organisation; undefined when it has none. */
  getLimit: (organisation: string) => AllowanceLimit | undefined
}

/** Sums what the gateways report to have spent. */
export interface AllowancePoint {
  /** Applies the report of a gateway and returns the answer; undefined when the report is older than one that was applied. */
  onReport (report: AllowanceReport, nowMs: number): AllowanceLevels | undefined
  /** Returns the number of gateways that have reported lately. */
  countGateways (nowMs: number): number
  /** Returns the level of an organisation; undefined when nothing has been reported of it. */
  getLevel (organisation: string, nowMs: number): number | undefined
}

/** Configures the allowances of one gateway. */
export interface AllowanceSpenderOptions {
  /** Name of this run of the gateway, which no other run has. */
  sender: string
  tolerance: AllowanceTolerance
  /** Returns a number from 0 up to but not including 1. */
  random: () => number
  /** Time in milliseconds at which the gateway started. */
  startMs: number
}

/** Why a request may not be spent now. */
export enum AllowanceRefusal {
  /** The organisation has spent its allowance. */
  Spent = 'allowance_spent',
  /** This gateway has spent its part, and its exchange points do not know of that yet. */
  Unreported = 'allowance_unreported',
  /** This gateway hears too few exchange points and has spent what is set aside for that. */
  Isolated = 'allowance_isolated'
}

/** A request that the allowance of its organisation does not admit. */
export interface AllowanceDenial {
  reason: AllowanceRefusal
  /** Units that are left by what is known here, negative when more is spent; absent while too few exchange points are heard. */
  left?: number
  /** Delay in milliseconds after which the request is likely to be admitted. */
  retryAfterMs: number
}

/** A request that asks for a part of an allowance. */
export interface AllowanceRequest {
  organisation: string
  limit: AllowanceLimit
  /** Units that the request counts. */
  cost: number
  /** Longest delay in milliseconds that the caller honours. */
  maxRetryAfterMs: number
}

/** Spends the allowances of organisations at one gateway. */
export interface AllowanceSpender {
  /** Spends what a request counts, or returns why that may not be spent now. */
  spend (request: AllowanceRequest, nowMs: number): Result<void, AllowanceDenial>
  /** Puts back what was spent for a request that has not run. */
  giveBack (organisation: string, cost: number): void
  /** Sets the names of the exchange points; what is known of others is forgotten. */
  setPoints (points: readonly string[]): void
  /** Returns the report that is due to a point; undefined when none is. `connection` is a number that changes with the connection. */
  createReport (point: string, connection: number, nowMs: number): AllowanceReport | undefined
  /** Applies the answer of a point. */
  onLevels (point: string, msg: AllowanceLevels, nowMs: number): void
  /** Tells whether this gateway hears too few exchange points. */
  isIsolated (nowMs: number): boolean
  /** Returns the age in milliseconds of the oldest level that is in use; Infinity while isolated. */
  levelAgeMs (nowMs: number): number
}
