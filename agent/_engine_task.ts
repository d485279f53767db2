/**
 * The task that manages the engine of an agent: admission, leases, prefill, decode, resume and cancel.
 */
import { createLeaseTable } from '../core/lease/mod.ts'
import { ReleaseEffect, ReservationState, createReservationTable } from '../core/reservation/mod.ts'
import { attemptKey, Outcome, RefusalCode, Role, TierClass } from '../core/types/mod.ts'
import { Metric } from '../metrics/mod.ts'
import { MessageKind } from '../wire/mod.ts'
import { createCanceller } from './_canceller.ts'
import { createLoadTask } from './_load_task.ts'
import { createPlacementTask } from './_placement_task.ts'
import { createReconciler } from './_reconciler.ts'
import { createPrefillTask } from './_prefill_task.ts'
import { createQueueTask } from './_queue_task.ts'
import { createStreamTask } from './_stream_task.ts'
import { CancelCause } from './_types.ts'
import type { DaemonBase } from '../daemon/mod.ts'
import type { EngineAdapter } from '../engine/mod.ts'
import type { AdmissionPolicy } from '../core/records/mod.ts'
import type { AttemptRef } from '../core/types/mod.ts'
import type { CancelMessage, Heartbeat, LoadReport, Message, MessageOf } from '../wire/mod.ts'
import type { BackendTask, TaskPorts } from './_types.ts'

/** Configures the task. */
export interface EngineTaskOptions {
  backend: string
  engine: EngineAdapter
  seats: number
  pieces: number
  leaseMs: number
  heartbeatMs: number
  paidHeadroom: () => number
  admission: () => AdmissionPolicy
  base: DaemonBase
  /** Sends a load report to every connected entry and agent. */
  publish: (report: LoadReport) => void
}

/** Period in milliseconds at which leases expire, cancels are repeated and waiting work is admitted. */
const tickPeriodMs = 50

type Handlers = { [K in MessageKind]?: (owner: string, msg: MessageOf<K>) => void }

/**
 * Creates the task.
 */
export async function createEngineTask (taskPorts: TaskPorts, options: EngineTaskOptions): Promise<BackendTask> {
  let isMoving = false
  const ports: TaskPorts = { ...taskPorts, isDraining: () => isMoving || taskPorts.isDraining() }
  const { timer, metrics } = ports
  const { engine } = options
  const leases = createLeaseTable({ leaseMs: options.leaseMs })
  const table = createReservationTable({ seats: options.seats, pieces: options.pieces })
  const canceller = createCanceller(ports, engine, table, () => queue.admitWaiting())
  const load = createLoadTask(ports, {
    ...options,
    table,
    incarnation: options.base.incarnation,
    countListeners: () => options.base.peers.list().length,
    countQueued: () => queue.length(),
    countTokensAhead: (tierClass) => prefill.countTokensAhead(tierClass),
    estimateReserveWaitMs: () => queue.estimateWaitMs()
  })
  const queue = createQueueTask(ports, {
    ...options,
    table,
    load,
    listRunning: () => stream.listRunning(),
    revision: () => options.base.config.revision(),
    onPaused: setPaused
  })
  const prefill = createPrefillTask(ports, { ...options, table, load, release, onFreed: () => queue.admitWaiting() })
  const stream = createStreamTask(ports, { engine, table, leaseMs: options.leaseMs, release, onFreed: () => queue.admitWaiting() })

  const placement = createPlacementTask({
    base: options.base,
    self: options.backend,
    engine,
    leaseMs: options.leaseMs,
    state: load.state,
    onState: load.setState,
    countInFlight,
    onMoving (next) {
      isMoving = next
      load.publish()
    }
  })

  function countInFlight (): number {
    return table.snapshot().length + queue.length()
  }

  function setPaused (ref: AttemptRef, paused: boolean): void {
    stream.setPaused(ref, paused)
    table.setPaused(ref, paused)
    engine.setPaused(ref, paused)
  }

  /** Ends an attempt in whatever state it is and releases its seat and memory. */
  function release (ref: AttemptRef, cause: CancelCause): void {
    queue.withdraw(ref)
    stream.stopForwarding(ref)
    if (table.release(ref) === ReleaseEffect.CancelAtEngine) canceller.cancel(ref, cause)
    else queue.admitWaiting()
  }

  /** Ends the work of an owner whose lease expired. */
  function releaseOwner (owner: string, cause: CancelCause): void {
    const hadQueued = queue.withdrawOwner(owner)
    const live = table.snapshot().filter((entry) => entry.owner === owner && entry.state !== ReservationState.Cancelling)
    if (hadQueued || live.length > 0) metrics.count(Metric.LeasesLost, 1, { cause })
    for (const entry of live) release(entry.ref, cause)
  }

  /** Renews the entry's lease and releases every attempt that the entry no longer lists, which also makes up for a lost cancel. */
  function onHeartbeat (owner: string, msg: Heartbeat): void {
    leases.open(owner, timer.now())
    const live = new Set(msg.live.map(attemptKey))
    queue.keepOnly(owner, live)
    for (const entry of table.snapshot()) {
      if (entry.owner !== owner || entry.state === ReservationState.Cancelling) continue
      if (!live.has(attemptKey(entry.ref))) release(entry.ref, CancelCause.NotAwaited)
    }
  }

  function onCancel (owner: string, msg: CancelMessage): void {
    const ref = { requestId: msg.requestId, attempt: msg.attempt }
    canceller.notifyWhenFreed(ref, owner)
    const hasResult = load.state()?.role === Role.Prefill && !prefill.isRunning(ref)
    release(ref, hasResult ? CancelCause.ResultReleased : CancelCause.Entry)
    canceller.notifyIfFreed(ref)
  }

  /** Opens the entry's lease, which heartbeats renew; refuses new work and returns true when it can't start here. */
  function refuseNewWork (owner: string, msg: AttemptRef, role: Role): boolean {
    const state = load.state()
    leases.open(owner, timer.now())
    if (ports.isDraining()) queue.refuse(owner, msg, RefusalCode.Draining, 0)
    else if (state === undefined) queue.refuse(owner, msg, RefusalCode.Unreachable, 1000)
    else if (state.role !== role) queue.refuse(owner, msg, RefusalCode.ModelNotServed, 1000)
    else return false
    return true
  }

  /** Returns true when the engine has loaded the model and version of the work; otherwise refuses the work. */
  function servesModel (owner: string, msg: AttemptRef & { model: string, version: string }): boolean {
    const state = load.state()
    if (state?.model === msg.model && state.version === msg.version && !state.loading) return true
    queue.refuse(owner, msg, RefusalCode.ModelNotServed, 1000)
    return false
  }

  const handlers: Handlers = {
    [MessageKind.Heartbeat]: onHeartbeat,
    [MessageKind.Reserve]: (owner, msg) => {
      if (!refuseNewWork(owner, msg, Role.Decode) && servesModel(owner, msg)) queue.enqueue(owner, msg)
    },
    [MessageKind.Prefill]: (owner, msg) => {
      if (!refuseNewWork(owner, msg, Role.Prefill) && servesModel(owner, msg)) prefill.run(owner, msg)
    },
    [MessageKind.Decode]: (owner, msg) => {
      if (!leases.isLive(owner, timer.now())) queue.refuse(owner, msg, RefusalCode.LeaseExpired, 0)
      else stream.run(owner, msg)
    },
    [MessageKind.Resume]: (owner, msg) => {
      if (!leases.isLive(owner, timer.now())) queue.refuse(owner, msg, RefusalCode.LeaseExpired, 0)
      else stream.resume(owner, msg)
    },
    [MessageKind.Cancel]: onCancel
  }

  function expireLeases (): void {
    for (const owner of leases.removeExpired(timer.now())) releaseOwner(owner, CancelCause.LeaseExpired)
  }

  const reconciler = createReconciler(ports, {
    engine,
    table,
    periodMs: options.leaseMs / 2,
    claimMs: options.leaseMs,
    release: (ref) => release(ref, CancelCause.Unclaimed)
  })

  const ticks = timer.every(tickPeriodMs, () => {
    expireLeases()
    canceller.retryPending()
    queue.admitWaiting()
  })
  function sendGauges (): void {
    const free = table.free()
    metrics.gauge(Metric.SeatsUsed, options.seats - free.seats)
    metrics.gauge(Metric.PiecesReserved, options.pieces - free.pieces)
    for (const tierClass of Object.values(TierClass)) {
      metrics.gauge(Metric.QueueLength, queue.lengthOf(tierClass), { class: tierClass })
    }
  }

  const heartbeats = timer.every(options.heartbeatMs, () => {
    stream.sendKeepAlives()
    sendGauges()
  })
  const pauseWatch = timer.onPause(options.leaseMs, () => {
    // The entries moved their requests to other agents during the pause, so no attempt from before it is still needed.
    for (const owner of leases.expireAll()) releaseOwner(owner, CancelCause.Paused)
  })
  // Admission starts only after the table accounts for what the engine already holds.
  await reconciler.reconcileAtStart()

  return {
    handle (owner: string, msg: Message) {
      const handler = handlers[msg.kind] as ((owner: string, msg: Message) => void) | undefined
      handler?.(owner, msg)
      return handler !== undefined
    },
    onAgentLoad: placement.onLoad,
    onOwnerConnected (owner) {
      leases.open(owner, timer.now())
      load.publish()
    },
    onOwnerDisconnected (owner) {
      queue.withdrawOwner(owner)
      for (const entry of table.snapshot()) {
        if (entry.owner === owner && entry.state === ReservationState.Reserved) release(entry.ref, CancelCause.LeaseExpired)
      }
    },
    countInFlight,
    failInFlight () {
      for (const entry of table.snapshot()) {
        if (entry.owner !== undefined && entry.state === ReservationState.Running) {
          const msg = {
            kind: MessageKind.Failed as const,
            ...entry.ref,
            code: RefusalCode.Draining,
            outcome: Outcome.Unknown,
            message: 'the agent stopped before the stream ended'
          }
          ports.send(entry.owner, msg)
        }
        release(entry.ref, CancelCause.Shutdown)
      }
    },
    publish: load.publish,
    status: () => ({
      leases: leases.listOwners(),
      reservations: table.snapshot(),
      free: table.free(),
      queued: queue.length(),
      engine: load.state() ?? null,
      placement: placement.status()
    }),
    async close () {
      ticks.cancel()
      heartbeats.cancel()
      pauseWatch.cancel()
      load.close()
      placement.close()
      reconciler.close()
      await engine.close()
    }
  }
}
