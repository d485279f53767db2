/**
 * Decides what the agent's engine should serve and sends it orders, one fenced order at a time.
 */
import { createFence, createOrderSequencer, OrderEffectKind } from '../core/fence/mod.ts'
import { createMoveDecider, MoveKind, MoveReason } from '../core/placement/mod.ts'
import { PlacementPolicy, RecordKind } from '../core/records/mod.ts'
import { rendezvousScore } from '../core/subset/mod.ts'
import { Role } from '../core/types/mod.ts'
import { DecisionKind } from '../log/mod.ts'
import { Metric } from '../metrics/mod.ts'
import type { OrderEffect } from '../core/fence/mod.ts'
import type { Assignment, ServingReport, MoveDecision } from '../core/placement/mod.ts'
import type { BackendRecord } from '../core/records/mod.ts'
import type { DaemonBase, WantedPeer } from '../daemon/mod.ts'
import type { EngineAdapter, EngineState } from '../engine/mod.ts'
import type { Peer } from '../peer/mod.ts'
import type { LoadReport } from '../wire/mod.ts'

/** Configures the task. */
export interface PlacementTaskOptions {
  base: DaemonBase
  self: string
  engine: EngineAdapter
  leaseMs: number
  /** Returns the engine's last known state. */
  state: () => EngineState | undefined
  /** Receives each state that is read before or after an order; it is newer than the last poll. */
  onState: (state: EngineState) => void
  /** Returns the number of units of work in flight. */
  countInFlight: () => number
  /** Called when a change of assignment begins or ends; the agent takes no new work in between. */
  onMoving: (isMoving: boolean) => void
}

/** Decides the assignment of one engine. */
export interface PlacementTask {
  /** Records what another agent's engine serves, by that agent's load report. */
  onLoad (peer: Peer, report: LoadReport): void
  status (): Record<string, unknown>
  close (): void
}

const decisionPeriodMs = 1000
const rereadDelayMs = 500

/** Time in milliseconds after a pause in which no order is sent, so that peers can update the configuration first. */
const pauseGraceMs = 3000

/** Largest number of agents of the same availability zone that this agent connects to for their load reports. */
const maxNeighbours = 6

/**
 * Creates the task.
 */
export function createPlacementTask (options: PlacementTaskOptions): PlacementTask {
  const { base, self, engine } = options
  const { timer, config, members, log, metrics } = base
  const placement = createMoveDecider({ self })
  const fence = createFence({ revision: config.revision(), engineFence: 0, incarnation: base.incarnation })
  const sequencer = createOrderSequencer({ fence })
  const reports = new Map<string, ServingReport>()
  let lastLoggedText = ''
  let isMoving = false
  let ordersFromMs = 0
  let ordered: Assignment | undefined

  /** Decides by the record of this backend server alone. */
  function decideByRecord (ownRecord: BackendRecord): MoveDecision {
    const versions = config.get(RecordKind.Model, ownRecord.serves)?.versions ?? []
    const adapter = versions.find((item) => item.version === ownRecord.version)?.adapter
    if (ownRecord.role === Role.Service || adapter === undefined) return { kind: MoveKind.Stay, reason: MoveReason.NotPlaced }
    const target: Assignment = { role: ownRecord.role, model: ownRecord.serves, version: ownRecord.version, adapter }
    return { kind: MoveKind.Move, reason: MoveReason.Due, target }
  }

  /** Decides by all records, the live members and the load reports of other agents. */
  function decideByFleet (current: Assignment): MoveDecision {
    const view = {
      models: config.list(RecordKind.Model),
      backends: config.list(RecordKind.Backend),
      isLive: (name: string) => name === self || members.acceptsWork(name, true)
    }
    return placement.decide(view, current, [...reports.values()], timer.now())
  }

  const deciders: { [P in PlacementPolicy]: (ownRecord: BackendRecord, current: Assignment) => MoveDecision } = {
    [PlacementPolicy.Records]: decideByRecord,
    [PlacementPolicy.Balanced]: (ownRecord, current) => {
      connectNeighbours(ownRecord, current)
      return decideByFleet(current)
    }
  }

  /** Connects to agents of the zone, whose reports show whether the model and role stay served when this engine moves. */
  function connectNeighbours (ownRecord: BackendRecord, current: Assignment): void {
    const group = `${current.model}/${current.role}`
    const others = config.list(RecordKind.Backend).filter((item) => {
      return item.name !== self && item.role !== Role.Service && item.availabilityZone === ownRecord.availabilityZone
    })
    others.sort((a, b) => rendezvousScore(group, b.name) - rendezvousScore(group, a.name))
    const wanted: WantedPeer[] = others.slice(0, maxNeighbours).map((item) => ({ name: item.name, address: item.agent }))
    base.connectionManager.setWanted('placement', wanted)
  }

  function isServing (state: EngineState, target: Assignment): boolean {
    const { role, model, version, adapter } = state
    return role === target.role && model === target.model && version === target.version && adapter === target.adapter
  }

  /** Logs a decision unless it equals the last one logged. */
  function logDecision (decision: MoveDecision): void {
    const { target, reason, kind } = decision
    const text = target === undefined
      ? reason
      : `${kind} ${reason}: ${target.role} ${target.model}@${target.version} adapter "${target.adapter}"`
    if (text === lastLoggedText) return
    lastLoggedText = text
    log.decision({ kind: DecisionKind.Placement, chosen: self, runnersUp: [], revision: config.revision(), reason: text })
  }

  function setMoving (next: boolean): void {
    if (next === isMoving) return
    isMoving = next
    options.onMoving(next)
  }

  function decide (): void {
    const state = options.state()
    const ownRecord = config.get(RecordKind.Backend, self)
    if (state === undefined || ownRecord === undefined) return
    const policy = config.get(RecordKind.Policy, 'default')?.placement ?? PlacementPolicy.Records
    const current = { role: state.role, model: state.model, version: state.version, adapter: state.adapter } as Assignment
    const decision = deciders[policy](ownRecord, current)
    const isDone = decision.target !== undefined && isServing(state, decision.target)
    if (isDone) ordered = decision.target
    if (decision.kind !== MoveKind.Move || decision.target === undefined || isDone) {
      setMoving(false)
      return
    }
    logDecision(decision)
    setMoving(true)
    // Work in flight ends first, because an order may clear the engine's memory.
    if (options.countInFlight() > 0) return
    fence.observe({ revision: config.revision() })
    perform(sequencer.setTarget(decision.target))
  }

  async function readState (readId: number): Promise<void> {
    const state = await engine.readState()
    if (state.ok) options.onState(state.val)
    perform(state.ok ? sequencer.onState(readId, state.val) : sequencer.onReadFailed(readId))
  }

  type Performers = { [K in OrderEffectKind]: (effect: Extract<OrderEffect, { kind: K }>) => void }

  const performers: Performers = {
    [OrderEffectKind.ReadState]: ({ readId }) => { readState(readId) },
    [OrderEffectKind.ReadStateLater]: ({ readId }) => { timer.after(rereadDelayMs, () => { readState(readId) }) },
    [OrderEffectKind.SendOrder]: async ({ order }) => {
      // The target may come from the configuration before a pause; waits until peers have sent what changed since.
      if (timer.now() < ordersFromMs) {
        timer.after(rereadDelayMs, () => perform(sequencer.onOrderAnswered()))
        return
      }
      const response = await engine.sendOrder(order)
      const result = response.ok ? 'answered' : response.val.kind
      metrics.count(Metric.Orders, 1, { result })
      log.info({ order, result }, 'order to the engine')
      perform(sequencer.onOrderAnswered())
    },
    [OrderEffectKind.InForce]: ({ target }) => {
      ordered = target as Assignment
      setMoving(false)
      log.info({ target }, 'order in force')
    }
  }

  function perform (effects: OrderEffect[]): void {
    for (const effect of effects) {
      const performer = performers[effect.kind] as (effect: OrderEffect) => void
      performer(effect)
    }
  }

  const decisions = timer.every(decisionPeriodMs, decide)
  const pauses = timer.onPause(options.leaseMs, () => {
    ordersFromMs = timer.now() + pauseGraceMs
    perform(sequencer.onPause())
  })

  return {
    onLoad (peer, { backend, role, model, version, draining }) {
      const { availabilityZone } = peer
      reports.set(backend, { name: backend, availabilityZone, role, model, version, draining, atMs: timer.now() })
    },
    status: () => ({ ordered: ordered ?? null, isMoving, isOrdering: sequencer.isBusy(), neighbours: [...reports.keys()] }),
    close () {
      decisions.cancel()
      pauses.cancel()
    }
  }
}
