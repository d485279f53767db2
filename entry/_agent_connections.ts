/**
 * The entry's view of the agents: whom to connect to, heartbeats, and what the router is told about them.
 */
import { MemberState } from '../core/membership/mod.ts'
import { RecordKind } from '../core/records/mod.ts'
import { BackendHealth } from '../core/routing/mod.ts'
import { MessageKind } from '../wire/mod.ts'
import { chooseAgents } from './_choose_agents.ts'
import type { MemberChange } from '../core/membership/mod.ts'
import type { BackendRecord } from '../core/records/mod.ts'
import type { Router } from '../core/routing/mod.ts'
import type { AttemptRef } from '../core/types/mod.ts'
import type { DaemonBase, WantedPeer } from '../daemon/mod.ts'
import type { Peer } from '../peer/mod.ts'
import type { Subscription } from '../timer/mod.ts'
import type { EntrySettings } from '../settings/mod.ts'
import type { LoadReport, PeerReport } from '../wire/mod.ts'

/** Configures the view. */
export interface AgentConnectionsOptions {
  base: DaemonBase
  settings: EntrySettings
  router: Router
  listLiveAttempts: (agent: string) => AttemptRef[]
  /** Counter of finished steps of work. */
  countFinished: () => number
  /** An agent is lost or silent: its requests go elsewhere. */
  onAgentLost: (agent: string) => void
  onAgentReachable: (agent: string) => void
}

/** Follows the agents. */
export interface AgentConnections {
  /** Chooses anew which agents this entry is connected to. */
  refresh (): void
  onConnected (peer: Peer): void
  onDisconnected (peer: Peer): void
  onLoad (peer: Peer, report: LoadReport): void
  onMembers (changes: MemberChange[]): void
  /** Returns the record of a backend server that this entry talks with. */
  getRecord (agent: string): BackendRecord | undefined
  /** Connects to an agent outside the subset, for the sake of a ticket; false when it is not reached in time. */
  ensureConnected (agent: string): Promise<boolean>
}

const reachTimeoutMs = 1000
const reachPollMs = 20
const reachKeepMs = 60_000
const refreshMs = 5000

const healths: { [S in MemberState]: BackendHealth } = {
  [MemberState.Alive]: BackendHealth.Live,
  [MemberState.Suspect]: BackendHealth.Suspect,
  [MemberState.Leaving]: BackendHealth.Draining,
  [MemberState.Gone]: BackendHealth.Gone
}

/** What other entries are told about an agent in each state; nothing while it is alive. */
const reports: { [S in MemberState]: PeerReport['state'] | undefined } = {
  [MemberState.Alive]: undefined,
  [MemberState.Suspect]: 'suspect',
  [MemberState.Leaving]: 'leaving',
  [MemberState.Gone]: 'gone'
}

/**
 * Creates the view of the agents.
 */
export function createAgentConnections (options: AgentConnectionsOptions): AgentConnections {
  const { base, router, settings } = options
  const { timer, config, peers, members, connectionManager: connectionManager } = base
  const records = new Map<string, BackendRecord>()
  const reached = new Map<string, { peer: WantedPeer, forget: Subscription }>()

  function update (agent: string): void {
    const state = members.get(agent)?.state ?? MemberState.Gone
    const isConnected = peers.get(agent) !== undefined
    router.setHealth(agent, isConnected ? healths[state] : BackendHealth.Gone)
  }

  function refresh (): void {
    const wanted = chooseAgents(settings, members.list(), config.list(RecordKind.Backend))
    const names = new Set(wanted.map((item) => item.name))
    for (const name of [...records.keys()].filter((name) => !names.has(name))) {
      records.delete(name)
      router.remove(name)
    }
    for (const item of wanted) {
      const { name, role, serves, version, weight, availabilityZone, region } = item
      records.set(name, item)
      router.upsert({ name, role, serves, version, weight, availabilityZone, region })
      update(name)
    }
    connectionManager.setWanted('agents', wanted.map((item) => ({ name: item.name, address: item.agent })))
  }

  function beat (agent: string, live: AttemptRef[]): void {
    peers.send(agent, { kind: MessageKind.Heartbeat, progress: options.countFinished(), live, revision: config.revision() })
  }

  function beatAll (): void {
    for (const agent of records.keys()) {
      const live = options.listLiveAttempts(agent)
      if (live.length > 0) beat(agent, live)
    }
  }

  /** Tells the connected entries what this process saw itself, so that they need not wait for their own timeouts. */
  function report (change: MemberChange): void {
    const { name, incarnation, state } = change.member
    const told = reports[state]
    if (told === undefined || !change.isLocallyObserved) return
    for (const peer of peers.list()) {
      if (peer.process === 'entry') peers.send(peer.name, { kind: MessageKind.PeerReport, name, incarnation, state: told })
    }
  }

  function onMember (change: MemberChange): void {
    const { name, process, state } = change.member
    if (process !== 'agent') return
    update(name)
    report(change)
    if (!change.isLocallyObserved) return
    if (state === MemberState.Suspect || state === MemberState.Gone) options.onAgentLost(name)
    else if (state === MemberState.Alive) options.onAgentReachable(name)
  }

  function wantReached (): void {
    connectionManager.setWanted('tickets', [...reached.values()].map((item) => item.peer))
  }

  function forget (agent: string): void {
    reached.delete(agent)
    wantReached()
  }

  function keepReached (agent: string, address: string): void {
    reached.get(agent)?.forget.cancel()
    const forgetting = timer.after(reachKeepMs, () => forget(agent))
    reached.set(agent, { peer: { name: agent, address }, forget: forgetting })
    wantReached()
  }

  timer.every(settings.timings.heartbeatMs, beatAll)
  timer.every(refreshMs, refresh)

  return {
    refresh,
    onConnected (peer) {
      update(peer.name)
      // The first heartbeat also ends what an earlier connection left behind.
      beat(peer.name, options.listLiveAttempts(peer.name))
      options.onAgentReachable(peer.name)
    },
    onDisconnected (peer) {
      update(peer.name)
      options.onAgentLost(peer.name)
    },
    onLoad (peer, msg) {
      const nowMs = timer.now()
      const { name, incarnation } = peer
      base.reportMemberChanges(members.recordHeartbeat({ name, incarnation, progress: msg.seq, hasPendingWork: true }, nowMs))
      base.reportMemberChanges(members.recordDraining(name, incarnation, msg.draining, nowMs))
      router.onLoad(msg, nowMs)
    },
    onMembers (changes) {
      for (const change of changes) onMember(change)
    },
    getRecord: (agent) => records.get(agent),
    async ensureConnected (agent) {
      const address = config.get(RecordKind.Backend, agent)?.agent
      if (address === undefined) return peers.get(agent) !== undefined
      if (!records.has(agent)) keepReached(agent, address)
      const endMs = timer.now() + reachTimeoutMs
      while (peers.get(agent) === undefined && timer.now() < endMs) {
        await new Promise<void>((resolve) => { timer.after(reachPollMs, resolve) })
      }
      return peers.get(agent) !== undefined
    }
  }
}
