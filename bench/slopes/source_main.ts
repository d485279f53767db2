/**
 * The other side of the measured process: opens connections, sends samples at an even pace and plays agents.
 */
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createSystemTimer } from '../../timer/mod.ts'
import { connect, MessageKind } from '../../wire/mod.ts'
import type { Connection, Message } from '../../wire/mod.ts'
import { buildHostListBody, buildSample } from './_samples.ts'
import type { SampleName } from './_samples.ts'

/** What the measured process asks of this one. */
export type SourceCommand =
  | { op: 'connect', address: string, count: number }
  | { op: 'send', name: SampleName, size: number, count: number }
  | { op: 'play', tokens: number, batch: number }
  | { op: 'serve', hosts: number }
  | { op: 'close' }

const roundMs = 4
const timer = createSystemTimer()
const connections: Connection[] = []
let received = 0
let play = { tokens: 1, batch: 1 }
let sentSoFar = 0

function sleep (ms: number): Promise<void> {
  return new Promise((resolve) => { timer.after(ms, resolve) })
}

function place (i: number): { availabilityZone: string, region: string } {
  return { availabilityZone: `zone-${i % 3}`, region: 'region-0' }
}

async function open (address: string, count: number): Promise<void> {
  for (let i = 0; i < count; i++) {
    const connection = (await connect({ address })).unwrap()
    connection.onMessage((msg) => {
      received++
      answer(connection, msg)
    })
    const name = `backend-${connections.length}`
    connection.send({ kind: MessageKind.Hello, name, process: 'agent', incarnation: 1, address, revision: 0, ...place(i) })
    connections.push(connection)
  }
}

/** Answers the requests of an entry as agents do. */
function answer (connection: Connection, msg: Message): void {
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
    stream(connection, msg.requestId)
  }
}

async function stream (connection: Connection, requestId: string): Promise<void> {
  for (let offset = 0; offset < play.tokens; offset += play.batch) {
    const tokens = Array.from({ length: play.batch }, (_, i) => ` word${i % 10}`)
    connection.send({ kind: MessageKind.Tokens, requestId, attempt: 1, offset, tokens })
    await sleep(roundMs)
  }
  connection.send({ kind: MessageKind.Finished, requestId, attempt: 1, tokens: play.tokens, reason: 'stop' })
}

/** Sends in rounds of one message for each connection, so that each message is read on its own as in a fleet. */
async function send (name: SampleName, size: number, count: number): Promise<void> {
  for (let sent = 0; sent < count;) {
    for (const connection of connections) {
      if (sent++ < count) connection.send(buildSample(name, size, sentSoFar++))
    }
    await sleep(roundMs)
  }
}

/** Serves a host list and answers with the port in place of the count. */
function serve (hosts: number): Promise<void> {
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

const orders: { [O in SourceCommand['op']]: (order: Extract<SourceCommand, { op: O }>) => Promise<void> } = {
  connect: ({ address, count }) => open(address, count),
  send: ({ name, size, count }) => send(name, size, count),
  play: async ({ tokens, batch }) => { play = { tokens, batch } },
  serve: ({ hosts }) => serve(hosts),
  close: async () => {
    for (const connection of connections.splice(0)) connection.close()
  }
}

process.on('message', (order: SourceCommand) => {
  const run = orders[order.op] as (order: SourceCommand) => Promise<void>
  run(order).then(() => process.send?.({ received }))
})
process.on('disconnect', () => process.exit(0))
