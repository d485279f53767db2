/**
 * Runs as the peer of the measured process: opens connections to it, sends samples at a steady rate and replies as agents.
 */
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createSystemTimer } from '../../timer/mod.ts'
import { connect, MessageKind } from '../../wire/mod.ts'
import type { Connection, Message } from '../../wire/mod.ts'
import { buildHostListBody, buildSample } from './_samples.ts'
import type { SampleName } from './_samples.ts'

/** Commands of the measured process to this one, sent over the IPC channel. */
export type SourceCommand =
  | { op: 'connect', address: string, count: number }
  | { op: 'send', name: SampleName, size: number, count: number }
  | { op: 'play', tokens: number, batch: number }
  | { op: 'serve', hosts: number }
  | { op: 'close' }

/** Interval between two rounds of messages. */
const roundMs = 4
const timer = createSystemTimer()
const connections: Connection[] = []
/** Value of the next reply: the number of received messages, or the port after `serve`. */
let received = 0
let streamOptions = { tokens: 1, batch: 1 }
let sentCount = 0

function sleep (ms: number): Promise<void> {
  return new Promise((resolve) => { timer.after(ms, resolve) })
}

function buildPlace (i: number): { availabilityZone: string, region: string } {
  return { availabilityZone: `zone-${i % 3}`, region: 'region-0' }
}

async function openConnections (address: string, count: number): Promise<void> {
  for (let i = 0; i < count; i++) {
    const connection = (await connect({ address })).unwrap()
    connection.onMessage((msg) => {
      received++
      replyAsAgent(connection, msg)
    })
    const name = `backend-${connections.length}`
    connection.send({ kind: MessageKind.Hello, name, process: 'agent', incarnation: 1, address, revision: 0, ...buildPlace(i) })
    connections.push(connection)
  }
}

/** Replies to the messages of an entry as its agents do. */
function replyAsAgent (connection: Connection, msg: Message): void {
  if (msg.kind === MessageKind.Reserve) {
    connection.send({ kind: MessageKind.Reserved, requestId: msg.requestId, attempt: 1, pieces: 125 })
  } else if (msg.kind === MessageKind.Prefill) {
    const { requestId } = msg
    const handle = `handle-${requestId}`
    const kvAddress = '10.20.30.40:8000'
    connection.send({
      kind: MessageKind.Prefilled, requestId, attempt: 1, handle, kvAddress, promptTokens: 2000, cachedTokens: 0, keepsMs: 800
    })
  } else if (msg.kind === MessageKind.Decode) {
    sendTokens(connection, msg.requestId)
  }
}

/** Sends the tokens of a request in batches, one batch per round, and then its end. */
async function sendTokens (connection: Connection, requestId: string): Promise<void> {
  for (let offset = 0; offset < streamOptions.tokens; offset += streamOptions.batch) {
    const tokens = Array.from({ length: streamOptions.batch }, (_, i) => ` word${i % 10}`)
    connection.send({ kind: MessageKind.Tokens, requestId, attempt: 1, offset, tokens })
    await sleep(roundMs)
  }
  connection.send({ kind: MessageKind.Finished, requestId, attempt: 1, tokens: streamOptions.tokens, reason: 'stop' })
}

/** Sends samples in rounds of one message per connection, so that each message arrives in a read of its own as in a fleet. */
async function sendSamples (name: SampleName, size: number, count: number): Promise<void> {
  for (let sent = 0; sent < count;) {
    for (const connection of connections) {
      if (sent++ < count) connection.send(buildSample(name, size, sentCount++))
    }
    await sleep(roundMs)
  }
}

/** Serves a host list over HTTP and sets the value of the reply to its port. */
function serveHostList (hosts: number): Promise<void> {
  const body = buildHostListBody(hosts)
  const server = createServer((_req, res) => { res.end(body) })
  server.unref()
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => {
      received = (server.address() as AddressInfo).port
      resolve()
    })
  })
}

const commandHandlers: { [O in SourceCommand['op']]: (command: Extract<SourceCommand, { op: O }>) => Promise<void> } = {
  connect: ({ address, count }) => openConnections(address, count),
  send: ({ name, size, count }) => sendSamples(name, size, count),
  play: async ({ tokens, batch }) => { streamOptions = { tokens, batch } },
  serve: ({ hosts }) => serveHostList(hosts),
  close: async () => {
    for (const connection of connections.splice(0)) connection.close()
  }
}

process.on('message', (command: SourceCommand) => {
  const run = commandHandlers[command.op] as (command: SourceCommand) => Promise<void>
  run(command).then(() => process.send?.({ received }))
})
process.on('disconnect', () => process.exit(0))
