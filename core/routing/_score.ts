/**
 * Scores of backend servers for a request: load, distance and prefix affinity, all in seats.
 */
import { Role } from '../types/mod.ts'
import type { Place } from '../types/mod.ts'
import type { BackendView, BackendQuery } from './_types.ts'

/** Number of prompt tokens that count as much as one busy seat. */
const promptTokensPerSeat = 256
/** Number of seats to which the load of a decode backend server is scaled. */
const referenceSeats = 20
/** Distance to another availability zone of the same region, in seats. */
const otherZoneSeats = 0.25
/** Distance to another region, in seats. */
const otherRegionSeats = 8

/** Holds a score and its parts, all in seats; the lowest score is best. */
export interface ScoredBackend {
  view: BackendView
  load: number
  distance: number
  affinity: number
  /** Load plus distance minus affinity. */
  score: number
}

/** Holds what scoring needs besides the views. */
export interface ScoreContext {
  /** Place of the process that routes. */
  place: Place
  /** Highest affinity, in seats. */
  affinitySeats: number
  /** Age in milliseconds at which a load report is stale. */
  reportStaleMs: number
  /** Age in milliseconds at which a prefix hint is stale. */
  prefixStaleMs: number
  nowMs: number
}

/** Returns the weight of a load report, which falls linearly from 1 when new to 0 at the age `staleMs`; 0 without a report. */
export function freshness (view: BackendView, nowMs: number, staleMs: number): number {
  if (view.report === undefined) return 0
  return Math.max(0, 1 - (nowMs - view.reportAtMs) / staleMs)
}

function countOthersWork (view: BackendView): number {
  if (view.report === undefined) return 0
  if (view.info.role === Role.Prefill) {
    return Math.max(0, view.report.queuedTokens - view.ownTokensAtReport) / promptTokensPerSeat
  }
  return Math.max(0, view.report.seatsUsed - view.ownRequestsAtReport)
}

function countOwnWork (view: BackendView): number {
  return view.info.role === Role.Prefill ? view.ownTokens / promptTokensPerSeat : view.ownRequests
}

function computeDistance (from: Place, to: Place): number {
  if (from.region !== to.region) return otherRegionSeats
  return from.availabilityZone === to.availabilityZone ? 0 : otherZoneSeats
}

function findMatchedShare (view: BackendView, query: BackendQuery, context: ScoreContext): number {
  for (let i = query.prefixes.length - 1; i >= 0; i--) {
    const seenMs = view.prefixes.get(query.prefixes[i] ?? '')
    if (seenMs !== undefined && context.nowMs - seenMs < context.prefixStaleMs) return (i + 1) / query.prefixes.length
  }
  return 0
}

/**
 * Scores each view. As a report ages, the work of other entries that it shows is replaced by the weighted mean over the
 * candidates, so that a backend server that sends no reports looks neither idle nor full.
 */
export function scoreBackends (views: BackendView[], query: BackendQuery, context: ScoreContext): ScoredBackend[] {
  const others = views.map(countOthersWork)
  const weights = views.map((view) => freshness(view, context.nowMs, context.reportStaleMs))
  const weightSum = weights.reduce((sum, weight) => sum + weight, 0)
  const weightedWork = others.reduce((sum, work, i) => sum + work * (weights[i] ?? 0), 0)
  const mean = weightSum > 0 ? weightedWork / weightSum : 0
  return views.map((view, i) => {
    const weight = weights[i] ?? 0
    const work = countOwnWork(view) + (others[i] ?? 0) * weight + mean * (1 - weight)
    const seats = view.report?.seats ?? 0
    const scale = view.info.role !== Role.Prefill && seats > 0 ? referenceSeats / seats : 1
    const load = work * scale / Math.max(view.info.weight, 0.01)
    const distance = computeDistance(context.place, view.info)
    const affinitySeats = findMatchedShare(view, query, context) * (query.prefixTokens ?? query.promptTokens) / promptTokensPerSeat
    const affinity = Math.min(context.affinitySeats, affinitySeats)
    return { view, load, distance, affinity, score: load + distance - affinity }
  })
}
