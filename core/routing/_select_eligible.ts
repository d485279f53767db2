/**
 * Sorts backend servers into those that may get a piece of work and those that may not.
 */
import { BackendHealth, NotChosenReason } from './_types.ts'
import type { BackendView, BackendQuery, RunnerUp } from './_types.ts'

/** Holds the limits that decide on eligibility. */
export interface EligibleOptions {
  nowMs: number
  stallMs: number
  reportStaleMs: number
}

/** Holds the outcome of the sorting. */
export interface Eligible {
  candidates: BackendView[]
  rejected: RunnerUp[]
  /** True when a backend server in this role was seen, whatever it serves. */
  hasRole: boolean
}

function stalled (view: BackendView, options: EligibleOptions): boolean {
  if (view.report === undefined) return false
  if (view.report.stalledMs > options.stallMs) return true
  const silentMs = options.nowMs - view.reportAtMs
  return silentMs > options.reportStaleMs && view.ownRequests > 0
}

const healthReasons: { [K in BackendHealth]: NotChosenReason | undefined } = {
  [BackendHealth.Live]: undefined,
  [BackendHealth.Suspect]: NotChosenReason.Suspect,
  [BackendHealth.Draining]: NotChosenReason.Draining,
  [BackendHealth.Gone]: NotChosenReason.Gone
}

function reasonAgainst (view: BackendView, wanted: BackendQuery, options: EligibleOptions): NotChosenReason | undefined {
  const role = view.report?.role ?? view.info.role
  const serves = view.report?.model ?? view.info.serves
  const version = view.report?.version ?? view.info.version
  if (role !== wanted.role) return NotChosenReason.OtherRole
  if (serves !== wanted.model) return NotChosenReason.OtherModel
  if (wanted.version !== '*' && version !== wanted.version) return NotChosenReason.OtherModel
  if (wanted.region !== undefined && view.info.region !== wanted.region) return NotChosenReason.OtherRegion
  if (wanted.exclude.includes(view.info.name)) return NotChosenReason.Excluded
  if (view.info.weight === 0 || view.report?.draining) return NotChosenReason.Draining
  const reason = healthReasons[view.health]
  if (reason !== undefined) return reason
  return stalled(view, options) ? NotChosenReason.Stalled : undefined
}

/** Sorts the views. Suspect and stalled backend servers are candidates only when no other is left. */
export function selectEligible (views: Iterable<BackendView>, wanted: BackendQuery, options: EligibleOptions): Eligible {
  const live: BackendView[] = []
  const doubtful: BackendView[] = []
  const losers: RunnerUp[] = []
  let roleSeen = false
  for (const view of views) {
    const reason = reasonAgainst(view, wanted, options)
    if (reason !== NotChosenReason.OtherRole) roleSeen = true
    if (reason === undefined) live.push(view)
    if (reason === NotChosenReason.Suspect || reason === NotChosenReason.Stalled) doubtful.push(view)
    if (reason !== undefined && reason !== NotChosenReason.OtherRole) losers.push({ backend: view.info.name, reason })
  }
  if (live.length > 0 || doubtful.length === 0) return { candidates: live, rejected: losers, hasRole: roleSeen }
  const names = new Set(doubtful.map((view) => view.info.name))
  return { candidates: doubtful, rejected: losers.filter((loser) => !names.has(loser.backend)), hasRole: roleSeen }
}
