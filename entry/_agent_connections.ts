/**
 * Connections of an entry to agents: which agents to connect to, heartbeats, and the health that the router sees.
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

/** Configures the connections to agents. */
export interface AgentConnectionsOptions {
  base: DaemonBase
  settings: EntrySettings
  router: Router
  /** Returns the attempts for which an agent may hold a reservation, a result or a stream. */
  listLiveAttempts: (agent: string) => AttemptRef[]
  /** Returns the number of requests that have ended; heartbeats carry it as a sign of progress. */
  countFinished: () => number
  /** Called when an agent is disconnected, suspect or gone, so that its requests can move to another agent. */
  onAgentLost: (agent: string) => void
  /** Called when an agent has connected, or is alive again after it was suspect or gone. */
  onAgentReachable: (agent: string) => void
}

/** Maintains the connections to agents. */
export interface AgentConnections {
  /** Chooses again which agents this entry connects to, and updates the router. */
  refresh (): void
  onConnected (peer: Peer): void
  onDisconnected (peer: Peer): void
  onLoad (peer: Peer, report: LoadReport): void
  onMemberChanges (changes: MemberChange[]): void
  /** Returns the record of a backend server in this entry's subset; undefined for every other one. */
  getRecord (agent: string): BackendRecord | undefined
  /**
   * Connects to an agent, such as one outside the subset that issued a ticket, and keeps that connection for 60 s; false when it is
   * not open within 1000 ms.
   */
  ensureConnected (agent: string): Promise<boolean>
}

const connectTimeoutMs = 1000
const connectPollMs = 20
/** Time in milliseconds for which a connection outside the subset stays open for further calls. */
const extraConnectionKeepMs = 60_000
const refreshPeriodMs = 5000

const healthByState: { [S in MemberState]: BackendHealth } = {
  [MemberState.Alive]: BackendHealth.Live,
  [MemberState.Suspect]: BackendHealth.Suspect,
  [MemberState.Leaving]: BackendHealth.Draining,
  [MemberState.Gone]: BackendHealth.Gone
}

/** State that other entries receive in a peer report; none for an agent that is alive. */
const reportedStates: { [S in MemberState]: PeerReport['state'] | undefined } = {
  [MemberState.Alive]: undefined,
  [MemberState.Suspect]: 'suspect',
  [MemberState.Leaving]: 'leaving',
  [MemberState.Gone]: 'gone'
}

/**
 * Creates the connections to agents and starts the heartbeats.
 */
export function createAgentConnections (options: AgentConnectionsOptions): AgentConnections {
  const { base, router, settings } = options
  const { timer, config, peers, members, connectionManager } = base
  const records = new Map<string, BackendRecord>()
  const extraConnections = new Map<string, { peer: WantedPeer, expiry: Subscription }>()

  function updateHealth (agent: string): void {
    const state = members.get(agent)?.state ?? MemberState.Gone
    const isConnected = peers.get(agent) !== undefined
    router.setHealth(agent, isConnected ? healthByState[state] : BackendHealth.Gone)
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
      updateHealth(name)
    }
    connectionManager.setWanted('agents', wanted.map((item) => ({ name: item.name, address: item.agent })))
  }

  function sendHeartbeat (agent: string, live: AttemptRef[]): void {
    peers.send(agent, { kind: MessageKind.Heartbeat, progress: options.countFinished(), live, revision: config.revision() })
  }

  function sendHeartbeats (): void {
    for (const agent of records.keys()) {
      const attempts = options.listLiveAttempts(agent)
      if (attempts.length > 0) sendHeartbeat(agent, attempts)
    }
  }

  /** Reports a state that this process observed itself to the connected entries, so that they need not wait for their own timeouts. */
  function reportState (change: MemberChange): void {
    const { name, incarnation, state } = change.member
    const reportedState = reportedStates[state]
    if (reportedState === undefined || !change.isLocallyObserved) return
    for (const peer of peers.list()) {
      if (peer.process === 'entry') peers.send(peer.name, { kind: MessageKind.PeerReport, name, incarnation, state: reportedState })
    }
  }

  function handleChange (change: MemberChange): void {
    const { name, process, state } = change.member
    if (process !== 'agent') return
    updateHealth(name)
    reportState(change)
    if (!change.isLocallyObserved) return
    if (state === MemberState.Suspect || state === MemberState.Gone) options.onAgentLost(name)
    else if (state === MemberState.Alive) options.onAgentReachable(name)
  }

  function updateExtraConnections (): void {
    connectionManager.setWanted('tickets', [...extraConnections.values()].map((item) => item.peer))
  }

  function dropExtraConnection (agent: string): void {
    extraConnections.delete(agent)
    updateExtraConnections()
  }

  function keepExtraConnection (agent: string, address: string): void {
    extraConnections.get(agent)?.expiry.cancel()
    const expiryTimer = timer.after(extraConnectionKeepMs, () => dropExtraConnection(agent))
    extraConnections.set(agent, { peer: { name: agent, address }, expiry: expiryTimer })
    updateExtraConnections()
  }

  timer.every(settings.timings.heartbeatMs, sendHeartbeats)
  timer.every(refreshPeriodMs, refresh)

  return {
    refresh,
    onConnected (peer) {
      updateHealth(peer.name)
      // The agent releases every attempt that this first heartbeat does not list, such as those left by an earlier connection.
      sendHeartbeat(peer.name, options.listLiveAttempts(peer.name))
      options.onAgentReachable(peer.name)
    },
    onDisconnected (peer) {
      updateHealth(peer.name)
      options.onAgentLost(peer.name)
    },
    onLoad (peer, msg) {
      const nowMs = timer.now()
      const { name, incarnation } = peer
      base.reportMemberChanges(members.recordHeartbeat({ name, incarnation, progress: msg.seq, hasPendingWork: true }, nowMs))
      base.reportMemberChanges(members.recordDraining(name, incarnation, msg.draining, nowMs))
      router.onLoad(msg, nowMs)
    },
    onMemberChanges (changes) {
      for (const change of changes) handleChange(change)
    },
    getRecord: (agent) => records.get(agent),
    async ensureConnected (agent) {
      const address = config.get(RecordKind.Backend, agent)?.agent
      if (address === undefined) return peers.get(agent) !== undefined
      if (!records.has(agent)) keepExtraConnection(agent, address)
      const endMs = timer.now() + connectTimeoutMs
      while (peers.get(agent) === undefined && timer.now() < endMs) {
        await new Promise<void>((resolve) => { timer.after(connectPollMs, resolve) })
      }
      return peers.get(agent) !== undefined
    }
  }
}
