/**
 * Steps for the bounds of an HTTP server, with stand-ins for sockets and requests.
 */
import assert from 'node:assert/strict'
import { EventEmitter } from 'node:events'
import { Given, Then, When } from '@cucumber/cucumber'
import { createByteBudget } from '../core/stream/mod.ts'
import { createManualTimer } from '../timer/mod.ts'
import { boundConnections, createBodyReader } from './mod.ts'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { ManualTimer } from '../timer/mod.ts'
import type { BodyReader } from './mod.ts'

interface FakeBody {
  req: EventEmitter
  sentBytes: number
  body?: Buffer
}

interface World {
  boundServer: EventEmitter
  boundTimer: ManualTimer
  closed: string[]
  nextAddress: number
  bodyReader: BodyReader
  fakeBodies: Map<string, FakeBody>
  givenUp: string[]
}

const lateMs = 2_000
const maxBytes = 1_000_000

function connect (world: World, name: string, address: string): EventEmitter {
  const socket = Object.assign(new EventEmitter(), { remoteAddress: address, destroy () { world.closed.push(name) } })
  world.boundServer.emit('connection', socket)
  return socket
}

/** Begins a request on a connection; returns its response. */
function request (world: World, socket: EventEmitter, complete: boolean): EventEmitter {
  const res = new EventEmitter()
  world.boundServer.emit('request', { socket, complete }, res)
  return res
}

Given('a server that takes {int} connections, {int} of them from one address', function (this: World, maxConnections: number, maxPerAddress: number) {
  this.boundServer = new EventEmitter()
  this.boundTimer = createManualTimer()
  this.closed = []
  this.nextAddress = 0
  boundConnections(this.boundServer as Server, { timer: this.boundTimer, maxConnections, maxPerAddress })
})

When('the connections {string} come from addresses of their own', function (this: World, names: string) {
  for (const name of names.split(', ')) {
    const socket = connect(this, name, `10.0.0.${++this.nextAddress}`)
    if (name === 'late') this.boundTimer.advance(lateMs)
    if (name === 'idle') request(this, socket, true).emit('close')
    if (name === 'sending') request(this, socket, false)
    if (name.startsWith('kept')) request(this, socket, true)
  }
})

When('the connection {string} comes from the address of none of them', function (this: World, name: string) { connect(this, name, '10.1.0.1') })

When('the connections {string} come from one address', function (this: World, names: string) {
  for (const name of names.split(', ')) connect(this, name, '10.2.0.1')
})

Then('the server has closed {string}', function (this: World, names: string) { assert.equal(this.closed.join(', '), names) })

Given('a reader of bodies with a budget of {int} bytes', function (this: World, bytes: number) {
  this.boundTimer = createManualTimer()
  this.bodyReader = createBodyReader({ timer: this.boundTimer, budget: createByteBudget({ maxBytes: bytes }) })
  this.fakeBodies = new Map()
  this.givenUp = []
})

function open (world: World, name: string, headers = {}): FakeBody {
  const socket = Object.assign(new EventEmitter(), { destroyed: false, pause () {}, resume () {}, destroy () {} })
  const fake: FakeBody = { req: Object.assign(new EventEmitter(), { headers, socket, complete: false }), sentBytes: 0 }
  world.fakeBodies.set(name, fake)
  world.bodyReader.read(fake.req as IncomingMessage, new EventEmitter() as ServerResponse, {
    maxBytes: () => maxBytes, onBody (body) { fake.body = body }, onFault (fault) { world.givenUp.push(`${name}: ${fault}`) }
  })
  return fake
}

function bring (world: World, name: string, bytes: number): void {
  const fake = world.fakeBodies.get(name) ?? open(world, name)
  fake.sentBytes += bytes
  fake.req.emit('data', Buffer.alloc(bytes, name))
}

When('bodies bring {string}', function (this: World, parts: string) {
  for (const part of parts.split(', ')) {
    const [name, bytes] = part.split(': ') as [string, string]
    bring(this, name, Number(bytes))
  }
})

When('the body {string} brings {int} bytes', function (this: World, name: string, bytes: number) { bring(this, name, bytes) })

When('a body {string} states {int} bytes', function (this: World, name: string, bytes: number) {
  open(this, name, { 'content-length': String(bytes) })
})

When('{int} ms pass at the reader, in which {string} brings {int} bytes', function (this: World, ms: number, name: string, bytes: number) {
  bring(this, name, bytes)
  this.boundTimer.advance(ms)
})

Then('the reader has given up {string}', function (this: World, faults: string) { assert.equal(this.givenUp.join(', '), faults) })

Then('the body {string} is read whole when it ends', function (this: World, name: string) {
  const fake = this.fakeBodies.get(name)
  fake?.req.emit('end')
  assert.ok(fake?.body?.equals(Buffer.alloc(fake.sentBytes, name)), `${fake?.body?.length} bytes`)
})
