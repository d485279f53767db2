/**
 * The views of a router, one for each backend server.
 */
import { Role } from '../types/mod.ts'
import { freshness } from './_score.ts'
import { BackendHealth } from './_types.ts'
import type { LoadReport } from '../../wire/mod.ts'
import type { BackendInfo, BackendView } from './_types.ts'

/** Highest number of prefixes kept for one backend server. */
const maxPrefixes = 4096
/** Weight of the newest sample in the moving average of the prefill time. */
const newestWeight = 0.2

interface ViewsOptions {
  prefixStaleMs: number
  reportStaleMs: number
  prefillMsPerToken: number
}

/** Holds the views by the name of the backend server; calls for an unknown name have no effect. */
export interface Views {
  all (): Iterable<BackendView>
  upsert (info: BackendInfo): void
  remove (backend: string): void
  setHealth (backend: string, health: BackendHealth): void
  /** Stores a load report unless it is older than the last one. */
  onLoad (report: LoadReport, nowMs: number): void
  /** Adds to the own requests and prompt tokens in flight; negative numbers subtract. */
  adjustInFlight (backend: string, requests: number, tokens: number): void
  recordPrefixes (backend: string, prefixes: string[], nowMs: number): void
  observePrefill (backend: string, tokens: number, elapsedMs: number): void
  get (backend: string): BackendView | undefined
}

function removeOldPrefixes (view: BackendView, beforeMs: number): void {
  for (const [prefix, seenMs] of view.prefixes) {
    if (seenMs < beforeMs || view.prefixes.size > maxPrefixes) view.prefixes.delete(prefix)
  }
}

/** Creates an empty set of views. */
export function createViews (options: ViewsOptions): Views {
  const views = new Map<string, BackendView>()

  function upsert (info: BackendInfo): void {
    const known = views.get(info.name)
    if (known !== undefined) {
      known.info = info
      return
    }
    views.set(info.name, {
      info,
      health: BackendHealth.Live,
      report: undefined,
      reportAtMs: 0,
      ownRequests: 0,
      ownTokens: 0,
      ownRequestsAtReport: 0,
      ownTokensAtReport: 0,
      prefixes: new Map(),
      msPerToken: options.prefillMsPerToken
    })
  }

  function recordPrefixes (backend: string, prefixes: string[], nowMs: number): void {
    const view = views.get(backend)
    if (view === undefined) return
    for (const prefix of prefixes) {
      view.prefixes.delete(prefix)
      view.prefixes.set(prefix, nowMs)
    }
    if (view.prefixes.size > maxPrefixes) removeOldPrefixes(view, nowMs - options.prefixStaleMs)
  }

  function onLoad (report: LoadReport, nowMs: number): void {
    const view = views.get(report.backend)
    if (view === undefined) return
    // A restarted agent numbers its reports from the start, so a lower number means an older report only while the last one is fresh.
    const fresh = freshness(view, nowMs, options.reportStaleMs) > 0
    if (fresh && view.report !== undefined && report.seq <= view.report.seq) return
    view.report = report
    view.reportAtMs = nowMs
    view.ownRequestsAtReport = view.ownRequests
    view.ownTokensAtReport = view.ownTokens
    // The agent derives the wait from the measured speed of its engine, so a report with a queue gives the time for each token.
    if (report.role === Role.Prefill && report.queuedTokens > 0) view.msPerToken = report.waitMs / report.queuedTokens
    recordPrefixes(report.backend, report.prefixes, nowMs)
  }

  function adjustInFlight (backend: string, requests: number, tokens: number): void {
    const view = views.get(backend)
    if (view === undefined) return
    view.ownRequests = Math.max(0, view.ownRequests + requests)
    view.ownTokens = Math.max(0, view.ownTokens + tokens)
  }

  function observePrefill (backend: string, tokens: number, elapsedMs: number): void {
    const view = views.get(backend)
    if (view === undefined || tokens <= 0 || elapsedMs < 0) return
    view.msPerToken += newestWeight * (elapsedMs / tokens - view.msPerToken)
  }

  return {
    all: () => views.values(),
    upsert,
    remove: (backend) => { views.delete(backend) },
    setHealth: (backend, health) => {
      const view = views.get(backend)
      if (view !== undefined) view.health = health
    },
    onLoad,
    adjustInFlight,
    recordPrefixes,
    observePrefill,
    get: (backend) => views.get(backend)
  }
}
