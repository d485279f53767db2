/**
 * Distributes the configuration to every process: a few processes read the configuration service, the others receive it
 * from peers.
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

/** Larger pages are not pushed: the peer gets a digest and requests the page if it needs it. */
const maxPushedPageBytes = 64 * 1024

/**
 * Creates a relay that brings a configuration store up to date and keeps it up to date.
 *
 * A few readers of each availability zone watch the configuration service and push changes along two trees. Each process
 * exchanges digests with its links once per `digestPeriodMs`, and a process that is behind requests the missing changes. A
 * starting process asks its peers before it is ready, so that a stale service cannot return it to an older configuration. A
 * process whose links are silent, or whose last known read of the service is too old, reads the service itself; jitter and
 * backoff spread these reads over time.
 *
 * @param options the store, the service, the identity of this process, the send function, and the bounds in milliseconds
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
  const {
    self, readersPerZone, fanOut, digestPeriodMs, peerSilenceMs, maxSourceAgeMs, bootstrapWaitMs, requestTimeoutMs, bounds
  } = applyDefaults(options)
  const peers = createRelayPeerTable({ self, readersPerZone, fanOut, now: () => timer.now() })
  const subscriptions: Subscription[] = []
  let startedMs: number | undefined
  let lastLinkMessageMs: number | undefined
  /** Latest known time at which this process, or a peer on which it relies, read the service. */
  let serviceReadMs: number | undefined
  let pendingRequest: { peer: string, atMs: number } | undefined
  let nextSourceIndex = 0
  let hasReadService = false
  let isReady = false
  const reader = createConfigReader({
    timer,
    service,
    bounds,
    random,
    revision: () => config.revision(),
    onPage: onServicePage,
    onError: (err) => onEvent({ kind: RelayEventKind.ReadFailed, ...err })
  })

  function buildDigest (wants: boolean, reply = false): ConfigDigest {
    return {
      kind: MessageKind.ConfigDigest,
      revision: config.revision(),
      wants,
      ...(reply && { reply }),
      ...(serviceReadMs !== undefined && { ageMs: Math.max(0, timer.now() - serviceReadMs) })
    }
  }

  function requestUpdate (peer: string): void {
    if (pendingRequest !== undefined && timer.now() - pendingRequest.atMs < requestTimeoutMs) return
    pendingRequest = { peer, atMs: timer.now() }
    send(peer, buildDigest(true))
  }

  function becomeReady (): void {
    if (isReady) return
    isReady = true
    onEvent({ kind: RelayEventKind.Ready, revision: config.revision() })
    for (const name of peers.names()) {
      if (peers.isLink(name) || peers.isSubscriber(name)) send(name, buildDigest(false))
    }
  }

  function applyPage (from: string, page: ConfigurationPage): void {
    const revisionBefore = config.revision()
    const result = config.apply(page)
    const rejected = result.rejected.filter((change) => change.error !== undefined)
    const keys = result.applied.map((change) => change.key)
    if (keys.length > 0) onEvent({ kind: RelayEventKind.Applied, from, revision: config.revision(), keys })
    if (rejected.length > 0) onEvent({ kind: RelayEventKind.Rejected, from, rejected })
    // Before a process is ready, its configuration may be older than the one in force at its peers.
    if (result.hasChanged && isReady) propagate(revisionBefore, from)
  }

  function propagate (revisionBefore: number, from: string): void {
    const page = config.createPageSince(revisionBefore)
    const isPagePushable = isPushable(page)
    for (const name of peers.names()) {
      if (name === from) continue
      const isPushTarget = peers.isLinkedReader(name) || peers.isSubscriber(name)
      const isBehind = peers.getOrAdd(name).revision < page.revision ||
        page.changes.some((change) => change.revision > page.revision)
      if (isPushTarget && isBehind && isPagePushable) sendPage(name, page)
      else if (isPushTarget || peers.isLink(name)) send(name, buildDigest(false))
    }
  }

  function sendPage (peer: string, page: ConfigurationPage): void {
    for (const msg of splitPage(page)) send(peer, msg)
  }

  function onServicePage (page: ConfigurationPage): void {
    // A page below the known revision comes from a stale service, so the read does not count as a recent one.
    if (page.revision >= config.revision()) serviceReadMs = timer.now()
    hasReadService = true
    applyPage('service', page)
    if (isBootstrapOver()) becomeReady()
  }

  function isBootstrapOver (): boolean {
    if (!hasReadService || startedMs === undefined) return false
    return peers.wantedPeers().length === 0 || timer.now() - startedMs >= bootstrapWaitMs
  }

  function onDigest (name: string, msg: ConfigDigest): void {
    const peer = peers.getOrAdd(name)
    peer.revision = Math.max(peer.revision, msg.revision)
    if (msg.ageMs !== undefined) serviceReadMs = Math.max(serviceReadMs ?? -Infinity, timer.now() - msg.ageMs)
    // A digest that is not a reply, from a peer that is not a link, subscribes the peer and is answered.
    const isLink = peers.isLink(name)
    if (!isLink && msg.reply !== true) peers.addSubscriber(name)
    const shouldAnswer = msg.wants || (!isLink && msg.reply !== true)
    const page = shouldAnswer && isReady && msg.revision < config.revision() ? config.createPageSince(msg.revision) : undefined
    if (page !== undefined && (msg.wants || isPushable(page))) sendPage(name, page)
    else if (shouldAnswer) send(name, buildDigest(false, true))
    if (msg.revision > config.revision()) requestUpdate(name)
    // A peer that is not ready answers a request with a digest only. Clearing the request lets the next one go out without
    // waiting for the timeout.
    if (msg.reply === true && pendingRequest?.peer === name) pendingRequest = undefined
  }

  function onRecords (name: string, msg: ConfigRecords): void {
    const peer = peers.getOrAdd(name)
    const page = peer.joiner.push(msg)
    if (page === undefined) return
    if (pendingRequest?.peer === name) pendingRequest = undefined
    peer.revision = Math.max(peer.revision, page.revision)
    applyPage(name, page)
    if (page.revision > config.revision()) requestUpdate(name)
    else if (page.revision > 0) becomeReady()
  }

  const handlers = {
    [MessageKind.ConfigDigest]: onDigest,
    [MessageKind.ConfigRecords]: onRecords
  } as { [K in RelayMessage['kind']]: (name: string, msg: RelayMessage) => void }

  function handleMessage (name: string, msg: RelayMessage): void {
    if (peers.isLink(name)) lastLinkMessageMs = timer.now()
    handlers[msg.kind](name, msg)
  }

  function tick (): void {
    const links = peers.names().filter(peers.isLink)
    for (const name of links) send(name, buildDigest(false))
    const sources = links.length > 0 ? links : peers.names()
    if (!isReady && sources.length > 0) requestUpdate(sources[nextSourceIndex++ % sources.length] as string)
    reader.setDirectReading(shouldReadDirectly())
    if (isBootstrapOver()) becomeReady()
  }

  function shouldReadDirectly (): boolean {
    const nowMs = timer.now()
    const isSilent = nowMs - (lastLinkMessageMs ?? startedMs ?? nowMs) > peerSilenceMs
    return isSilent || nowMs - (serviceReadMs ?? startedMs ?? nowMs) > maxSourceAgeMs
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
      ...(serviceReadMs !== undefined && { ageMs: timer.now() - serviceReadMs }),
      links: peers.names().filter(peers.isLink).length,
      subscribers: peers.names().filter(peers.isSubscriber).length,
      ...reader.readCounts()
    }
  }

  return {
    start () {
      startedMs = timer.now()
      reader.setWatching(peers.chosenPeers().isReader)
      // A random phase spreads the digests of processes that start at the same time.
      subscriptions.push(timer.after(random() * digestPeriodMs, () => {
        subscriptions.push(timer.every(digestPeriodMs, tick))
        tick()
      }))
    },
    handleMessage,
    addPeer (name) {
      peers.add(name)
      if (!peers.isLink(name)) return
      if (isReady) send(name, buildDigest(false))
      else requestUpdate(name)
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

/** Returns whether a page goes to peers that did not request it: an incremental page of at most `maxPushedPageBytes`. */
function isPushable (page: ConfigurationPage): boolean {
  const size = page.changes.reduce((sum, change) => sum + estimateBytes(change), 0)
  return !page.complete && size <= maxPushedPageBytes
}
