/**
 * The selection of the backend servers that may receive a request.
 */
import { BackendHealth, NotChosenReason } from './_types.ts'
import type { BackendView, BackendQuery, RunnerUp } from './_types.ts'

/** Configures the selection. */
export interface EligibleOptions {
  nowMs: number
  /** Time in milliseconds without progress after which a backend server counts as stalled. */
  stallMs: number
  /** Age in milliseconds at which a load report is stale. */
  reportStaleMs: number
}

/** Holds the result of the selection. */
export interface Eligible {
  /** Backend servers to choose from. */
  candidates: BackendView[]
  /** Backend servers of the wanted role that were rejected, with the reason. */
  rejected: RunnerUp[]
  /** True when a backend server with the wanted role is known, whatever it serves. */
  hasRole: boolean
}

function isStalled (view: BackendView, options: EligibleOptions): boolean {
  if (view.report === undefined) return false
  if (view.report.stalledMs > options.stallMs) return true
  const silentMs = options.nowMs - view.reportAtMs
  return silentMs > options.reportStaleMs && view.ownRequests > 0
}

const rejectionByHealth: { [K in BackendHealth]: NotChosenReason | undefined } = {
  [BackendHealth.Live]: undefined,
  [BackendHealth.Suspect]: NotChosenReason.Suspect,
  [BackendHealth.Draining]: NotChosenReason.Draining,
  [BackendHealth.Gone]: NotChosenReason.Gone
}

function findRejection (view: BackendView, query: BackendQuery, options: EligibleOptions): NotChosenReason | undefined {
  const role = view.report?.role ?? view.info.role
  const serves = view.report?.model ?? view.info.serves
  const version = view.report?.version ?? view.info.version
  if (role !== query.role) return NotChosenReason.OtherRole
  if (serves !== query.model) return NotChosenReason.OtherModel
  if (query.version !== '*' && version !== query.version) return NotChosenReason.OtherModel
  if (query.region !== undefined && view.info.region !== query.region) return NotChosenReason.OtherRegion
  if (query.exclude.includes(view.info.name)) return NotChosenReason.Excluded
  if (view.info.weight === 0 || view.report?.draining) return NotChosenReason.Draining
  const reason = rejectionByHealth[view.health]
  if (reason !== undefined) return reason
  return isStalled(view, options) ? NotChosenReason.Stalled : undefined
}

/** Selects the candidates for a query. Suspect and stalled backend servers are candidates only when there are no others. */
export function selectEligible (views: Iterable<BackendView>, query: BackendQuery, options: EligibleOptions): Eligible {
  const live: BackendView[] = []
  const fallbacks: BackendView[] = []
  const rejected: RunnerUp[] = []
  let hasRole = false
  for (const view of views) {
    const reason = findRejection(view, query, options)
    if (reason !== NotChosenReason.OtherRole) hasRole = true
    if (reason === undefined) live.push(view)
    if (reason === NotChosenReason.Suspect || reason === NotChosenReason.Stalled) fallbacks.push(view)
    if (reason !== undefined && reason !== NotChosenReason.OtherRole) rejected.push({ backend: view.info.name, reason })
  }
  if (live.length > 0 || fallbacks.length === 0) return { candidates: live, rejected, hasRole }
  const names = new Set(fallbacks.map((view) => view.info.name))
  return { candidates: fallbacks, rejected: rejected.filter((other) => !names.has(other.backend)), hasRole }
}
