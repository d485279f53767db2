/**
 * Works out what the engine beside the agent is to serve and orders it, one fenced order at a time.
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
  /** The engine's state as last read. */
  state: () => EngineState | undefined
  /** Gets each state that was read for the sake of an order, which is newer than the last poll. */
  onState: (state: EngineState) => void
  /** Units of work in flight at the engine. */
  countInFlight: () => number
  /** Takes no new work, or takes it again. */
  onMoving: (isMoving: boolean) => void
}

/** Places one engine. */
export interface PlacementTask {
  /** Takes a load report of another agent: it proves what that engine serves. */
  onLoad (peer: Peer, report: LoadReport): void
  status (): Record<string, unknown>
  close (): void
}

const decideMs = 1000
const readLaterMs = 500

/** Time in milliseconds after a pause within which peers bring the configuration up to date. */
const freshMs = 3000

/** Agents of the same availability zone whose reports an agent wants to hear. */
const neighbours = 6

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
  let lastReason = ''
  let isMoving = false
  let freshFromMs = 0
  let ordered: Assignment | undefined

  /** What the record of this backend server asks for. */
  function byRecord (own: BackendRecord): MoveDecision {
    const versions = config.get(RecordKind.Model, own.serves)?.versions ?? []
    const adapter = versions.find((item) => item.version === own.version)?.adapter
    if (own.role === Role.Service || adapter === undefined) return { kind: MoveKind.Stay, reason: MoveReason.NotPlaced }
    const target: Assignment = { role: own.role, model: own.serves, version: own.version, adapter }
    return { kind: MoveKind.Move, reason: MoveReason.Due, target }
  }

  /** What all records and the live hosts ask for together. */
  function byFleet (current: Assignment): MoveDecision {
    const view = {
      models: config.list(RecordKind.Model),
      backends: config.list(RecordKind.Backend),
      isLive: (name: string) => name === self || members.acceptsWork(name, true)
    }
    return placement.decide(view, current, [...reports.values()], timer.now())
  }

  const deciders: { [P in PlacementPolicy]: (own: BackendRecord, current: Assignment) => MoveDecision } = {
    [PlacementPolicy.Records]: byRecord,
    [PlacementPolicy.Balanced]: (own, current) => {
      hearNeighbours(own, current)
      return byFleet(current)
    }
  }

  /** Connects to the agents that are to keep this engine's work served when it leaves. */
  function hearNeighbours (own: BackendRecord, current: Assignment): void {
    const group = `${current.model}/${current.role}`
    const others = config.list(RecordKind.Backend).filter((item) => {
      return item.name !== self && item.role !== Role.Service && item.availabilityZone === own.availabilityZone
    })
    others.sort((a, b) => rendezvousScore(group, b.name) - rendezvousScore(group, a.name))
    const wanted: WantedPeer[] = others.slice(0, neighbours).map((item) => ({ name: item.name, address: item.agent }))
    base.connectionManager.setWanted('placement', wanted)
  }

  function isServing (state: EngineState, target: Assignment): boolean {
    const { role, model, version, adapter } = state
    return role === target.role && model === target.model && version === target.version && adapter === target.adapter
  }

  /** Writes one line for each decision that differs from the last one. */
  function logDecision (decision: MoveDecision): void {
    const { target, reason, kind } = decision
    const text = target === undefined ? reason : `${kind} ${reason}: ${target.role} ${target.model}@${target.version} adapter "${target.adapter}"`
    if (text === lastReason) return
    lastReason = text
    log.decision({ kind: DecisionKind.Placement, chosen: self, runnersUp: [], revision: config.revision(), reason: text })
  }

  function setMoving (next: boolean): void {
    if (next === isMoving) return
    isMoving = next
    options.onMoving(next)
  }

  function decide (): void {
    const state = options.state()
    const own = config.get(RecordKind.Backend, self)
    if (state === undefined || own === undefined) return
    const policy = config.get(RecordKind.Policy, 'default')?.placement ?? PlacementPolicy.Records
    const current = { role: state.role, model: state.model, version: state.version, adapter: state.adapter } as Assignment
    const decision = deciders[policy](own, current)
    const isDone = decision.target !== undefined && isServing(state, decision.target)
    if (isDone) ordered = decision.target
    if (decision.kind !== MoveKind.Move || decision.target === undefined || isDone) {
      setMoving(false)
      return
    }
    logDecision(decision)
    setMoving(true)
    // What is in flight ends first: an order may drop the engine's memory.
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
    [OrderEffectKind.ReadStateLater]: ({ readId }) => { timer.after(readLaterMs, () => { readState(readId) }) },
    [OrderEffectKind.SendOrder]: async ({ order }) => {
      // The target may come from configuration of before a pause; peers bring what has changed since.
      if (timer.now() < freshFromMs) {
        timer.after(readLaterMs, () => perform(sequencer.onOrderAnswered()))
        return
      }
      const answered = await engine.sendOrder(order)
      const result = answered.ok ? 'answered' : answered.val.kind
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

  const decisions = timer.every(decideMs, decide)
  const pauses = timer.onPause(options.leaseMs, () => {
    freshFromMs = timer.now() + freshMs
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
