/**
 * Steps for frames, messages and connections.
 */
import assert from 'node:assert/strict'
import { connect as connectTcp } from 'node:net'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { encodeCbor } from './_codec.ts'
import {
  MessageKind, connect, createFrameDecoder, encodeFrame, formatAddress, listen, parseAddress, validateMessage
} from './mod.ts'
import type { Connection, FrameDecoder, Listener, Message, Psk, WireError } from './mod.ts'

interface World {
  values: unknown[]
  sent: Message[]
  err: WireError | undefined
  listener: Listener
  accepted: Connection[]
  connection: Connection | undefined
  received: Message[][]
  reason: Promise<string>
  bufferedBytes: number
}

function createMessage (offset: number): Message {
  return { kind: MessageKind.Tokens, requestId: 'r1', attempt: 1, offset, tokens: [' été', ' 12'] }
}

function createPsk (key: string): Psk | undefined {
  return key === 'none' ? undefined : { identity: 'fleet', key: Buffer.from(key.repeat(6), 'hex') }
}

function createRawFrame (body: Uint8Array): Buffer {
  const header = Buffer.alloc(4)
  header.writeUInt32BE(body.length)
  return Buffer.concat([header, body])
}

function pushChunk (world: World, decoder: FrameDecoder, chunk: Uint8Array): void {
  const result = decoder.push(chunk)
  if (result.err) world.err = result.val
  else world.values.push(...result.val)
}

function collectMessages (connection: Connection, count: number): Promise<Message[]> {
  const messages: Message[] = []
  return new Promise((resolve) => {
    connection.onMessage((msg) => {
      messages.push(msg)
      if (messages.length === count) resolve(messages)
    })
  })
}

After({ tags: '@wire' }, async function (this: World) {
  this.connection?.close()
  await this.listener?.close()
})

When('wire frames of 5 messages arrive in pieces of {int} bytes', function (this: World, size: number) {
  this.values = []
  this.sent = [0, 1, 2, 3, 4].map(createMessage)
  const stream = Buffer.concat(this.sent.map(encodeFrame))
  const decoder = createFrameDecoder()
  for (let i = 0; i < stream.length; i += size) pushChunk(this, decoder, stream.subarray(i, i + size))
})

Then('the wire decoder returned the 5 messages in order', function (this: World) {
  assert.equal(this.err, undefined)
  assert.deepEqual(this.values, this.sent)
})

When('a wire decoder with a limit of 1000 bytes gets the hexadecimal bytes {string}', function (this: World, hex: string) {
  this.values = []
  pushChunk(this, createFrameDecoder({ maxFrameBytes: 1000 }), Buffer.from(hex, 'hex'))
})

When('a wire frame holds {int} nested arrays', function (this: World, depth: number) {
  this.values = []
  pushChunk(this, createFrameDecoder(), createRawFrame(Buffer.concat([Buffer.alloc(depth, 0x81), Buffer.of(0)])))
})

When('a wire frame holds a big integer of {int} bytes', function (this: World, size: number) {
  this.values = []
  const head = Buffer.from('c25a00000000', 'hex')
  head.writeUInt32BE(size, 2)
  pushChunk(this, createFrameDecoder(), createRawFrame(Buffer.concat([head, Buffer.alloc(size, 1)])))
})

Then('the wire decoder returned the error {string}', function (this: World, kind: string) {
  assert.equal(this.err?.kind, kind)
})

When(/^a wire message "resume" has the field "(\w+)" set to (.+)$/, function (this: World, field: string, json: string) {
  const valid = { kind: 'resume', requestId: 'r1', attempt: 1, offset: 0 }
  assert.ok(validateMessage(valid).ok)
  const result = validateMessage({ ...valid, [field]: JSON.parse(json) })
  if (result.err) this.err = result.val
})

Then('the error of the wire validator names {string}', function (this: World, field: string) {
  assert.match(this.err?.message ?? '', new RegExp(field))
})

Given('a wire listener with the key {string}', async function (this: World, key: string) {
  this.accepted = []
  const options = { host: '127.0.0.1', port: 0, onConnection: (c: Connection) => { this.accepted.push(c) } }
  const shared = createPsk(key)
  this.listener = (await listen(shared ? { ...options, psk: shared } : options)).unwrap()
})

async function openConnection (world: World, key: string): Promise<void> {
  const shared = createPsk(key)
  const address = world.listener.address
  const result = await connect(shared ? { address, psk: shared } : { address })
  if (result.err) world.err = result.val
  else world.connection = result.val
}

async function waitForAccepted (world: World): Promise<Connection> {
  for (let turn = 0; turn < 10000 && world.accepted.length === 0; turn++) await new Promise(setImmediate)
  const [connection] = world.accepted
  assert.ok(connection)
  return connection
}

When('a wire connection with the key {string} carries 2000 messages each way', async function (this: World, key: string) {
  await openConnection(this, key)
  assert.ok(this.connection, this.err?.message)
  const peer = await waitForAccepted(this)
  this.sent = Array.from({ length: 2000 }, (_, i) => createMessage(i))
  for (const msg of this.sent) {
    assert.ok(this.connection.send(msg))
    assert.ok(peer.send(msg))
  }
  this.received = await Promise.all([collectMessages(this.connection, 2000), collectMessages(peer, 2000)])
})

Then('both ends of the wire connection received all messages in order', function (this: World) {
  for (const messages of this.received) assert.deepEqual(messages, this.sent)
})

When('a wire connection with the key {string} sends a message', async function (this: World, key: string) {
  await openConnection(this, key)
  const connection = this.connection
  if (connection === undefined) return
  connection.onMessage(() => {})
  connection.send(createMessage(0))
  await new Promise((resolve) => { connection.onClose(resolve) })
})

Then('the wire listener accepted no connection and the wire connection is closed', function (this: World) {
  assert.equal(this.accepted.length, 0)
  assert.ok(this.err !== undefined || this.connection?.send(createMessage(1)) === false)
})

When('a wire peer sends a frame that is not a message', async function (this: World) {
  const socket = connectTcp(parseAddress(this.listener.address).unwrap())
  socket.on('error', () => {})
  socket.write(createRawFrame(encodeCbor({ kind: 'bogus' })))
  const peer = await waitForAccepted(this)
  this.reason = new Promise((resolve) => { peer.onClose(resolve) })
  peer.onMessage(() => assert.fail('a malformed message was delivered'))
})

Then('the wire connection closed with a reason that names {string}', async function (this: World, text: string) {
  assert.match(await this.reason, new RegExp(text))
})

When('a wire connection with a limit of {int} bytes sends to a peer that reads nothing', async function (this: World, limit: number) {
  const address = formatAddress('127.0.0.1', parseAddress(this.listener.address).unwrap().port)
  this.connection = (await connect({ address, maxBufferedBytes: limit })).unwrap()
  const large: Message = { kind: MessageKind.Tokens, requestId: 'r1', attempt: 1, offset: 0, tokens: ['x'.repeat(50000)] }
  for (let i = 0; i < 10000 && this.connection.send(large); i++) await new Promise(setImmediate)
  this.bufferedBytes = this.connection.bufferedBytes
})

Then('the wire connection refuses messages and buffers at most {int} bytes', function (this: World, bytes: number) {
  assert.equal(this.connection?.send(createMessage(0)), false)
  assert.ok(this.bufferedBytes <= bytes, String(this.bufferedBytes))
})
