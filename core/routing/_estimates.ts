/**
 * Estimates of waits from reported load.
 */
import { TierClass } from '../types/mod.ts'
import { freshness } from './_score.ts'
import type { BackendView } from './_types.ts'

/** Holds what the estimates need beside the view. */
export interface EstimateContext {
  nowMs: number
  reportStaleMs: number
  paidHeadroom: number
  /** Own requests at prefill for each decode backend server, which will soon ask for a seat. */
  expectedReservations: number
}

const leastWaitMs = 1

/** Estimates the time in milliseconds that a reservation waits; 0 when there is room. */
export function estimateReserveWaitMs (view: BackendView, tokens: number, tierClass: TierClass, ctx: EstimateContext): number {
  const { report } = view
  if (report === undefined || freshness(view, ctx.nowMs, ctx.reportStaleMs) === 0) return 0
  const ownSince = Math.max(0, view.ownRequests - view.ownRequestsAtReport)
  const share = tierClass === TierClass.Free ? 1 - ctx.paidHeadroom : 1
  const ahead = ownSince + ctx.expectedReservations
  const pieces = (1 + ahead) * Math.ceil(tokens / Math.max(1, report.tokensPerPiece))
  const hasPieces = report.piecesUsed + pieces <= report.pieces * share
  // Paid work pauses free work when it finds no seat, so only its own queue makes it wait for one.
  const hasSeat = tierClass === TierClass.Paid
    ? report.waitMs === 0
    : report.seatsUsed + ahead + 1 <= report.seats * share
  return hasPieces && hasSeat ? 0 : Math.max(leastWaitMs, report.waitMs)
}

/** Tells whether a prefill backend server would begin work at once. */
export function isIdle (view: BackendView): boolean {
  return (view.report?.queuedTokens ?? 0) === 0 && view.ownTokens <= view.ownTokensAtReport
}

/** Estimates the time in milliseconds until a prefill of `tokens` tokens sent now has finished. */
export function estimatePrefillMs (view: BackendView, tokens: number, tierClass: TierClass, ctx: EstimateContext): number {
  const { report } = view
  const all = report?.queuedTokens ?? 0
  const queued = tierClass === TierClass.Paid ? report?.paidQueuedTokens ?? all : all
  const trust = freshness(view, ctx.nowMs, ctx.reportStaleMs)
  const ownSince = Math.max(0, view.ownTokens - view.ownTokensAtReport)
  return (queued * trust + ownSince + tokens) * view.msPerToken
}
