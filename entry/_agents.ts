/**
 * The entry's view of the agents: whom to dial, heartbeats, and signs of a frozen agent.
 */
import { BackendHealth } from '../core/routing/mod.ts'
import { RecordKind } from '../core/records/mod.ts'
import { HostState } from '../platform/mod.ts'
import { MessageKind } from '../wire/mod.ts'
import type { Configuration } from '../core/configuration/mod.ts'
import type { BackendRecord } from '../core/records/mod.ts'
import type { Router } from '../core/routing/mod.ts'
import type { AttemptRef } from '../core/types/mod.ts'
import type { Peer, Peers } from '../peer/mod.ts'
import type { HostEntry } from '../platform/mod.ts'
import type { Timer } from '../timer/mod.ts'
import type { LoadReport } from '../wire/mod.ts'

/** Configures the view. */
export interface AgentsOptions {
  timer: Timer
  config: Configuration
  peers: Peers
  router: Router
  heartbeatMs: number
  /** Chooses the backend servers that this entry talks with. */
  choose: (backends: BackendRecord[]) => BackendRecord[]
  liveAt: (agent: string) => AttemptRef[]
  progress: () => number
  /** An agent is lost or silent: its requests go elsewhere. */
  onLost: (agent: string) => void
  onBack: (agent: string) => void
}

/** Follows the agents. */
export interface Agents {
  /** Dials the agents that the configuration names. */
  refresh (): void
  onUp (peer: Peer): void
  onDown (peer: Peer): void
  onLoad (peer: Peer, report: LoadReport): void
  onHosts (hosts: HostEntry[]): void
  /** Returns the record of a backend server that this entry talks with. */
  record (agent: string): BackendRecord | undefined
}

/** Heartbeats without a word from an agent after which it counts as silent. */
const silentHeartbeats = 3

/**
 * Creates the view of the agents.
 */
export function createAgents (options: AgentsOptions): Agents {
  const { timer, config, peers, router } = options
  const records = new Map<string, BackendRecord>()
  const silent = new Set<string>()
  const leaving = new Set<string>()
  const heardMs = new Map<string, number>()

  function health (agent: string): BackendHealth {
    if (peers.get(agent) === undefined) return BackendHealth.Gone
    if (leaving.has(agent)) return BackendHealth.Draining
    return silent.has(agent) ? BackendHealth.Suspect : BackendHealth.Live
  }

  function update (agent: string): void {
    router.setHealth(agent, health(agent))
  }

  function refresh (): void {
    const wanted = new Map(options.choose(config.all(RecordKind.Backend)).map((item) => [item.name, item]))
    for (const name of [...records.keys()]) {
      if (wanted.has(name)) continue
      records.delete(name)
      peers.undial(name)
      router.remove(name)
    }
    for (const [name, item] of wanted) {
      records.set(name, item)
      peers.dial(name, item.agent)
      const { role, serves, version, weight, availabilityZone, region } = item
      router.upsert({ name, role, serves, version, weight, availabilityZone, region })
      update(name)
    }
  }

  function beat (agent: string): void {
    const live = options.liveAt(agent)
    if (live.length === 0) return
    peers.send(agent, { kind: MessageKind.Heartbeat, progress: options.progress(), live, revision: config.revision() })
  }

  function checkSilence (agent: string): void {
    const lastMs = heardMs.get(agent)
    const isSilent = lastMs !== undefined && timer.now() - lastMs > silentHeartbeats * options.heartbeatMs
    if (isSilent === silent.has(agent) || peers.get(agent) === undefined) return
    if (isSilent) {
      silent.add(agent)
      update(agent)
      options.onLost(agent)
    } else {
      silent.delete(agent)
      update(agent)
      options.onBack(agent)
    }
  }

  timer.every(options.heartbeatMs, () => {
    for (const agent of records.keys()) {
      beat(agent)
      checkSilence(agent)
    }
  })

  return {
    refresh,
    onUp (peer) {
      heardMs.set(peer.name, timer.now())
      silent.delete(peer.name)
      update(peer.name)
      // The first heartbeat also ends what an earlier connection left behind.
      const live = options.liveAt(peer.name)
      peers.send(peer.name, { kind: MessageKind.Heartbeat, progress: options.progress(), live, revision: config.revision() })
      options.onBack(peer.name)
    },
    onDown (peer) {
      heardMs.delete(peer.name)
      silent.delete(peer.name)
      update(peer.name)
      options.onLost(peer.name)
    },
    onLoad (peer, report) {
      heardMs.set(peer.name, timer.now())
      if (silent.has(peer.name)) checkSilence(peer.name)
      router.onLoad(report, timer.now())
    },
    onHosts (hosts) {
      leaving.clear()
      for (const host of hosts) {
        if (host.kind === 'agent' && host.state === HostState.Leaving) leaving.add(host.name)
      }
      for (const agent of records.keys()) update(agent)
    },
    record: (agent) => records.get(agent)
  }
}
