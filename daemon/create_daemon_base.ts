/**
 * Builds what entries and agents have in common.
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
  /** What the daemon does when peers other than tools come, go and speak. */
  handlers: PeerHandlers
  /** Adds to the answer of a status request. */
  status: () => Record<string, unknown>
  /** Answers an explain request of a tool. */
  explain: (requestId: string) => Array<Record<string, unknown>>
  /** Gets the members whose state changed. */
  onMemberChanges: (changes: MemberChange[]) => void
}

/** What entries and agents have in common. */
export interface DaemonBase {
  timer: Timer
  log: Log
  metrics: Metrics
  config: Configuration
  peers: Peers
  members: Membership
  connectionManager: ConnectionManager
  incarnation: number
  /** True when the configuration is safe to serve from. */
  isConfigured: () => boolean
  /** Passes on changes that the daemon learned for the membership view. */
  reportMemberChanges (changes: MemberChange[]): void
  close (): Promise<void>
}

const memberTickMs = 250

type Handlers = { [K in MessageKind]?: (peer: Peer, msg: MessageOf<K>) => void }

/** Opens an adapter by its name, which the settings have checked. */
function openAdapter<T> (table: { [name: string]: (options: { url: string }) => T }, chosen: { adapter: string, url: string }): T {
  const open = table[chosen.adapter]
  if (open === undefined) throw new Error(`adapter "${chosen.adapter}" does not exist`)
  return open({ url: chosen.url })
}

/**
 * Builds the base of a daemon: it follows the configuration and the host list from the start; `peers` listens when told to.
 *
 * @param options settings and handlers
 * @returns the base
 *
 * @example
 * ```ts
 * import { createBase } from 'briarloom/daemon'
 *
 * console.assert(typeof createBase === 'function')
 * ```
 */
export function createDaemonBase (options: DaemonBaseOptions): DaemonBase {
  const { settings } = options
  const timer = createSystemTimer()
  const log = createLog({ name: settings.name, level: settings.log.level })
  const metrics = createMetrics(settings.metrics)
  const config = createConfiguration()
  const members = createMembership()
  const incarnation = timer.wall()
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
  const links = createConnectionManager(peers)
  const relay = createConfigRelay({
    self: { name, availabilityZone, region }, timer, config, service, send: peers.send, random: Math.random, onEvent: onRelayEvent
  })

  const relayEvents: { [K in RelayEventKind]: (event: Extract<RelayEvent, { kind: K }>) => void } = {
    [RelayEventKind.Ready]: ({ revision }) => log.info({ revision }, 'configuration is safe to serve from'),
    [RelayEventKind.Applied]: ({ from, revision, keys }) => {
      log.info({ from, revision, keys: keys.length }, 'configuration in force')
    },
    [RelayEventKind.Rejected]: ({ from, rejected }) => {
      metrics.count(Metric.ConfigRefused, rejected.length)
      log.error({ from, rejected }, 'configuration records refused')
    },
    [RelayEventKind.ReadFailed]: ({ message, limited }) => {
      metrics.count(Metric.ConfigReads, 1, { result: limited ? 'limited' : 'failed' })
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
    [MessageKind.PeerReport]: (_peer, msg) => changed(members.recordPeerReport(msg, timer.now())),
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
    changed(members.recordConnection({ ...peer, process }, timer.now()))
    relay.addPeer(peer.name)
    options.handlers.onUp(peer)
  }

  function onDown (peer: Peer, reason: string): void {
    if (peer.process === 'tool') return
    changed(members.recordDisconnection(peer.name, peer.incarnation, timer.now()))
    relay.removePeer(peer.name)
    options.handlers.onDown(peer, reason)
  }

  function changed (changes: MemberChange[]): void {
    if (changes.length > 0) options.onMemberChanges(changes)
  }

  /** Keeps connections to the processes with which configuration is exchanged. */
  function followRelay (): void {
    relay.setMembers(members.list())
    const wanted = relay.wantedPeers().map((peer) => members.get(peer)).filter((member) => member !== undefined)
    links.setWanted('relay', wanted)
  }

  function onHosts (hosts: HostEntry[]): void {
    changed(members.applyHostList(hosts, timer.now()))
    followRelay()
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

  function sendGauges (): void {
    const connected = peers.list()
    for (const process of ['entry', 'agent', 'tool']) {
      const count = connected.filter((peer) => peer.process === process).length
      metrics.gauge(Metric.Connections, count, { process })
    }
    metrics.gauge(Metric.ConfigRevision, config.revision())
  }

  const hosts = pollHosts({ timer, hostList, random: Math.random, onHosts })
  const { heartbeatMs, leaseMs } = settings.timings
  timer.every(heartbeatMs, sendGauges)
  timer.onPause(leaseMs, () => metrics.count(Metric.Pauses, 1))
  timer.every(memberTickMs, () => changed(members.updateStates(timer.now())))
  relay.start()

  return {
    timer,
    log,
    metrics,
    config,
    peers,
    members,
    connectionManager: links,
    incarnation,
    isConfigured: relay.isReady,
    reportMemberChanges: changed,
    async close () {
      hosts.close()
      relay.close()
      await peers.close()
      await service.close()
      await hostList.close()
      await metrics.close()
      timer.close()
    }
  }
}
