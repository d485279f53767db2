/**
 * Sorts backend servers into those that may get a piece of work and those that may not.
 */
import { BackendHealth, LossReason } from './_types.ts'
import type { BackendView, Choose, RunnerUp } from './_types.ts'

/** Holds the limits that decide on eligibility. */
export interface EligibleOptions {
  nowMs: number
  stallMs: number
  reportStaleMs: number
}

/** Holds the outcome of the sorting. */
export interface Eligible {
  candidates: BackendView[]
  losers: RunnerUp[]
  /** True when a backend server in this role was seen, whatever it serves. */
  roleSeen: boolean
}

function stalled (view: BackendView, options: EligibleOptions): boolean {
  if (view.report === undefined) return false
  if (view.report.stalledMs > options.stallMs) return true
  const silentMs = options.nowMs - view.reportAtMs
  return silentMs > options.reportStaleMs && view.requests > 0
}

const healthReasons: { [K in BackendHealth]: LossReason | undefined } = {
  [BackendHealth.Live]: undefined,
  [BackendHealth.Suspect]: LossReason.Suspect,
  [BackendHealth.Draining]: LossReason.Draining,
  [BackendHealth.Gone]: LossReason.Gone
}

function reasonAgainst (view: BackendView, wanted: Choose, options: EligibleOptions): LossReason | undefined {
  const role = view.report?.role ?? view.info.role
  const serves = view.report?.model ?? view.info.serves
  const version = view.report?.version ?? view.info.version
  if (role !== wanted.role) return LossReason.OtherRole
  if (serves !== wanted.model) return LossReason.OtherModel
  if (wanted.version !== '*' && version !== wanted.version) return LossReason.OtherModel
  if (wanted.region !== undefined && view.info.region !== wanted.region) return LossReason.OtherRegion
  if (wanted.exclude.includes(view.info.name)) return LossReason.Excluded
  if (view.info.weight === 0 || view.report?.draining) return LossReason.Draining
  const reason = healthReasons[view.health]
  if (reason !== undefined) return reason
  return stalled(view, options) ? LossReason.Stalled : undefined
}

/** Sorts the views. Suspect and stalled backend servers are candidates only when no other is left. */
export function eligible (views: Iterable<BackendView>, wanted: Choose, options: EligibleOptions): Eligible {
  const live: BackendView[] = []
  const doubtful: BackendView[] = []
  const losers: RunnerUp[] = []
  let roleSeen = false
  for (const view of views) {
    const reason = reasonAgainst(view, wanted, options)
    if (reason !== LossReason.OtherRole) roleSeen = true
    if (reason === undefined) live.push(view)
    if (reason === LossReason.Suspect || reason === LossReason.Stalled) doubtful.push(view)
    if (reason !== undefined && reason !== LossReason.OtherRole) losers.push({ backend: view.info.name, reason })
  }
  if (live.length > 0 || doubtful.length === 0) return { candidates: live, losers, roleSeen }
  const names = new Set(doubtful.map((view) => view.info.name))
  return { candidates: doubtful, losers: losers.filter((loser) => !names.has(loser.backend)), roleSeen }
}
