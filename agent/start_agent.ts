/**
 * Starts an agent: connects the task of its backend server with peers and configuration.
 */
import { createDrain, DrainEffect, DrainState } from '../core/drain/mod.ts'
import { MemberState } from '../core/membership/mod.ts'
import { AdmissionPolicy, RecordKind } from '../core/records/mod.ts'
import { Ok } from '../core/results/mod.ts'
import { createDaemonBase } from '../daemon/mod.ts'
import { engineAdapters, serviceAdapters } from '../engine/mod.ts'
import { MessageKind } from '../wire/mod.ts'
import { createEngineTask } from './_engine_task.ts'
import { createServiceTask } from './_service_task.ts'
import type { MemberChange } from '../core/membership/mod.ts'
import type { Result } from '../core/results/mod.ts'
import type { DaemonBase, Daemon } from '../daemon/mod.ts'
import type { EngineAdapter, EngineLoad } from '../engine/mod.ts'
import type { AgentSettings } from '../settings/mod.ts'
import type { LoadReport } from '../wire/mod.ts'
import type { BackendTask, TaskPorts } from './_types.ts'

const engineRetryMs = 200
const drainPollMs = 50
/** Share of seats and memory that only paid work may use, while there is no policy record named `default`. */
const defaultPaidHeadroom = 0.1
/** Seats that the load reports of a service state, because a service reports no number of its own. */
const serviceSeats = 64
/** Bytes of a frame that are left for the headers of a reply. */
const replyHeaderBytes = 65_536

/** Reads the engine's seats and memory; retries until the engine responds. */
async function readEngineSize (base: DaemonBase, engine: EngineAdapter): Promise<EngineLoad> {
  for (;;) {
    const load = await engine.readLoad()
    if (load.ok) return load.val
    base.log.warn({ reason: load.val.message }, 'engine does not answer')
    await new Promise<void>((resolve) => { base.timer.after(engineRetryMs, resolve) })
  }
}

/** Creates the task for the kind of backend server that the agent manages. */
const taskFactories = {
  async engine (base: DaemonBase, settings: AgentSettings, ports: TaskPorts, publish: (report: LoadReport) => void): Promise<BackendTask> {
    const { backend, timings, name } = settings
    const engine = engineAdapters[backend.adapter as keyof typeof engineAdapters]({ address: backend.address })
    const size = await readEngineSize(base, engine)
    const policy = () => base.config.get(RecordKind.Policy, 'default')
    return createEngineTask(ports, {
      base,
      backend: name,
      engine,
      seats: size.seats,
      pieces: size.pieces,
      leaseMs: timings.leaseMs,
      heartbeatMs: timings.heartbeatMs,
      paidHeadroom: () => policy()?.paidHeadroom ?? defaultPaidHeadroom,
      admission: () => policy()?.admission ?? AdmissionPolicy.Tiered,
      publish
    })
  },
  async service (base: DaemonBase, settings: AgentSettings, ports: TaskPorts, publish: (report: LoadReport) => void): Promise<BackendTask> {
    const { backend, timings, name, limits } = settings
    // A reply goes to its entry in one frame, with its headers.
    const maxReplyBytes = Math.max(0, limits.maxFrameBytes - replyHeaderBytes)
    const adapter = serviceAdapters[backend.adapter as keyof typeof serviceAdapters]({ address: backend.address, maxReplyBytes })
    return createServiceTask(ports, {
      backend: name,
      serviceName: () => base.config.get(RecordKind.Backend, name)?.serves ?? '',
      adapter,
      incarnation: base.incarnation,
      heartbeatMs: timings.heartbeatMs,
      seats: serviceSeats,
      publish
    })
  }
}

/**
 * Starts an agent.
 *
 * @param settings the checked settings
 * @returns the running agent, or why it could not start
 *
 * @example
 * ```ts
 * import { startAgent } from 'briarloom/agent'
 *
 * console.assert(typeof startAgent === 'function')
 * ```
 */
export async function startAgent (settings: AgentSettings): Promise<Result<Daemon, string>> {
  const drain = createDrain()
  const agentState: { task: BackendTask | undefined, isListedAsLeaving: boolean } = { task: undefined, isListedAsLeaving: false }

  const base = createDaemonBase({
    settings,
    handlers: {
      onUp: (peer) => { if (peer.process === 'entry') agentState.task?.onOwnerConnected(peer.incarnationId) },
      onDown: (peer) => { if (peer.process === 'entry') agentState.task?.onOwnerDisconnected(peer.incarnationId) },
      onMessage: (peer, msg) => {
        if (peer.process === 'agent') {
          if (msg.kind === MessageKind.Load) agentState.task?.onAgentLoad(peer, msg)
          return
        }
        const known = agentState.task?.handle(peer.incarnationId, msg) ?? false
        if (!known) base.log.debug({ peer: peer.name, kind: msg.kind }, 'message without a handler')
      }
    },
    status: () => ({ drain: drain.state(), ...agentState.task?.status() }),
    explain: () => [],
    onMemberChanges
  })

  function isDraining (): boolean {
    const weight = base.config.get(RecordKind.Backend, settings.name)?.weight ?? 1
    return drain.state() !== DrainState.Serving || agentState.isListedAsLeaving || weight === 0
  }

  function onMemberChanges (changes: MemberChange[]): void {
    const change = changes.find(({ member }) => member.name === settings.name)
    if (change === undefined) return
    agentState.isListedAsLeaving = change.member.state === MemberState.Leaving
    agentState.task?.publish()
  }

  function publish (report: LoadReport): void {
    for (const peer of base.peers.list()) {
      if (peer.process !== 'tool') base.peers.send(peer.name, report)
    }
  }

  function send (owner: string, msg: Parameters<TaskPorts['send']>[1]): boolean {
    const name = owner.slice(0, owner.lastIndexOf('#'))
    return base.peers.get(name)?.incarnationId === owner && base.peers.send(name, msg)
  }

  const ports: TaskPorts = { timer: base.timer, log: base.log, metrics: base.metrics, send, isDraining }
  const task = await taskFactories[settings.backend.kind](base, settings, ports, publish)
  agentState.task = task
  const listening = await base.peers.listen(settings.peer.host, settings.peer.port)
  if (listening.err) {
    await base.close()
    return listening
  }
  base.config.onChange((event) => {
    if (event.key === `${RecordKind.Backend}/${settings.name}`) task.publish()
  })

  async function close (): Promise<void> {
    await task.close()
    await base.close()
  }

  /** Waits until nothing is in flight. */
  function waitUntilIdle (): Promise<void> {
    return new Promise((resolve) => {
      const poll = base.timer.every(drainPollMs, () => {
        if (task.countInFlight() > 0) return
        poll.cancel()
        resolve()
      })
    })
  }

  return Ok({
    address: listening.val,
    async stop () {
      if (drain.handleSignal().includes(DrainEffect.Announce)) task.publish()
      await waitUntilIdle()
      await close()
    },
    async kill () {
      task.failInFlight()
      await close()
    }
  })
}
