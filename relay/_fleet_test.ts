/**
 * A fleet of relays in one process with a manual timer, a lossy network and a configuration service with faults.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { createConfiguration } from '../core/configuration/mod.ts'
import type { Configuration } from '../core/configuration/mod.ts'
import { RecordKind } from '../core/records/mod.ts'
import { Err, Ok } from '../core/results/mod.ts'
import type { SubsetMember } from '../core/subset/mod.ts'
import type { ConfigChange, ConfigPage, ConfigService } from '../source/mod.ts'
import { createManualTimer } from '../timer/mod.ts'
import type { ManualTimer } from '../timer/mod.ts'
import { createConfigRelay } from './mod.ts'
import type { ConfigRelay } from './mod.ts'

/** How the service appears to one process. */
export type ServiceView = 'up' | 'down' | { staleAt: number }

export interface FleetNode {
  member: SubsetMember
  config: Configuration
  relay: ConfigRelay
  /** Revision of the record that was in force when the relay first said that it is ready. */
  readyAt?: number
  /** When the relay said so, in milliseconds. */
  readyMs?: number
}

export interface Fleet {
  timer: ManualTimer
  nodes: Map<string, FleetNode>
  /** What the service shows to each process; `up` when absent. */
  views: Map<string, ServiceView>
  reads: number
  lossShare: number
  write (): number
  run (ms: number): Promise<void>
  restart (name: string): void
  stop (name: string): void
}

const stepMs = 20
const delayMs = 5

export function recordValue (config: Configuration): number {
  return config.get(RecordKind.Service, 's')?.timeoutMs ?? 0
}

export function createFleet (count: number, zones: number, seed: number): Fleet {
  const timer = createManualTimer()
  const rng = xoroshiro128plus(seed)
  const random = (): number => uniformInt(rng, 0, 2 ** 30 - 1) / 2 ** 30
  const nodes = new Map<string, FleetNode>()
  const waiters = new Set<() => void>()
  const members = Array.from({ length: count }, (_, i) => ({
    name: `p${i}`, availabilityZone: `z${i % zones}`, region: 'r'
  }))
  let revision = 0

  function pageFor (name: string, after: number): ConfigPage {
    const view = fleet.views.get(name)
    const at = typeof view === 'object' ? view.staleAt : revision
    const change: ConfigChange = {
      key: 'service/s', revision: at, value: JSON.stringify({ schema: 1, calls: [], timeoutMs: at })
    }
    return { revision: at, changes: at > after ? [change] : [] }
  }

  function wait (waitMs: number, isDone: () => boolean): Promise<void> {
    return new Promise((resolve) => {
      const done = (): void => {
        timeout.cancel()
        waiters.delete(check)
        resolve()
      }
      const check = (): void => { if (isDone()) done() }
      const timeout = timer.after(waitMs, done)
      waiters.add(check)
      check()
    })
  }

  function createService (name: string): ConfigService {
    const isDown = (): boolean => fleet.views.get(name) === 'down'
    const read = async (after: number, waitMs: number) => {
      fleet.reads++
      await wait(waitMs, () => isDown() || pageFor(name, after).changes.length > 0)
      return isDown() ? Err({ message: 'down', limited: false }) : Ok(pageFor(name, after))
    }
    return { readAll: () => read(-1, 0), watch: read, close: async () => {} }
  }

  function start (member: SubsetMember): void {
    const { name } = member
    const config = createConfiguration()
    const relay = createConfigRelay({
      timer,
      config,
      service: createService(name),
      self: member,
      random,
      onEvent ({ kind }) {
        if (kind === 'ready') Object.assign(node, { readyAt: recordValue(config), readyMs: timer.now() })
      },
      send (peer, msg) {
        if (random() < fleet.lossShare) return
        timer.after(delayMs, () => {
          if (nodes.get(name) === node) nodes.get(peer)?.relay.handleMessage(name, msg)
        })
      }
    })
    const node: FleetNode = { member, config, relay }
    nodes.set(name, node)
    relay.setMembers(members)
    relay.start()
  }

  function link (): void {
    for (const [name, { relay }] of nodes) {
      for (const peer of relay.wantedPeers()) connectPair(name, peer)
    }
  }

  const linked = new Set<string>()
  function connectPair (a: string, b: string): void {
    const key = [a, b].sort().join(' ')
    if (linked.has(key) || !nodes.has(a) || !nodes.has(b)) return
    linked.add(key)
    nodes.get(a)?.relay.addPeer(b)
    nodes.get(b)?.relay.addPeer(a)
  }

  function stop (name: string): void {
    nodes.get(name)?.relay.close()
    nodes.delete(name)
    for (const key of linked) {
      const [a, b] = key.split(' ') as [string, string]
      if (a !== name && b !== name) continue
      linked.delete(key)
      nodes.get(a === name ? b : a)?.relay.removePeer(name)
    }
  }

  const fleet: Fleet = {
    timer,
    nodes,
    views: new Map(),
    reads: 0,
    lossShare: 0,
    write () {
      revision++
      for (const check of [...waiters]) check()
      return revision
    },
    async run (ms) {
      for (let passed = 0; passed < ms; passed += stepMs) {
        link()
        timer.advance(stepMs)
        // Lets the promises of reads settle.
        for (let i = 0; i < 8; i++) await null
      }
    },
    restart (name) {
      stop(name)
      start(members.find((member) => member.name === name)!)
    },
    stop
  }
  for (const member of members) start(member)
  return fleet
}
