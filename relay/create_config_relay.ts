/**
 * Brings the configuration into force everywhere: a few processes read the service, the others get it from peers.
 */
import type { ConfigurationPage } from '../core/configuration/mod.ts'
import type { SubsetMember } from '../core/subset/mod.ts'
import type { Subscription } from '../timer/mod.ts'
import { MessageKind } from '../wire/mod.ts'
import type { ConfigDigest, ConfigRecords } from '../wire/mod.ts'
import { applyDefaults } from './_options.ts'
import type { ConfigRelayOptions } from './_options.ts'
import { estimateBytes, splitPage } from './_pages.ts'
import { createRelayPeerTable } from './_relay_peer_table.ts'
import { createConfigReader } from './_config_reader.ts'
import { RelayEventKind } from './_types.ts'
import type { ConfigRelay, RelayMessage, RelayStatus } from './_types.ts'

const maxPushBytes = 64 * 1024

/**
 * Creates a relay that brings a configuration store up to date and keeps it so.
 *
 * A few readers of each availability zone watch the service and push changes along two trees. Each process exchanges digests with
 * its links once a second, and who is behind asks for the difference. A starting process asks its peers before it serves, so that a
 * stale service cannot take it back. A process whose peers fall silent, or whose peers heard nothing from the
 * service for long, reads the service itself, spread by jitter and backoff.
 *
 * @param options the store, the service, the identity, the way to send, and the bounds in milliseconds
 * @returns the relay; it does nothing before `start`
 *
 * @example
 * ```ts
 * import { createConfiguration } from 'briarloom/core/configuration'
 * import { createConfigHttp } from 'briarloom/source'
 * import { createConfigRelay } from 'briarloom/relay'
 * import { createSystemTimer } from 'briarloom/timer'
 *
 * const timer = createSystemTimer()
 * const config = createConfiguration()
 * const service = createConfigHttp({ url: 'http://127.0.0.1:8500' })
 * const self = { name: 'e1', availabilityZone: 'levis', region: 'qc-est' }
 * const relay = createConfigRelay({ timer, config, service, self, send: () => {}, random: () => 0.5 })
 * relay.start()
 * relay.close()
 * timer.close()
 * ```
 */
export function createConfigRelay (options: ConfigRelayOptions): ConfigRelay {
  const { timer, config, service, send, random, onEvent = () => {} } = options
  const { self, readersPerZone, fanOut, digestPeriodMs, peerSilenceMs, maxSourceAgeMs, bootstrapWaitMs, requestTimeoutMs, bounds } = applyDefaults(options)
  const peers = createRelayPeerTable({ self, readersPerZone, fanOut, now: () => timer.now() })
  const subscriptions: Subscription[] = []
  let startedMs: number | undefined
  let heardMs: number | undefined
  let sourceReadMs: number | undefined
  let asked: { peer: string, atMs: number } | undefined
  let nextAsked = 0
  let hasRead = false
  let isReady = false
  const reader = createConfigReader({
    timer,
    service,
    bounds,
    random,
    revision: () => config.revision(),
    onPage: takeServicePage,
    onError: (err) => onEvent({ kind: RelayEventKind.ReadFailed, ...err })
  })

  function digest (wants: boolean, reply = false): ConfigDigest {
    return {
      kind: MessageKind.ConfigDigest,
      revision: config.revision(),
      wants,
      ...(reply && { reply }),
      ...(sourceReadMs !== undefined && { ageMs: Math.max(0, timer.now() - sourceReadMs) })
    }
  }

  function ask (peer: string): void {
    if (asked !== undefined && timer.now() - asked.atMs < requestTimeoutMs) return
    asked = { peer, atMs: timer.now() }
    send(peer, digest(true))
  }

  function becomeReady (): void {
    if (isReady) return
    isReady = true
    onEvent({ kind: RelayEventKind.Ready, revision: config.revision() })
    for (const name of peers.names()) {
      if (peers.isLink(name) || peers.isSubscriber(name)) send(name, digest(false))
    }
  }

  function take (from: string, page: ConfigurationPage): void {
    const before = config.revision()
    const result = config.apply(page)
    const rejected = result.rejected.filter((change) => change.error !== undefined)
    const keys = result.applied.map((change) => change.key)
    if (keys.length > 0) onEvent({ kind: RelayEventKind.Applied, from, revision: config.revision(), keys })
    if (rejected.length > 0) onEvent({ kind: RelayEventKind.Rejected, from, rejected })
    // What a process holds before it is ready may be older than what its peers have in force.
    if (result.hasChanged && isReady) spread(before, from)
  }

  function spread (before: number, from: string): void {
    const page = config.createPageSince(before)
    const isPushable = isSmall(page)
    for (const name of peers.names()) {
      if (name === from) continue
      const getsPush = peers.isLinkedReader(name) || peers.isSubscriber(name)
      const isBehind = peers.getOrAdd(name).revision < page.revision ||
        page.changes.some((change) => change.revision > page.revision)
      if (getsPush && isBehind && isPushable) sendPage(name, page)
      else if (getsPush || peers.isLink(name)) send(name, digest(false))
    }
  }

  function sendPage (peer: string, page: ConfigurationPage): void {
    for (const msg of splitPage(page)) send(peer, msg)
  }

  function takeServicePage (page: ConfigurationPage): void {
    // A page older than what is known comes from a stale service and says nothing about the present.
    if (page.revision >= config.revision()) sourceReadMs = timer.now()
    hasRead = true
    take('service', page)
    if (isBootstrapOver()) becomeReady()
  }

  function isBootstrapOver (): boolean {
    if (!hasRead || startedMs === undefined) return false
    return peers.wantedPeers().length === 0 || timer.now() - startedMs >= bootstrapWaitMs
  }

  function takeDigest (name: string, msg: ConfigDigest): void {
    const peer = peers.getOrAdd(name)
    peer.revision = Math.max(peer.revision, msg.revision)
    if (msg.ageMs !== undefined) sourceReadMs = Math.max(sourceReadMs ?? -Infinity, timer.now() - msg.ageMs)
    const isLink = peers.isLink(name)
    if (!isLink && msg.reply !== true) peers.addSubscriber(name)
    const wantsAnswer = msg.wants || (!isLink && msg.reply !== true)
    const page = wantsAnswer && isReady && msg.revision < config.revision() ? config.createPageSince(msg.revision) : undefined
    if (page !== undefined && (msg.wants || isSmall(page))) sendPage(name, page)
    else if (wantsAnswer) send(name, digest(false, true))
    if (msg.revision > config.revision()) ask(name)
    // A peer that is not ready answers with a digest; once it is ready, it may be asked again without waiting.
    if (msg.reply === true && asked?.peer === name) asked = undefined
  }

  function takeRecords (name: string, msg: ConfigRecords): void {
    const peer = peers.getOrAdd(name)
    const page = peer.joiner.push(msg)
    if (page === undefined) return
    if (asked?.peer === name) asked = undefined
    peer.revision = Math.max(peer.revision, page.revision)
    take(name, page)
    if (page.revision > config.revision()) ask(name)
    else if (page.revision > 0) becomeReady()
  }

  const handlers = {
    [MessageKind.ConfigDigest]: takeDigest,
    [MessageKind.ConfigRecords]: takeRecords
  } as { [K in RelayMessage['kind']]: (name: string, msg: RelayMessage) => void }

  function handle (name: string, msg: RelayMessage): void {
    if (peers.isLink(name)) heardMs = timer.now()
    handlers[msg.kind](name, msg)
  }

  function tick (): void {
    const links = peers.names().filter(peers.isLink)
    for (const name of links) send(name, digest(false))
    const sources = links.length > 0 ? links : peers.names()
    if (!isReady && sources.length > 0) ask(sources[nextAsked++ % sources.length] as string)
    reader.setDirectReading(isNeedy())
    if (isBootstrapOver()) becomeReady()
  }

  function isNeedy (): boolean {
    const nowMs = timer.now()
    const isSilent = nowMs - (heardMs ?? startedMs ?? nowMs) > peerSilenceMs
    return isSilent || nowMs - (sourceReadMs ?? startedMs ?? nowMs) > maxSourceAgeMs
  }

  function setMembers (members: SubsetMember[]): void {
    peers.setMembers(members)
    if (startedMs !== undefined) reader.setWatching(peers.chosenPeers().isReader)
  }

  function status (): RelayStatus {
    return {
      ready: isReady,
      isReader: peers.chosenPeers().isReader,
      revision: config.revision(),
      highestSeen: config.highestSeen(),
      ...(sourceReadMs !== undefined && { ageMs: timer.now() - sourceReadMs }),
      links: peers.names().filter(peers.isLink).length,
      subscribers: peers.names().filter(peers.isSubscriber).length,
      ...reader.readCounts()
    }
  }

  return {
    start () {
      startedMs = timer.now()
      reader.setWatching(peers.chosenPeers().isReader)
      // A random phase keeps the digests of processes apart that start together.
      subscriptions.push(timer.after(random() * digestPeriodMs, () => {
        subscriptions.push(timer.every(digestPeriodMs, tick))
        tick()
      }))
    },
    handleMessage: handle,
    addPeer (name) {
      peers.add(name)
      if (!peers.isLink(name)) return
      if (isReady) send(name, digest(false))
      else ask(name)
    },
    removePeer: peers.remove,
    setMembers,
    wantedPeers: peers.wantedPeers,
    isReady: () => isReady,
    status,
    close () {
      reader.close()
      for (const subscription of subscriptions) subscription.cancel()
    }
  }
}

function isSmall (page: ConfigurationPage): boolean {
  const size = page.changes.reduce((sum, change) => sum + estimateBytes(change), 0)
  return !page.complete && size <= maxPushBytes
}
