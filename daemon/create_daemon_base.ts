/**
 * The base that entries and agents have in common.
 */
import { createConfiguration } from '../core/configuration/mod.ts'
import { createMembership } from '../core/membership/mod.ts'
import { createLog } from '../log/mod.ts'
import { createMetrics, Metric } from '../metrics/mod.ts'
import { createPeers } from '../peer/mod.ts'
import { configAdapters, hostListAdapters } from '../source/mod.ts'
import { createConfigRelay, RelayEventKind } from '../relay/mod.ts'
import { createSystemTimer } from '../timer/mod.ts'
import { MessageKind } from '../wire/mod.ts'
import { pollHosts } from './_poll_hosts.ts'
import { createConnectionManager } from './_connection_manager.ts'
import type { Configuration } from '../core/configuration/mod.ts'
import type { MemberChange, Membership } from '../core/membership/mod.ts'
import type { Log } from '../log/mod.ts'
import type { Metrics } from '../metrics/mod.ts'
import type { Peer, PeerHandlers, Peers } from '../peer/mod.ts'
import type { HostEntry } from '../source/mod.ts'
import type { RelayEvent } from '../relay/mod.ts'
import type { Settings } from '../settings/mod.ts'
import type { Timer } from '../timer/mod.ts'
import type { Message, MessageOf } from '../wire/mod.ts'
import type { ConnectionManager } from './_connection_manager.ts'

/** Configures the base of a daemon. */
export interface DaemonBaseOptions {
  settings: Settings
  /**
   * Handlers for connections of peers other than tools, and for messages that the base does not handle itself, whichever peer
   * they come from.
   */
  handlers: PeerHandlers
  /** Returns fields to add to the answer to a status request. */
  status: () => Record<string, unknown>
  /** Returns the recorded decisions about a request, for the answer to an explain request. */
  explain: (requestId: string) => Array<Record<string, unknown>>
  /** Gets the members whose state changed; never called with an empty list. */
  onMemberChanges: (changes: MemberChange[]) => void
}

/** The parts that entries and agents have in common. */
export interface DaemonBase {
  timer: Timer
  log: Log
  metrics: Metrics
  config: Configuration
  peers: Peers
  members: Membership
  connectionManager: ConnectionManager
  /** Number of this run of the process: its start in milliseconds of wall-clock time. */
  incarnation: number
  /** Returns whether the configuration is safe to serve from. */
  isConfigured: () => boolean
  /** Passes changes of the membership view, which the daemon itself caused, to `onMemberChanges`. */
  reportMemberChanges (changes: MemberChange[]): void
  close (): Promise<void>
}

const memberUpdatePeriodMs = 250

type Handlers = { [K in MessageKind]?: (peer: Peer, msg: MessageOf<K>) => void }

/** Creates the adapter with the configured name; throws when there is none, which the check of the settings rules out. */
function openAdapter<T> (table: { [name: string]: (options: { url: string }) => T }, chosen: { adapter: string, url: string }): T {
  const open = table[chosen.adapter]
  if (open === undefined) throw new Error(`adapter "${chosen.adapter}" does not exist`)
  return open({ url: chosen.url })
}

/**
 * Creates the base of a daemon. It reads the configuration and the host list from the start; `peers` accepts no connections
 * before `peers.listen`.
 *
 * @param options the settings and the handlers
 * @returns the base
 *
 * @example
 * ```ts
 * import { createDaemonBase } from 'briarloom/daemon'
 *
 * console.assert(typeof createDaemonBase === 'function')
 * ```
 */
export function createDaemonBase (options: DaemonBaseOptions): DaemonBase {
  const { settings } = options
  const timer = createSystemTimer()
  const log = createLog({ name: settings.name, level: settings.log.level })
  const metrics = createMetrics(settings.metrics)
  const config = createConfiguration()
  const members = createMembership()
  const incarnation = timer.wallClockMs()
  const service = openAdapter(configAdapters, settings.platform.config)
  const hostList = openAdapter(hostListAdapters, settings.platform.hosts)
  const { name, process, availabilityZone, region, psk } = settings
  const self = { name, process, incarnation, availabilityZone, region }

  const peers = createPeers({
    timer,
    self,
    handlers: { onUp, onDown, onMessage },
    revision: () => config.revision(),
    psk: psk === undefined ? undefined : { identity: psk.identity, key: Buffer.from(psk.keyHex, 'hex') },
    random: Math.random,
    maxFrameBytes: settings.limits.maxFrameBytes
  })
  const connectionManager = createConnectionManager(peers)
  const relay = createConfigRelay({
    self: { name, availabilityZone, region }, timer, config, service, send: peers.send, random: Math.random, onEvent: onRelayEvent
  })

  const relayEvents: { [K in RelayEventKind]: (event: Extract<RelayEvent, { kind: K }>) => void } = {
    [RelayEventKind.Ready]: ({ revision }) => log.info({ revision }, 'configuration is safe to serve from'),
    [RelayEventKind.Applied]: ({ from, revision, keys }) => {
      log.info({ from, revision, keys: keys.length }, 'configuration in force')
    },
    [RelayEventKind.Rejected]: ({ from, rejected }) => {
      metrics.count(Metric.RejectedConfigRecords, rejected.length)
      log.error({ from, rejected }, 'configuration records refused')
    },
    [RelayEventKind.ReadFailed]: ({ message, limited }) => {
      metrics.count(Metric.FailedConfigReads, 1, { result: limited ? 'limited' : 'failed' })
      log.warn({ message, limited }, 'configuration service can not be read')
    }
  }

  function onRelayEvent (event: RelayEvent): void {
    const handler = relayEvents[event.kind] as (event: RelayEvent) => void
    handler(event)
  }

  const handlers: Handlers = {
    [MessageKind.ConfigDigest]: (peer, msg) => relay.handleMessage(peer.name, msg),
    [MessageKind.ConfigRecords]: (peer, msg) => relay.handleMessage(peer.name, msg),
    [MessageKind.PeerReport]: (_peer, msg) => reportMemberChanges(members.recordPeerReport(msg, timer.now())),
    [MessageKind.Status]: (peer) => { peers.send(peer.name, { kind: MessageKind.StatusReply, status: status() }) },
    [MessageKind.Explain]: (peer, { requestId }) => {
      peers.send(peer.name, { kind: MessageKind.ExplainReply, requestId, decisions: options.explain(requestId) })
    }
  }

  function onMessage (peer: Peer, msg: Message): void {
    const handler = handlers[msg.kind] as ((peer: Peer, msg: Message) => void) | undefined
    if (handler !== undefined) handler(peer, msg)
    else options.handlers.onMessage(peer, msg)
  }

  function onUp (peer: Peer): void {
    const { process } = peer
    if (process === 'tool') return
    reportMemberChanges(members.recordConnection({ ...peer, process }, timer.now()))
    relay.addPeer(peer.name)
    options.handlers.onUp(peer)
  }

  function onDown (peer: Peer, reason: string): void {
    if (peer.process === 'tool') return
    reportMemberChanges(members.recordDisconnection(peer.name, peer.incarnation, timer.now()))
    relay.removePeer(peer.name)
    options.handlers.onDown(peer, reason)
  }

  function reportMemberChanges (changes: MemberChange[]): void {
    if (changes.length > 0) options.onMemberChanges(changes)
  }

  /** Updates the wanted connections to the processes with which this one exchanges configuration. */
  function connectRelayPeers (): void {
    relay.setMembers(members.list())
    const wanted = relay.wantedPeers().map((peer) => members.get(peer)).filter((member) => member !== undefined)
    connectionManager.setWanted('relay', wanted)
  }

  function onHosts (hosts: HostEntry[]): void {
    reportMemberChanges(members.applyHostList(hosts, timer.now()))
    connectRelayPeers()
  }

  function status (): Record<string, unknown> {
    return {
      ...self,
      configuration: { ...relay.status(), problems: config.problems() },
      members: members.list().map(({ name, process, state, reason }) => ({ name, process, state, reason })),
      peers: peers.list().map(({ name, process, incarnation }) => ({ name, process, incarnation })),
      ...options.status()
    }
  }

  function recordGauges (): void {
    const connected = peers.list()
    for (const process of ['entry', 'agent', 'tool']) {
      const count = connected.filter((peer) => peer.process === process).length
      metrics.gauge(Metric.Connections, count, { process })
    }
    metrics.gauge(Metric.ConfigRevision, config.revision())
  }

  const hostPoll = pollHosts({ timer, hostList, random: Math.random, onHosts })
  const { heartbeatMs, leaseMs } = settings.timings
  timer.every(heartbeatMs, recordGauges)
  timer.onPause(leaseMs, () => metrics.count(Metric.Pauses, 1))
  timer.every(memberUpdatePeriodMs, () => reportMemberChanges(members.updateStates(timer.now())))
  relay.start()

  return {
    timer,
    log,
    metrics,
    config,
    peers,
    members,
    connectionManager,
    incarnation,
    isConfigured: relay.isReady,
    reportMemberChanges,
    async close () {
      hostPoll.close()
      relay.close()
      await peers.close()
      await service.close()
      await hostList.close()
      await metrics.close()
      timer.close()
    }
  }
}
