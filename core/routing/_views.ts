/**
 * The table of views that a router holds, one for each backend server.
 */
import { Role } from '../types/mod.ts'
import { freshness } from './_score.ts'
import { BackendHealth } from './_types.ts'
import type { LoadReport } from '../../wire/mod.ts'
import type { BackendInfo, BackendView } from './_types.ts'

const maxPrefixes = 4096
const smoothing = 0.2

interface ViewsOptions {
  prefixStaleMs: number
  reportStaleMs: number
  prefillMsPerToken: number
}

/** Holds the views. */
export interface Views {
  all (): Iterable<BackendView>
  upsert (info: BackendInfo): void
  remove (backend: string): void
  setHealth (backend: string, health: BackendHealth): void
  onLoad (report: LoadReport, nowMs: number): void
  adjustInFlight (backend: string, requests: number, tokens: number): void
  recordPrefixes (backend: string, prefixes: string[], nowMs: number): void
  observePrefill (backend: string, tokens: number, elapsedMs: number): void
  get (backend: string): BackendView | undefined
}

function dropOldPrefixes (view: BackendView, beforeMs: number): void {
  for (const [prefix, seenMs] of view.prefixes) {
    if (seenMs < beforeMs || view.prefixes.size > maxPrefixes) view.prefixes.delete(prefix)
  }
}

/** Creates an empty table. */
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

  function notePrefixes (backend: string, prefixes: string[], nowMs: number): void {
    const view = views.get(backend)
    if (view === undefined) return
    for (const prefix of prefixes) {
      view.prefixes.delete(prefix)
      view.prefixes.set(prefix, nowMs)
    }
    if (view.prefixes.size > maxPrefixes) dropOldPrefixes(view, nowMs - options.prefixStaleMs)
  }

  function onLoad (report: LoadReport, nowMs: number): void {
    const view = views.get(report.backend)
    if (view === undefined) return
    // A restarted agent counts from the start again, so a lower number counts as old only while reports are fresh.
    const fresh = freshness(view, nowMs, options.reportStaleMs) > 0
    if (fresh && view.report !== undefined && report.seq <= view.report.seq) return
    view.report = report
    view.reportAtMs = nowMs
    view.ownRequestsAtReport = view.ownRequests
    view.ownTokensAtReport = view.ownTokens
    // The agent measures the speed of its engine; only a report with a queue carries it.
    if (report.role === Role.Prefill && report.queuedTokens > 0) view.msPerToken = report.waitMs / report.queuedTokens
    notePrefixes(report.backend, report.prefixes, nowMs)
  }

  function count (backend: string, requests: number, tokens: number): void {
    const view = views.get(backend)
    if (view === undefined) return
    view.ownRequests = Math.max(0, view.ownRequests + requests)
    view.ownTokens = Math.max(0, view.ownTokens + tokens)
  }

  function observePrefill (backend: string, tokens: number, elapsedMs: number): void {
    const view = views.get(backend)
    if (view === undefined || tokens <= 0 || elapsedMs < 0) return
    view.msPerToken += smoothing * (elapsedMs / tokens - view.msPerToken)
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
    adjustInFlight: count,
    recordPrefixes: notePrefixes,
    observePrefill,
    get: (backend) => views.get(backend)
  }
}
