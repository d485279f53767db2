/**
 * Steps for configuration relays over loopback sockets, with stand-ins for the configuration service.
 */
import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createConfiguration } from '../core/configuration/mod.ts'
import type { Configuration } from '../core/configuration/mod.ts'
import { chooseReaders } from '../core/subset/mod.ts'
import type { SubsetMember } from '../core/subset/mod.ts'
import { createPeers } from '../peer/mod.ts'
import type { Peers } from '../peer/mod.ts'
import { createConfigHttp } from '../source/mod.ts'
import { startConfigService } from '../testing/config_service/mod.ts'
import type { ConfigServiceStandIn } from '../testing/config_service/mod.ts'
import { FaultKind } from '../testing/faults/mod.ts'
import { createSystemTimer } from '../timer/mod.ts'
import type { Timer } from '../timer/mod.ts'
import { MessageKind } from '../wire/mod.ts'
import { recordValue } from './_fleet_test.ts'
import { createConfigRelay } from './mod.ts'
import type { ConfigRelay, RelayMessage } from './mod.ts'

interface Node {
  config: Configuration
  relay: ConfigRelay
  address: string
  /** Record values that were in force while the relay was ready. */
  readyValues: Set<number>
  close (): Promise<void>
}

interface World {
  socketTimer: Timer
  fresh: ConfigServiceStandIn
  stale: ConfigServiceStandIn
  members: SubsetMember[]
  socketNodes: Map<string, Node>
  revision: number
  restarted: string
  peakReads: number
}

const pollMs = 50

function sleep (world: World, ms: number): Promise<void> {
  return new Promise((resolve) => { world.socketTimer.after(ms, resolve) })
}

function writeBoth (world: World, timeoutMs: number): number {
  const value = JSON.stringify({ schema: 1, calls: [], timeoutMs })
  world.stale.writeRecord('service/s', value)
  return world.fresh.writeRecord('service/s', value).revision
}

async function startNode (world: World, self: SubsetMember, service: ConfigServiceStandIn): Promise<Node> {
  const timer = world.socketTimer
  const config = createConfiguration()
  const readyValues = new Set<number>()
  const adapter = createConfigHttp({ url: `http://${service.address}` })
  const peers: Peers = createPeers({
    timer,
    self: { ...self, process: 'agent', incarnation: timer.wallClockMs() },
    random: Math.random,
    revision: () => config.revision(),
    handlers: {
      onUp: ({ name }) => relay.addPeer(name),
      onDown: ({ name }) => relay.removePeer(name),
      onMessage (peer, msg) {
        const isRelayed = msg.kind === MessageKind.ConfigDigest || msg.kind === MessageKind.ConfigRecords
        if (isRelayed) relay.handleMessage(peer.name, msg as RelayMessage)
      }
    }
  })
  const relay = createConfigRelay({
    timer, config, service: adapter, self, random: Math.random, send: (peer, msg) => { peers.send(peer, msg) }
  })
  const address = (await peers.listen('127.0.0.1', 0)).unwrap()
  const watch = timer.every(pollMs, () => { if (relay.isReady()) readyValues.add(recordValue(config)) })
  relay.setMembers(world.members)
  const dialAll = (): void => {
    for (const name of relay.wantedPeers()) {
      const peer = world.socketNodes.get(name)
      if (peer !== undefined) peers.dial(name, peer.address)
    }
  }
  const dialling = timer.every(pollMs, dialAll)
  async function close (): Promise<void> {
    watch.cancel()
    dialling.cancel()
    relay.close()
    await peers.close()
    await adapter.close()
  }
  relay.start()
  return { config, relay, address, readyValues, close }
}

async function waitUntil (world: World, limitMs: number, isDone: () => boolean): Promise<void> {
  const endMs = world.socketTimer.now() + limitMs
  while (!isDone() && world.socketTimer.now() < endMs) await sleep(world, pollMs)
}

/** Returns the number of reads by all relays, including reads that failed because a service was down. */
function countReads (world: World): number {
  return [...world.socketNodes.values()].reduce((sum, { relay }) => sum + relay.status().reads, 0)
}

After(async function (this: Partial<World>) {
  if (this.socketNodes === undefined) return
  for (const node of this.socketNodes.values()) await node.close()
  await this.fresh?.close()
  await this.stale?.close()
  this.socketTimer?.close()
})

Given('{int} relays over sockets in {int} availability zones, one reader using a fresh service and the others a stale one',
  { timeout: 20_000 }, async function (this: World, count: number, zones: number) {
    this.socketTimer = createSystemTimer()
    this.fresh = await startConfigService()
    this.stale = await startConfigService()
    this.socketNodes = new Map()
    this.members = Array.from({ length: count }, (_, i) => ({ name: `n${i}`, availabilityZone: `z${i % zones}`, region: 'r' }))
    const old = writeBoth(this, 1)
    const first = chooseReaders({ members: this.members, perZone: 3 })[0]
    for (const member of this.members) {
      const node = await startNode(this, member, member.name === first ? this.fresh : this.stale)
      this.socketNodes.set(member.name, node)
    }
    await waitUntil(this, 10_000, () => [...this.socketNodes.values()].every(({ relay }) => relay.isReady()))
    for (const { config } of this.socketNodes.values()) assert.equal(config.revision(), old)
    this.stale.gate.setFault(FaultKind.Stale, 0)
  })

When('both services get a change for the socket relays and the fresh service goes down {int} ms later', async function (this: World, ms: number) {
  this.peakReads = countReads(this)
  this.revision = writeBoth(this, 2)
  await sleep(this, ms)
  this.peakReads = countReads(this) - this.peakReads
  this.fresh.gate.setFault(FaultKind.Down, 0)
})

Then('within {int} s the change is in force at every socket relay', { timeout: 10_000 },
  async function (this: World, seconds: number) {
    const isEverywhere = (): boolean => [...this.socketNodes.values()].every(({ config }) => recordValue(config) === 2)
    await waitUntil(this, seconds * 1000, isEverywhere)
    assert.ok(isEverywhere())
  })

Then('the socket relays read the services fewer than {int} times per second', async function (this: World, most: number) {
  assert.ok(this.peakReads < most / 2, `${this.peakReads} reads in half a second with the change`)
  const before = countReads(this)
  await sleep(this, 1000)
  const reads = countReads(this) - before
  assert.ok(reads < most, `${reads} reads in a second with a service down`)
})

When('a socket relay restarts while one service is stale and the other is down', async function (this: World) {
  // A reader is the harder case, because it reads the stale service immediately after the start.
  this.restarted = chooseReaders({ members: this.members, perZone: 3 }).at(-1)!
  await this.socketNodes.get(this.restarted)!.close()
  const member = this.members.find(({ name }) => name === this.restarted)!
  this.socketNodes.set(this.restarted, await startNode(this, member, this.stale))
})

Then('the restarted socket relay is ready within {int} s, is never ready with the old configuration, and keeps the change for {int} s',
  { timeout: 10_000 }, async function (this: World, limitS: number, keepS: number) {
    const node = this.socketNodes.get(this.restarted)!
    await waitUntil(this, limitS * 1000, () => node.relay.isReady())
    assert.ok(node.relay.isReady())
    await sleep(this, keepS * 1000)
    assert.deepEqual([...node.readyValues], [2])
    assert.equal(node.config.revision(), this.revision)
  })
