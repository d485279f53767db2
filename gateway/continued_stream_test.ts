/**
 * Steps for streams that go on at another engine, read from raw connections.
 */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect } from 'node:net'
import { Given, Then, When } from '@cucumber/cucumber'
import { SilencePoint, WorkerMode } from '../testing/fleuve/mod.ts'
import { open, until } from './gateway_test.ts'
import type { Socket } from 'node:net'
import type { FakeWorker, Site, StatedOfBody } from '../testing/fleuve/mod.ts'

interface World {
  gatewaySite: Site
  rawHead: string
  rawBody: string
  answerBehind: string
}

const eventCount = 8
const eventMs = 10
const eventBytes = 30
const memoryTokens = 100_000
const streamFields = ['Host: a.example', 'X-Model: m', 'X-Token-Counts: 100,40', 'X-Request-Deadline-Ms: 2500', 'Content-Length: 0']

function engine (world: World, id: string): FakeWorker {
  return world.gatewaySite.workers.get(id) ?? assert.fail(`no engine ${id}`)
}

/** Starts the engine that begins the stream and the one that may go on, which has memory only once the stream has begun. */
async function openEngines (world: World, { stated, moreBytes, breaksAfter }: { stated: StatedOfBody, moreBytes: number, breaksAfter: number }): Promise<void> {
  const engineOptions = { service: 'llm', stage: 'decode' as const, events: eventCount, eventMs, stated }
  await open(world, [
    { ...engineOptions, id: 'first', eventBytes }, { ...engineOptions, id: 'second', eventBytes: eventBytes + moreBytes }, { id: 'w1', service: 'plain' }
  ])
  engine(world, 'second').setReservableTokens(10)
  if (breaksAfter > 0) engine(world, 'first').resetAfterEvent(breaksAfter, 1)
}

Given('a continued stream of an engine that states {string} and does not break off', async function (this: World, stated: StatedOfBody) {
  await openEngines(this, { stated, moreBytes: 0, breaksAfter: 0 })
})

Given('a continued stream of an engine that states {string} and breaks off after event {int}, and another engine whose events have {int} more bytes',
  async function (this: World, stated: StatedOfBody, breaksAfter: number, moreBytes: number) { await openEngines(this, { stated, moreBytes, breaksAfter }) })

Given('a continued stream of an engine that refuses with a body that breaks off, and another engine', async function (this: World) {
  await openEngines(this, { stated: 'nothing' as StatedOfBody, moreBytes: 0, breaksAfter: 0 })
  engine(this, 'first').setMode(WorkerMode.TruncatedNotFound)
  // The second engine gets memory while the body of the first one arrives.
  setTimeout(() => engine(this, 'second').setReservableTokens(memoryTokens), secondMemoryMs)
})

Given('the first engine of the continued stream falls silent before the first event for {int} ms', function (this: World, ms: number) {
  engine(this, 'first').setSilence({ point: SilencePoint.BeforeFirstEvent, ms })
  engine(this, 'second').setReservableTokens(memoryTokens)
})

async function connectClient (world: World): Promise<{ socket: Socket, read: () => string }> {
  const [host, port] = (world.gatewaySite.settings.clientAddress as string).split(':')
  const socket = connect({ host: host as string, port: Number(port) })
  let text = ''
  socket.on('data', (chunk: Buffer) => {
    text += chunk.toString('latin1')
    // The second engine gets memory once the first one has begun.
    if (text.includes('id: ')) engine(world, 'second').setReservableTokens(memoryTokens)
  })
  socket.on('error', () => {})
  await once(socket, 'connect')
  return { socket, read: () => text }
}

interface StreamRequest {
  path: string
  /** Version of HTTP; 1.1 by default. */
  version?: string
  /** Last event that the client has, when it takes up the stream that `firstId` began. */
  afterEvent?: number
}

/** Time in milliseconds after which the second engine gets memory; a client has sent its request by then. */
const secondMemoryMs = 60
const firstId = 'raw-1'

function requestStream (socket: Socket, { path, version = '1.1', afterEvent }: StreamRequest): void {
  const fields = afterEvent === undefined ? [`X-Request-Id: ${firstId}`] : ['X-Request-Id: raw-2', `Last-Event-Id: ${afterEvent}`, `Resumes: ${firstId}`]
  socket.write([`POST ${path} HTTP/${version}`, ...fields, ...streamFields, '', ''].join('\r\n'))
}

function splitAnswer (text: string): { head: string, body: string } {
  const at = text.indexOf('\r\n\r\n')
  return { head: text.slice(0, at).toLowerCase(), body: text.slice(at + 4) }
}

/** Joins the chunks of a body and returns what follows them; undefined when the last chunk is missing. */
function readChunks (text: string): { body: string, rest: string } | undefined {
  let body = ''
  for (let at = 0; ;) {
    const lineEnd = text.indexOf('\r\n', at)
    const length = lineEnd < 0 ? NaN : parseInt(text.slice(at, lineEnd), 16)
    if (Number.isNaN(length) || text.length < lineEnd + length + 4) return undefined
    if (length === 0) return { body, rest: text.slice(lineEnd + 4) }
    body += text.slice(lineEnd + 2, lineEnd + 2 + length)
    at = lineEnd + 2 + length + 2
  }
}

/** Reads a body by its length or its chunks; undefined when it is not complete. */
function readBody ({ head, body }: { head: string, body: string }): { body: string, rest: string } | undefined {
  const length = /content-length: (\d+)/.exec(head)?.[1]
  if (length === undefined) return readChunks(body)
  return body.length < Number(length) ? undefined : { body: body.slice(0, Number(length)), rest: body.slice(Number(length)) }
}

/** Reads a stream that has to be complete by its framing. */
async function readStream (world: World, request: StreamRequest): Promise<{ socket: Socket, read: () => string }> {
  const client = await connectClient(world)
  requestStream(client.socket, request)
  await until(() => readBody(splitAnswer(client.read())) !== undefined, 3000, 'a complete stream')
  const answer = splitAnswer(client.read())
  Object.assign(world, { rawHead: answer.head, rawBody: readBody(answer)?.body ?? '' })
  return client
}

/** Reads a stream, and then the answer to a request on the same connection. */
async function readStreamAndAnswer (world: World, request: StreamRequest, path: string): Promise<void> {
  const { socket, read } = await readStream(world, request)
  const before = read().length
  socket.write([`GET ${path} HTTP/1.1`, 'Host: a.example', 'X-Request-Id: raw-3', 'X-Request-Deadline-Ms: 600', '', ''].join('\r\n'))
  await until(() => read().slice(before).includes('signed'), 1500, 'the answer behind the stream')
  world.answerBehind = readBody(splitAnswer(read()))?.rest ?? ''
  socket.destroy()
}

When('a client of HTTP\\/1.1 reads the continued stream and then requests {string} on the same connection', async function (this: World, path: string) {
  await readStreamAndAnswer(this, { path: '/resume/x' }, path)
})

When('the client takes the continued stream up after event {int} and then requests {string} on the same connection',
  async function (this: World, afterEvent: number, path: string) { await readStreamAndAnswer(this, { path: '/resume/x', afterEvent }, path) })

When('a client of HTTP\\/1.1 reads the stream {string}', async function (this: World, path: string) {
  const { socket } = await readStream(this, { path })
  socket.destroy()
})

When('a client of HTTP\\/{word} reads the continued stream until its connection ends', async function (this: World, version: string) {
  const { socket, read } = await connectClient(this)
  const closed = once(socket, 'close')
  requestStream(socket, { path: '/resume/x', version })
  await closed
  const { head, body } = splitAnswer(read())
  Object.assign(this, { rawHead: head, rawBody: body })
})

Then('the continued stream has the status {int} and no event', function (this: World, status: number) {
  assert.ok(this.rawHead.startsWith(`http/1.1 ${status} `), this.rawHead)
  assert.doesNotMatch(this.rawBody, /id: /)
})

Then('the second engine of the continued stream saw {int} requests', function (this: World, count: number) {
  assert.equal(engine(this, 'second').listRequests().length, count)
})

function assertEvents (body: string, first: number, last: number): void {
  const ids = [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id))
  assert.deepEqual(ids, Array.from({ length: last - first + 1 }, (_, i) => first + i))
  assert.ok(body.endsWith('\n\n'), `the body ends inside an event: ${JSON.stringify(body.slice(-40))}`)
}

Then('the continued stream is complete, with the events {int} to {int}', function (this: World, first: number, last: number) {
  assertEvents(this.rawBody, first, last)
})

Then('the continued stream is shorter than its length, with the events {int} to {int}', function (this: World, first: number, last: number) {
  assertEvents(this.rawBody, first, last)
  const length = Number(/content-length: (\d+)/.exec(this.rawHead)?.[1])
  assert.ok(this.rawBody.length < length, `${this.rawBody.length} of ${length} bytes`)
})

Then('the answer to the request behind the continued stream is whole', function (this: World) {
  assert.match(this.answerBehind, /^HTTP\/1\.1 200 OK\r\n[^]*\r\n\r\nsigned$/)
})

Then(/^the head of the continued stream has (none of )?"([^"]*)"$/, function (this: World, none: string | null, names: string) {
  for (const name of names.split(', ')) assert.equal(this.rawHead.includes(`\r\n${name}: `), none === null, `${name} in ${this.rawHead}`)
})
