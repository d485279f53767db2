/**
 * The decision of one agent when its engine changes to the assignment of placement.
 */
import type { ModelRecord } from '../records/mod.ts'
import { rendezvousScore } from '../subset/mod.ts'
import { Role } from '../types/mod.ts'
import { choosePlacement, minDecodeEngines } from './choose_placement.ts'
import type { Assignment, ServingReport, PlacementView } from './_types.ts'

/** Names what an agent does about the assignment of its engine. */
export enum MoveKind {
  /** The engine keeps what it serves. */
  Stay = 'stay',
  /** The engine must change, but not yet. */
  Wait = 'wait',
  /** The engine changes now. */
  Move = 'move'
}

/** Names the reason for a placement decision. */
export enum MoveReason {
  /** The engine already serves its assignment. */
  InPlace = 'in_place',
  /** The engine has no assignment. */
  NotPlaced = 'not_placed',
  /** The assignment has not been stable for long enough. */
  Unsettled = 'unsettled',
  /** Too few other engines are known to serve what this engine would stop serving. */
  KeepsCapacity = 'keeps_capacity',
  /** Engines that rank higher load their weights first. */
  Paced = 'paced',
  /** No reason to wait is left. */
  Due = 'due'
}

/** Describes a decision; the target is absent when the engine has no assignment. */
export interface MoveDecision {
  kind: MoveKind
  reason: MoveReason
  target?: Assignment
}

/** Configures the decisions of one agent. */
export interface MoveDeciderOptions {
  /** Name of the backend server. */
  self: string
  /** Time in milliseconds for which an assignment must be stable; 5000 by default. */
  settleMs?: number
  /** Age in milliseconds up to which a report shows that an engine serves; 5000 by default. */
  reportMaxAgeMs?: number
  /** Rate in bytes per second at which this region can load from the weight store; 1e9 by default. */
  weightStoreBytesPerS?: number
}

/** Decides when one engine changes its assignment. */
export interface MoveDecider {
  /** Decides what to do now; `current` is what the engine serves, `reports` what the other engines report. */
  decide (view: PlacementView, current: Assignment, reports: ServingReport[], nowMs: number): MoveDecision
}

/**
 * Creates the move decider of one agent.
 *
 * An engine stops serving a model and role only while fresh reports show enough others in its availability zone that serve it and rank
 * higher in an order that does not depend on the view. The highest of all therefore never stops, so agents with different views
 * cannot together leave a model unserved. A move also waits until the higher-ranked engines that are about to move have had time to
 * load their weights.
 *
 * @param options the name of the backend server and the limits, in milliseconds and bytes per second
 * @returns the move decider
 *
 * @example
 * ```ts
 * import { createMoveDecider } from 'briarloom/core/placement'
 * import { Role } from 'briarloom/core/types'
 *
 * const decider = createMoveDecider({ self: 'b1' })
 * const current = { role: Role.Decode as const, model: 'm', version: 'a', adapter: '' }
 * const view = { models: [], backends: [], isLive: () => true }
 * console.assert(decider.decide(view, current, [], 0).kind === 'stay')
 * ```
 */
export function createMoveDecider (options: MoveDeciderOptions): MoveDecider {
  const { self, settleMs = 5_000, reportMaxAgeMs = 5_000, weightStoreBytesPerS = 1e9 } = options
  let pending: { key: string, sinceMs: number } | undefined

  function decide (view: PlacementView, current: Assignment, reports: ServingReport[], nowMs: number): MoveDecision {
    const targets = choosePlacement(view)
    const target = targets.get(self)
    const own = view.backends.find((backend) => backend.name === self)
    if (target === undefined || own === undefined) return { kind: MoveKind.Stay, reason: MoveReason.NotPlaced }
    const key = formatAssignment(target)
    if (pending?.key !== key) pending = { key, sinceMs: nowMs }
    if (key === formatAssignment(current)) return { kind: MoveKind.Stay, reason: MoveReason.InPlace, target }
    const freshReports = reports.filter((report) => report.name !== self && !report.draining &&
      report.availabilityZone === own.availabilityZone && nowMs - report.atMs <= reportMaxAgeMs)
    if (nowMs - pending.sinceMs < settleMs) return { kind: MoveKind.Wait, reason: MoveReason.Unsettled, target }
    if (!canStopServing(current, target, view, freshReports)) {
      return { kind: MoveKind.Wait, reason: MoveReason.KeepsCapacity, target }
    }
    const loadDelayMs = estimateLoadDelayMs(view, targets, freshReports, target)
    if (nowMs - pending.sinceMs < settleMs + loadDelayMs) return { kind: MoveKind.Wait, reason: MoveReason.Paced, target }
    return { kind: MoveKind.Move, reason: MoveReason.Due, target }
  }

  function canStopServing (current: Assignment, target: Assignment, view: PlacementView, freshReports: ServingReport[]): boolean {
    const model = view.models.find(({ name }) => name === current.model)
    if (model === undefined) return true
    const minKeepers = current.role === Role.Decode ? minDecodeEngines(model) : Number(model.prefillShare > 0)
    const groupKey = `${current.model}/${current.role}`
    const ownScore = rendezvousScore(groupKey, self)
    const isVersionChange = target.model === current.model && target.role === current.role
    const keepers = freshReports.filter((report) => report.model === current.model && report.role === current.role &&
      // In a rollout of another version, engines that already serve the new version keep the model served.
      (rendezvousScore(groupKey, report.name) > ownScore || (isVersionChange && report.version === target.version)))
    return keepers.length >= minKeepers
  }

  /** Returns the time in milliseconds that the higher-ranked engines which are about to move need to load their weights. */
  function estimateLoadDelayMs (
    view: PlacementView, targets: Map<string, Assignment>, freshReports: ServingReport[], target: Assignment
  ): number {
    const ownScore = rendezvousScore('load', self)
    const earlier = freshReports.filter((report) => {
      const other = targets.get(report.name)
      return other !== undefined && formatAssignment(other) !== formatAssignment({ ...report, adapter: other.adapter } as Assignment) &&
        rendezvousScore('load', report.name) > ownScore
    })
    const bytes = earlier.reduce((sum, { name }) => sum + findWeightBytes(view.models, targets.get(name) ?? target), 0)
    return bytes / weightStoreBytesPerS * 1000
  }

  return { decide }
}

function formatAssignment ({ role, model, version, adapter }: Assignment): string {
  return `${role} ${model} ${version} ${adapter}`
}

function findWeightBytes (models: ModelRecord[], target: Assignment): number {
  const model = models.find(({ name }) => name === target.model)
  return model?.versions.find(({ version }) => version === target.version)?.weightBytes ?? 0
}
