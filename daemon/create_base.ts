/**
 * Builds what entries and agents have in common.
 */
import { createConfiguration } from '../core/configuration/mod.ts'
import { createLog } from '../log/mod.ts'
import { createMetrics } from '../metrics/mod.ts'
import { createPeers } from '../peer/mod.ts'
import { configAdapters, hostListAdapters } from '../platform/mod.ts'
import { createSystemTimer } from '../timer/mod.ts'
import { MessageKind } from '../wire/mod.ts'
import { followPlatform } from './_follow_platform.ts'
import type { Configuration } from '../core/configuration/mod.ts'
import type { Log } from '../log/mod.ts'
import type { Metrics } from '../metrics/mod.ts'
import type { Peer, PeerHandlers, Peers } from '../peer/mod.ts'
import type { HostEntry } from '../platform/mod.ts'
import type { Settings } from '../settings/mod.ts'
import type { Timer } from '../timer/mod.ts'
import type { Message } from '../wire/mod.ts'

/** Configures the base of a daemon. */
export interface BaseOptions {
  settings: Settings
  handlers: PeerHandlers
  /** Answers a status request of a tool. */
  status: () => Record<string, unknown>
  /** Answers an explain request of a tool. */
  explain: (requestId: string) => Array<Record<string, unknown>>
  /** Gets the host list whenever it was read. */
  onHosts: (hosts: HostEntry[]) => void
}

/** What entries and agents have in common. */
export interface Base {
  timer: Timer
  log: Log
  metrics: Metrics
  config: Configuration
  peers: Peers
  incarnation: number
  close (): Promise<void>
}

/** Opens an adapter by its name, which the settings have checked. */
function openAdapter<T> (table: { [name: string]: (options: { url: string }) => T }, chosen: { adapter: string, url: string }): T {
  const open = table[chosen.adapter]
  if (open === undefined) throw new Error(`adapter "${chosen.adapter}" does not exist`)
  return open({ url: chosen.url })
}

/**
 * Builds the base of a daemon. The configuration is followed from the start; `peers` listens only when told to.
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
export function createBase (options: BaseOptions): Base {
  const { settings } = options
  const timer = createSystemTimer()
  const log = createLog({ name: settings.name, level: settings.log.level })
  const metrics = createMetrics(settings.metrics)
  const config = createConfiguration()
  const incarnation = timer.wall()
  const service = openAdapter(configAdapters, settings.platform.config)
  const hostList = openAdapter(hostListAdapters, settings.platform.hosts)

  function onMessage (peer: Peer, msg: Message): void {
    if (msg.kind === MessageKind.Status) {
      peers.send(peer.name, { kind: MessageKind.StatusReply, status: status() })
    } else if (msg.kind === MessageKind.Explain) {
      const decisions = options.explain(msg.requestId)
      peers.send(peer.name, { kind: MessageKind.ExplainReply, requestId: msg.requestId, decisions })
    } else {
      options.handlers.onMessage(peer, msg)
    }
  }

  function status (): Record<string, unknown> {
    return {
      name: settings.name,
      process: settings.process,
      incarnation,
      availabilityZone: settings.availabilityZone,
      region: settings.region,
      configuration: { revision: config.revision(), problems: config.problems() },
      peers: peers.list().map(({ name, process, incarnation }) => ({ name, process, incarnation })),
      ...options.status()
    }
  }

  const { name, process, availabilityZone, region, psk } = settings
  const peers = createPeers({
    timer,
    self: { name, process, incarnation, availabilityZone, region },
    handlers: { ...options.handlers, onMessage },
    revision: () => config.revision(),
    psk: psk === undefined ? undefined : { identity: psk.identity, key: Buffer.from(psk.keyHex, 'hex') },
    random: Math.random,
    maxFrameBytes: settings.limits.maxFrameBytes
  })

  const follower = followPlatform({ timer, log, config, service, hostList, onHosts: options.onHosts })

  return {
    timer,
    log,
    metrics,
    config,
    peers,
    incarnation,
    async close () {
      follower.close()
      await peers.close()
      await service.close()
      await hostList.close()
      timer.close()
    }
  }
}
