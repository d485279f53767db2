/**
 * Estimates of waiting times from load reports.
 */
import { TierClass } from '../types/mod.ts'
import { freshness } from './_score.ts'
import type { BackendView } from './_types.ts'

/** Holds what the estimates need besides the view. */
export interface EstimateContext {
  nowMs: number
  /** Age in milliseconds at which a load report is stale. */
  reportStaleMs: number
  /** Share of seats and memory that only paid work may use, from 0 to 1. */
  paidHeadroom: number
  /** Number of own requests in prefill for each decode backend server; each will soon reserve a seat. */
  expectedReservations: number
}

/** Lowest estimate when there is no capacity, so that 0 always means free capacity. */
const minWaitMs = 1

/** Estimates the time in milliseconds that a reservation for `tokens` tokens waits; 0 when there is capacity or no fresh report. */
export function estimateReserveWaitMs (view: BackendView, tokens: number, tierClass: TierClass, context: EstimateContext): number {
  const { report } = view
  if (report === undefined || freshness(view, context.nowMs, context.reportStaleMs) === 0) return 0
  const ownSince = Math.max(0, view.ownRequests - view.ownRequestsAtReport)
  const share = tierClass === TierClass.Free ? 1 - context.paidHeadroom : 1
  const ownAhead = ownSince + context.expectedReservations
  const pieces = (1 + ownAhead) * Math.ceil(tokens / Math.max(1, report.tokensPerPiece))
  const hasPieces = report.piecesUsed + pieces <= report.pieces * share
  // Paid work that finds no seat pauses free work, so it waits for a seat only when other paid work is queued.
  const hasSeat = tierClass === TierClass.Paid
    ? report.waitMs === 0
    : report.seatsUsed + ownAhead + 1 <= report.seats * share
  return hasPieces && hasSeat ? 0 : Math.max(minWaitMs, report.waitMs)
}

/** Tells whether a prefill backend server would start new work at once. */
export function isIdle (view: BackendView): boolean {
  return (view.report?.queuedTokens ?? 0) === 0 && view.ownTokens <= view.ownTokensAtReport
}

/** Estimates the time in milliseconds until a prefill of `tokens` tokens that is sent now has finished, its wait included. */
export function estimatePrefillMs (view: BackendView, tokens: number, tierClass: TierClass, context: EstimateContext): number {
  const { report } = view
  const queuedTokens = report?.queuedTokens ?? 0
  const queuedAhead = tierClass === TierClass.Paid ? report?.paidQueuedTokens ?? queuedTokens : queuedTokens
  const freshShare = freshness(view, context.nowMs, context.reportStaleMs)
  const ownSince = Math.max(0, view.ownTokens - view.ownTokensAtReport)
  return (queuedAhead * freshShare + ownSince + tokens) * view.msPerToken
}
