/**
 * Steps for the table of peers, over real sockets.
 */
import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createSystemTimer } from '../timer/mod.ts'
import { MessageKind } from '../wire/mod.ts'
import { createPeers } from './mod.ts'
import type { Timer } from '../timer/mod.ts'
import type { Peers } from './mod.ts'

interface Node {
  peers: Peers
  address: string
  downs: number
  messages: number
}

interface World {
  peerTimer: Timer
  peerNodes: Map<string, Node>
}

async function startNode (world: World, name: string, incarnation: number, port = 0): Promise<Node> {
  const node: Node = { peers: undefined as unknown as Peers, address: '', downs: 0, messages: 0 }
  node.peers = createPeers({
    timer: world.peerTimer,
    self: { name, process: 'entry', incarnation, availabilityZone: 'levis', region: 'qc-est' },
    handlers: {
      onUp () {},
      onDown () { node.downs += 1 },
      onMessage () { node.messages += 1 }
    },
    revision: () => 0,
    random: () => 0.5
  })
  node.address = (await node.peers.listen('127.0.0.1', port)).unwrap()
  world.peerNodes.set(name, node)
  return node
}

function getNode (world: World, name: string): Node {
  const found = world.peerNodes.get(name)
  assert.ok(found, `no peer "${name}"`)
  return found
}

async function waitUntil (world: World, limitMs: number, check: () => boolean): Promise<void> {
  const endMs = world.peerTimer.now() + limitMs
  while (!check()) {
    assert.ok(world.peerTimer.now() < endMs, `condition not met within ${limitMs} ms`)
    await new Promise<void>((resolve) => { world.peerTimer.after(20, resolve) })
  }
}

Given('peers {string} and {string} that listen', async function (this: World, first: string, second: string) {
  this.peerTimer = createSystemTimer()
  this.peerNodes = new Map()
  await startNode(this, first, 1)
  await startNode(this, second, 1)
})

After(async function (this: Partial<World>) {
  for (const item of this.peerNodes?.values() ?? []) await item.peers.close()
  this.peerTimer?.close()
})

When('the peers dial each other at the same time', function (this: World) {
  getNode(this, 'a').peers.dial('b', getNode(this, 'b').address)
  getNode(this, 'b').peers.dial('a', getNode(this, 'a').address)
})

Then('the peers keep one connection and both can send within {int} ms', async function (this: World, limitMs: number) {
  const [a, b] = [getNode(this, 'a'), getNode(this, 'b')]
  const digest = { kind: MessageKind.ConfigDigest as const, revision: 1, wants: false }
  await waitUntil(this, limitMs, () => {
    a.peers.send('b', digest)
    b.peers.send('a', digest)
    return a.messages > 0 && b.messages > 0
  })
  const downs = a.downs + b.downs
  await new Promise<void>((resolve) => { this.peerTimer.after(500, resolve) })
  assert.equal(a.downs + b.downs, downs, 'the connection was replaced again')
})

When('peer {string} dials {string}, and {string} restarts at the same address',
  async function (this: World, from: string, to: string, again: string) {
    const address = getNode(this, to).address
    getNode(this, from).peers.dial(to, address)
    await waitUntil(this, 2000, () => getNode(this, from).peers.get(to) !== undefined)
    await getNode(this, again).peers.close()
    await startNode(this, again, 2, Number(address.split(':')[1]))
  })

Then('peer {string} sees the new incarnation of {string} within {int} ms',
  async function (this: World, from: string, to: string, limitMs: number) {
    await waitUntil(this, limitMs, () => getNode(this, from).peers.get(to)?.incarnation === 2)
  })
