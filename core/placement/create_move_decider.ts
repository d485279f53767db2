/**
 * The decision of one agent when its engine moves to what placement asks for.
 */
import type { ModelRecord } from '../records/mod.ts'
import { rendezvousScore } from '../subset/mod.ts'
import { Role } from '../types/mod.ts'
import { choosePlacement, minDecodeEngines } from './choose_placement.ts'
import type { Assignment, ServingReport, PlacementView } from './_types.ts'

/** Names what an agent does about its placement. */
export enum MoveKind {
  Stay = 'stay',
  Wait = 'wait',
  Move = 'move'
}

/** Names the reason for a placement decision. */
export enum MoveReason {
  /** The engine does what is asked. */
  InPlace = 'in_place',
  /** Placement asks nothing of this engine. */
  NotPlaced = 'not_placed',
  /** The target has not been the same for long enough. */
  Unsettled = 'unsettled',
  /** Too few others are known to serve what this engine would leave. */
  KeepsCapacity = 'keeps_capacity',
  /** Other engines load weights first. */
  Paced = 'paced',
  Due = 'due'
}

/** Describes a decision. */
export interface MoveDecision {
  kind: MoveKind
  reason: MoveReason
  target?: Assignment
}

/** Configures the placement of one agent. */
export interface MoveDeciderOptions {
  /** Name of the backend server. */
  self: string
  /** Time in milliseconds for which a target must stay the same; 5000 by default. */
  settleMs?: number
  /** Age in milliseconds up to which a report proves that an engine serves; 5000 by default. */
  reportMaxAgeMs?: number
  /** Rate of the weight store in bytes a second that is open to this region; 1e9 by default. */
  weightStoreBytesPerS?: number
}

/** Decides for one engine. */
export interface MoveDecider {
  /** Decides what to do now; `current` is what the engine's state says, `reports` what others said. */
  decide (view: PlacementView, current: Assignment, reports: ServingReport[], nowMs: number): MoveDecision
}

/**
 * Creates the placement decisions of one agent.
 *
 * An engine leaves a model and role only while enough others in its availability zone are known from fresh reports to serve it and
 * rank above this engine in an order that does not depend on the view. The highest of all therefore never leaves, so
 * agents with different views cannot leave a model unserved together. A move that loads weights waits until those that rank higher among the moving
 * engines have had time to load.
 *
 * @param options the backend server and the bounds, in milliseconds and bytes a second
 * @returns the decisions
 *
 * @example
 * ```ts
 * import { createPlacement } from 'briarloom/core/placement'
 * import { Role } from 'briarloom/core/types'
 *
 * const placement = createPlacement({ self: 'b1' })
 * const current = { role: Role.Decode as const, model: 'm', version: 'a', adapter: '' }
 * const view = { models: [], backends: [], isLive: () => true }
 * console.assert(placement.decide(view, current, [], 0).kind === 'stay')
 * ```
 */
export function createMoveDecider (options: MoveDeciderOptions): MoveDecider {
  const { self, settleMs = 5_000, reportMaxAgeMs: reportMs = 5_000, weightStoreBytesPerS: storeBytesPerS = 1e9 } = options
  let wanted: { key: string, sinceMs: number } | undefined

  function decide (view: PlacementView, current: Assignment, reports: ServingReport[], nowMs: number): MoveDecision {
    const targets = choosePlacement(view)
    const target = targets.get(self)
    const own = view.backends.find((backend) => backend.name === self)
    if (target === undefined || own === undefined) return { kind: MoveKind.Stay, reason: MoveReason.NotPlaced }
    const key = keyOf(target)
    if (wanted?.key !== key) wanted = { key, sinceMs: nowMs }
    if (key === keyOf(current)) return { kind: MoveKind.Stay, reason: MoveReason.InPlace, target }
    const fresh = reports.filter((report) => report.name !== self && !report.draining &&
      report.availabilityZone === own.availabilityZone && nowMs - report.atMs <= reportMs)
    if (nowMs - wanted.sinceMs < settleMs) return { kind: MoveKind.Wait, reason: MoveReason.Unsettled, target }
    if (!canLeave(current, target, view, fresh)) {
      return { kind: MoveKind.Wait, reason: MoveReason.KeepsCapacity, target }
    }
    const waitMs = paceMs(view, targets, fresh, target)
    if (nowMs - wanted.sinceMs < settleMs + waitMs) return { kind: MoveKind.Wait, reason: MoveReason.Paced, target }
    return { kind: MoveKind.Move, reason: MoveReason.Due, target }
  }

  function canLeave (current: Assignment, target: Assignment, view: PlacementView, fresh: ServingReport[]): boolean {
    const model = view.models.find(({ name }) => name === current.model)
    if (model === undefined) return true
    const needed = current.role === Role.Decode ? minDecodeEngines(model) : Number(model.prefillShare > 0)
    const group = `${current.model}/${current.role}`
    const ownScore = rendezvousScore(group, self)
    const isRoll = target.model === current.model && target.role === current.role
    const keepers = fresh.filter((report) => report.model === current.model && report.role === current.role &&
      // In a roll to another version, those that have rolled already keep the model served.
      (rendezvousScore(group, report.name) > ownScore || (isRoll && report.version === target.version)))
    return keepers.length >= needed
  }

  /** Returns the time that the moving engines which rank higher take to load their weights. */
  function paceMs (view: PlacementView, targets: Map<string, Assignment>, fresh: ServingReport[], target: Assignment): number {
    const ownScore = rendezvousScore('load', self)
    const before = fresh.filter((report) => {
      const other = targets.get(report.name)
      return other !== undefined && keyOf(other) !== keyOf({ ...report, adapter: other.adapter } as Assignment) &&
        rendezvousScore('load', report.name) > ownScore
    })
    const bytes = before.reduce((sum, { name }) => sum + weightBytes(view.models, targets.get(name) ?? target), 0)
    return bytes / storeBytesPerS * 1000
  }

  return { decide }
}

function keyOf ({ role, model, version, adapter }: Assignment): string {
  return `${role} ${model} ${version} ${adapter}`
}

function weightBytes (models: ModelRecord[], target: Assignment): number {
  const model = models.find(({ name }) => name === target.model)
  return model?.versions.find(({ version }) => version === target.version)?.weightBytes ?? 0
}
