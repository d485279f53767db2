/**
 * Scores backend servers for a piece of work: load, distance and prefix affinity, all in seats.
 */
import { Role } from '../types/mod.ts'
import type { Place } from '../types/mod.ts'
import type { BackendView, BackendQuery } from './_types.ts'

const promptTokensPerSeat = 256
const referenceSeats = 20
const otherZoneSeats = 0.25
const otherRegionSeats = 8

/** Holds the parts of a score. */
export interface ScoredBackend {
  view: BackendView
  load: number
  distance: number
  affinity: number
  score: number
}

/** Holds what scoring needs beside the view. */
export interface ScoreContext {
  place: Place
  affinitySeats: number
  reportStaleMs: number
  prefixStaleMs: number
  nowMs: number
}

/** Returns the trust in a load report, from 1 when new to 0 when stale. */
export function freshness (view: BackendView, nowMs: number, staleMs: number): number {
  if (view.report === undefined) return 0
  return Math.max(0, 1 - (nowMs - view.reportAtMs) / staleMs)
}

function othersWork (view: BackendView): number {
  if (view.report === undefined) return 0
  if (view.info.role === Role.Prefill) {
    return Math.max(0, view.report.queuedTokens - view.ownTokensAtReport) / promptTokensPerSeat
  }
  return Math.max(0, view.report.seatsUsed - view.ownRequestsAtReport)
}

function ownWork (view: BackendView): number {
  return view.info.role === Role.Prefill ? view.ownTokens / promptTokensPerSeat : view.ownRequests
}

function distanceSeats (from: Place, to: Place): number {
  if (from.region !== to.region) return otherRegionSeats
  return from.availabilityZone === to.availabilityZone ? 0 : otherZoneSeats
}

function matchedShare (view: BackendView, wanted: BackendQuery, ctx: ScoreContext): number {
  for (let i = wanted.prefixes.length - 1; i >= 0; i--) {
    const seenMs = view.prefixes.get(wanted.prefixes[i] ?? '')
    if (seenMs !== undefined && ctx.nowMs - seenMs < ctx.prefixStaleMs) return (i + 1) / wanted.prefixes.length
  }
  return 0
}

/**
 * Scores each view. The work of other entries in a report that ages moves towards the mean over the candidates, so that
 * a silent backend server looks neither idle nor full.
 */
export function scoreBackends (views: BackendView[], wanted: BackendQuery, ctx: ScoreContext): ScoredBackend[] {
  const others = views.map(othersWork)
  const trust = views.map((view) => freshness(view, ctx.nowMs, ctx.reportStaleMs))
  const trusted = trust.reduce((sum, share) => sum + share, 0)
  const weighed = others.reduce((sum, work, i) => sum + work * (trust[i] ?? 0), 0)
  const mean = trusted > 0 ? weighed / trusted : 0
  return views.map((view, i) => {
    const share = trust[i] ?? 0
    const work = ownWork(view) + (others[i] ?? 0) * share + mean * (1 - share)
    const seats = view.report?.seats ?? 0
    const scale = view.info.role !== Role.Prefill && seats > 0 ? referenceSeats / seats : 1
    const load = work * scale / Math.max(view.info.weight, 0.01)
    const distance = distanceSeats(ctx.place, view.info)
    const savedSeats = matchedShare(view, wanted, ctx) * (wanted.prefixTokens ?? wanted.promptTokens) / promptTokensPerSeat
    const affinity = Math.min(ctx.affinitySeats, savedSeats)
    return { view, load, distance, affinity, score: load + distance - affinity }
  })
}
