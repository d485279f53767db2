/**
 * Steps for the gateway, with fake stores and workers.
 */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { request as httpRequest } from 'node:http'
import { connect } from 'node:net'
import { PassThrough } from 'node:stream'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { isReset } from '../exchange/mod.ts'
import { createLog } from '../log/mod.ts'
import { createSystemTimer } from '../timer/mod.ts'
import { startGateway } from './mod.ts'
import { buildConfiguration, startSite, StoreMode, WorkerMode } from '../testing/fleuve/mod.ts'
import { findFreePort } from '../testing/ports/mod.ts'
import { RefusalCode } from '../core/types/mod.ts'
import { listen, MessageKind } from '../wire/mod.ts'
import type { DataTable } from '@cucumber/cucumber'
import type { IncomingHttpHeaders } from 'node:http'
import type { FakeWorker, FakeWorkerOptions, ReceivedRequest, Site, SiteOptions } from '../testing/fleuve/mod.ts'
import type { Listener } from '../wire/mod.ts'

interface ClientResponse {
  status: number
  headers: IncomingHttpHeaders
  body: string
  /** True when the body ended as its framing requires. */
  isComplete: boolean
}

interface World {
  gatewaySite: Site
  response: ClientResponse
  responses: ClientResponse[]
  tookMs: number
  pending?: Promise<ClientResponse>
  stopping?: Promise<void>
  otherSite?: Site
  metricsUrl: string
  sidecar?: Listener
}

let nextId = 0

export async function sleep (ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms))
}

/** Calls `fn` until it returns true; fails after `withinMs` milliseconds. */
export async function until (fn: () => Promise<boolean> | boolean, withinMs: number, what: string): Promise<void> {
  const endMs = performance.now() + withinMs
  while (!(await fn())) {
    assert.ok(performance.now() < endMs, `${what} did not happen within ${withinMs} ms`)
    await sleep(15)
  }
}

interface SendOptions {
  headers?: { [name: string]: string }
  chunks?: string[]
  disconnectMs?: number
}

export function send (site: Site, line: string, options: SendOptions = {}): Promise<ClientResponse> {
  const [method, path] = line.split(' ') as [string, string]
  const [host, port] = (site.settings.clientAddress as string).split(':')
  const headers = { Host: 'a.example', 'X-Request-Id': `t-${++nextId}`, 'X-Request-Deadline-Ms': '4000', ...options.headers }
  return new Promise((resolve, reject) => {
    let wasReset = false
    const req = httpRequest({ host, port, method, path, headers, agent: false }, (res) => {
      const chunks: Buffer[] = []
      res.on('data', (chunk: Buffer) => chunks.push(chunk))
      res.on('error', () => {})
      res.on('close', () => resolve({
        status: res.statusCode ?? 0, headers: res.headers, body: Buffer.concat(chunks).toString(), isComplete: res.complete && !wasReset
      }))
    })
    // Node's client takes a reset that arrives together with data as the end of a response without a length.
    req.on('socket', (socket) => socket.prependListener('end', () => { wasReset = !socket.destroyed && isReset(socket) }))
    req.on('error', (err) => options.disconnectMs === undefined ? reject(err) : resolve({ status: 0, headers: {}, body: '', isComplete: false }))
    for (const chunk of (options.chunks ?? []).slice(0, -1)) req.write(chunk)
    req.end(options.chunks?.at(-1))
    if (options.disconnectMs !== undefined) setTimeout(() => req.destroy(), options.disconnectMs)
  })
}

/** Writes raw bytes and returns the response. */
async function write (site: Site, text: string): Promise<ClientResponse> {
  const [host, port] = (site.settings.clientAddress as string).split(':')
  const socket = connect({ host: host as string, port: Number(port) })
  await once(socket, 'connect')
  let got = ''
  socket.on('data', (chunk) => { got += chunk })
  socket.on('error', () => {})
  socket.write(text)
  await until(() => got.includes('\r\n\r\n'), 2500, 'a response')
  socket.destroy()
  return { status: Number(got.split(' ')[1]), headers: {}, body: got, isComplete: true }
}

function allSeen (site: Site): ReceivedRequest[] {
  return [...site.workers.values()].flatMap((worker) => worker.listRequests())
}

function workerOf (site: Site, id: string): FakeWorker {
  const worker = site.workers.get(id)
  assert.ok(worker, `worker ${id} does not exist`)
  return worker
}

async function isReady (site: Site): Promise<boolean> {
  const [host, port] = (site.settings.readyAddress as string).split(':')
  return await new Promise((resolve) => {
    httpRequest({ host, port, path: '/v1/ready', agent: false }, (res) => {
      res.resume()
      resolve(res.statusCode === 200)
    }).on('error', () => resolve(false)).end()
  })
}

export async function open (world: Pick<World, 'gatewaySite'>, workers: FakeWorkerOptions[], options: SiteOptions = {}): Promise<void> {
  world.gatewaySite = await startSite(options)
  assert.equal(await isReady(world.gatewaySite), false)
  world.gatewaySite.writeConfiguration(1)
  for (const worker of workers) await world.gatewaySite.addWorker(worker)
  // The store sends changes in order, so the rules have taken effect when the last worker is known.
  await until(async () => await isReady(world.gatewaySite), 2000, 'readiness')
  await sleep(60)
}

Given('a gateway site with the plain workers {string}', async function (this: World, ids: string) {
  await open(this, ids.split(', ').map((id) => ({ id, service: 'plain' })))
})

Given('a gateway site with the plain workers {string} whose random source fails once', async function (this: World, ids: string) {
  await this.gatewaySite.close()
  let failures = 0
  const random = (): number => {
    if (failures > 0) {
      failures--
      throw new Error('no random numbers')
    }
    return Math.random()
  }
  await open(this, ids.split(', ').map((id) => ({ id, service: 'plain' })), { random })
  await sleep(100)
  failures = 1
})

Then('the gateway client gets {int}, then {int} each time', function (this: World, first: number, next: number) {
  assert.deepEqual(this.responses.map((response) => response.status), this.responses.map((_response, i) => i === 0 ? first : next))
})

Given('a gateway site with engines', async function (this: World, table: DataTable) {
  await open(this, table.hashes().map(({ id, stage, events, every }) => ({
    id: id as string, service: 'llm', stage: stage as 'prefill' | 'decode', events: Number(events), eventMs: Number(every)
  })))
})

Given('a gateway site with metrics and an engine whose sidecar serves {int} gateways', async function (this: World, senders: number) {
  await this.gatewaySite.close()
  const metricsPort = await findFreePort()
  this.metricsUrl = `http://127.0.0.1:${metricsPort}/metrics`
  this.gatewaySite = await startSite({ metricsPort })
  const room = { workerId: 'd1', roomTokens: 10, reads: false, waiting: 0, senders }
  const listener = await listen({
    host: '127.0.0.1',
    port: this.gatewaySite.settings.internalPort,
    firstMessageTimeoutMs: 0,
    onConnection: (connection) => { connection.send({ kind: MessageKind.EngineCapacity, ...room }) }
  })
  this.sidecar = listener.unwrap()
  this.gatewaySite.writeConfiguration(1)
  await this.gatewaySite.addWorker({ id: 'd1', service: 'llm', stage: 'decode' })
})

Given('the sidecars of the gateway engines report {int} waiting prompts at {string}, refuse a prefill at {string}, and accept one at {string}',
  async function (this: World, waiting: number, prefillId: string, refusingId: string, acceptingId: string) {
    const rooms = [
      { workerId: prefillId, roomTokens: 0, reads: true, waiting, senders: 1 },
      { workerId: refusingId, roomTokens: 50_000, reads: false, waiting: 0, senders: 1 },
      { workerId: acceptingId, roomTokens: 40_000, reads: false, waiting: 0, senders: 1 }
    ]
    const listener = await listen({
      host: '127.0.0.1',
      port: this.gatewaySite.settings.internalPort,
      firstMessageTimeoutMs: 0,
      onConnection (connection) {
        for (const room of rooms) connection.send({ kind: MessageKind.EngineCapacity, ...room })
        connection.onMessage((msg) => {
          if (msg.kind !== MessageKind.Admit) return
          const { requestId, attempt } = msg
          if (msg.workerId === acceptingId) connection.send({ kind: MessageKind.Admitted, requestId, attempt, hold: 'hold-1' })
          else connection.send({ kind: MessageKind.Refused, requestId, attempt, code: RefusalCode.TargetMissed, retryAfterMs: 0 })
        })
      }
    })
    this.sidecar = listener.unwrap()
    await until(() => this.gatewaySite.readLog().includes('sidecar connected'), 1500, 'a connection to the sidecar')
    await sleep(50)
  })

Then('the gateway metrics contain the line {string} within {int} ms', async function (this: World, line: string, ms: number) {
  await until(async () => (await (await fetch(this.metricsUrl)).text()).split('\n').some((had) => had.startsWith(line)), ms, line)
})

When('the sidecar of the gateway engine stops', async function (this: World) {
  await this.sidecar?.close()
})

After(async function (this: World) {
  await this.sidecar?.close()
  await this.otherSite?.close()
  await this.gatewaySite?.close()
})

Given('gateway workers that are {string}', function (this: World, mode: WorkerMode) {
  for (const worker of this.gatewaySite.workers.values()) worker.setMode(mode)
})

Given('gateway workers that are {string} to their first request', function (this: World, mode: WorkerMode) {
  // Only the first worker that receives the request fails, whichever that is.
  const modes = [mode, WorkerMode.Good]
  for (const worker of this.gatewaySite.workers.values()) worker.shareModes(modes)
})

Given('a gateway worker {string} that has closed but keeps its entry', async function (this: World, id: string) {
  await workerOf(this.gatewaySite, id).close()
})

When('a gateway client sends {string}', async function (this: World, line: string) {
  const startedMs = performance.now()
  this.response = await send(this.gatewaySite, line)
  this.tookMs = performance.now() - startedMs
})

When('a gateway client sends {string} without waiting', async function (this: World, line: string) {
  this.pending = send(this.gatewaySite, line)
  await until(() => allSeen(this.gatewaySite).length > 0, 500, 'the request')
})

When('a gateway client sends {string} {int} times', async function (this: World, line: string, times: number) {
  this.responses = []
  for (let i = 0; i < times; i++) this.responses.push(await send(this.gatewaySite, line))
})

When('a gateway client sends {string} with the body {string} and the headers',
  async function (this: World, line: string, body: string, table: DataTable) {
    this.response = await send(this.gatewaySite, line, {
      headers: { ...table.rowsHash(), 'Content-Length': String(body.length) }, chunks: [body]
    })
  })

When('a gateway client sends {string} with the headers', async function (this: World, line: string, table: DataTable) {
  this.response = await send(this.gatewaySite, line, { headers: table.rowsHash() })
})

When('a gateway client sends {string} in the chunks {string}', async function (this: World, line: string, chunks: string) {
  this.response = await send(this.gatewaySite, line, { chunks: chunks.split(', ') })
})

When('a gateway client sends {string} and disconnects after {int} ms', async function (this: World, line: string, disconnectMs: number) {
  await send(this.gatewaySite, line, { disconnectMs })
})

const start = 'POST /unsafe/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: raw\r\n'
const inner = 'GET /safe/y HTTP/1.1\r\nHost: a.example\r\n\r\n1234'
const rawRequests: { readonly [what: string]: string } = {
  'an unknown path': 'GET /other/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: raw\r\n\r\n',
  'no request id': 'GET /safe/x HTTP/1.1\r\nHost: a.example\r\n\r\n',
  'a large body': `${start}Content-Length: 1001\r\n\r\n${'x'.repeat(1001)}`,
  'large chunks': `${start}Transfer-Encoding: chunked\r\n\r\n${'190\r\n' + 'x'.repeat(400) + '\r\n'}${'2bc\r\n' + 'x'.repeat(700) + '\r\n'}0\r\n\r\n`,
  'a large header': `${start}X-Large: ${'x'.repeat(9000)}\r\n\r\n`,
  'a slow header': start,
  'two lengths': `${start}Content-Length: 1\r\nContent-Length: 2\r\n\r\nxx`,
  'length and chunks': `${start}Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
  'no protocol': 'nonsense\r\n\r\n',
  'a body that looks like a request': `${start}Content-Length: ${inner.length}\r\n\r\n${inner}`
}

When(/^a gateway client writes (.*)$/, async function (this: World, what: string) {
  this.response = await write(this.gatewaySite, rawRequests[what] as string)
})

When('the gateway operator removes the route {string} in version {int}', function (this: World, name: string, version: number) {
  removeRoute(this.gatewaySite, name, version)
})

When('the gateway operator removes the route {string} in version {int} while the store forgets its history',
  function (this: World, name: string, version: number) {
    this.gatewaySite.store.setMode(StoreMode.Silent)
    removeRoute(this.gatewaySite, name, version)
    this.gatewaySite.store.compact()
    this.gatewaySite.store.setMode(StoreMode.Up)
  })

When('the gateway operator writes version {int} with every route', function (this: World, version: number) {
  this.gatewaySite.writeConfiguration(version)
})

function removeRoute (site: Site, name: string, version: number): void {
  const prefix = name === 'safe' ? '/elsewhere/' : `/${name}/`
  site.writeConfiguration(version, { routes: [{ name, host: 'a.example', prefix, kind: 'idempotent', timeout_ms: 500, service: 'plain' }] })
}

When('the gateway store is {string}', function (this: World, mode: StoreMode) { this.gatewaySite.store.setMode(mode) })

When('{int} ms pass at the gateway', async function (ms: number) { await sleep(ms) })

Given('gateway workers that are {string} at first and {string} afterwards', function (this: World, first: WorkerMode, next: WorkerMode) {
  for (const worker of this.gatewaySite.workers.values()) worker.setMode(first, next)
})

const nested = `${'['.repeat(100_000)}${']'.repeat(100_000)}`
const entries: { readonly [what: string]: (worker: FakeWorker) => string } = {
  draining: (worker) => worker.buildEntry({ state: 'draining' }),
  'no JSON': () => '{"service":',
  'of a strange state': (worker) => worker.buildEntry({ state: 'resting' }),
  'without an address': (worker) => worker.buildEntry({ address: undefined }),
  'without a version': (worker) => worker.buildEntry({ version: undefined }),
  'born in text': (worker) => worker.buildEntry({ born: 'today' }),
  'very deeply nested': () => nested,
  'deeply nested in its state': (worker) => worker.buildEntry({ state: 0 }).replace('"state":0', `"state":${nested}`),
  'of a state that every object has': (worker) => worker.buildEntry({ state: 'constructor' }),
  'with a port out of range': (worker) => worker.buildEntry({ address: '127.0.0.1:99999' }),
  'with a number out of range': (worker) => worker.buildEntry({ slots: Number.MAX_SAFE_INTEGER })
}

/** Faults of the items that contain entries. */
const itemFaults: { readonly [what: string]: object } = {
  'with a revision out of range': { revision: 2 ** 53 }, 'without a key': { key: null }
}

When(/^the gateway entry of "(\w+)" is (.*)$/, function (this: World, id: string, what: string) {
  const fault = itemFaults[what]
  const build = fault === undefined ? entries[what] as (worker: FakeWorker) => string : (worker: FakeWorker) => worker.buildEntry()
  if (fault !== undefined) this.gatewaySite.store.corrupt(`servers/${id}`, fault)
  this.gatewaySite.store.put(`servers/${id}`, build(workerOf(this.gatewaySite, id)))
})

When('a gateway worker {string} joins', async function (this: World, id: string) { await this.gatewaySite.addWorker({ id, service: 'plain' }) })

Then('the gateway worker {string} answers all requests from {int} ms on', async function (this: World, id: string, ms: number) {
  await sleep(ms)
  // The entry that is odd now may have been sound before, so its worker may still be known.
  for (const worker of this.gatewaySite.workers.values()) if (worker.id !== id) worker.setMode(WorkerMode.Full)
  for (let i = 0; i < 4; i++) assert.equal((await send(this.gatewaySite, 'GET /safe/x')).status, 200)
  assert.ok(workerOf(this.gatewaySite, id).listRequests().length >= 4)
})

When('the gateway entry of {string} expires', function (this: World, id: string) { this.gatewaySite.store.remove(`servers/${id}`) })

When('the gateway is stopped', function (this: World) { this.stopping = this.gatewaySite.gateway.stop() })

Then('the gateway client gets {int}', async function (this: World, status: number) {
  if (this.pending !== undefined) this.response = await this.pending
  assert.equal(this.response.status, status)
})

Then('the gateway client gets {int}, then {int}', function (this: World, first: number, second: number) {
  assert.deepEqual(this.responses.map((response) => response.status), [first, second])
})

Then('the gateway client gets {int} each time', function (this: World, status: number) {
  assert.deepEqual(this.responses.map((response) => response.status), this.responses.map(() => status))
})

Then('the gateway client has got {int} at least {int} times', function (this: World, status: number, least: number) {
  const statuses = this.responses.map((response) => response.status)
  assert.ok(statuses.filter((each) => each === status).length >= least, statuses.join(' '))
})

Then('the gateway client gets {int} with the body {string} and a seal', function (this: World, status: number, body: string) {
  assert.equal(this.response.status, status)
  assert.equal(this.response.body, body)
  assert.match(String(this.response.headers['x-server-seal']), /^seal-/)
})

Then('the gateway client gets {int} without a word of the worker', function (this: World, status: number) {
  assert.equal(this.response.status, status)
  assert.equal(this.response.headers['x-server-seal'], undefined)
  assert.equal(this.response.headers['retry-after'], undefined)
  assert.deepEqual(Object.keys(JSON.parse(this.response.body)), ['error'])
})

Then('the gateway response has a Retry-After header: {word}', function (this: World, expected: string) {
  assert.equal(this.response.headers['retry-after'] !== undefined, expected === 'yes')
})

Then('the gateway response has the length {int} and no other framing', function (this: World, bytes: number) {
  assert.equal(this.response.headers['content-length'], String(bytes))
  assert.equal(this.response.headers['transfer-encoding'], undefined)
})

Then('the gateway workers saw {int} requests', function (this: World, count: number) {
  assert.equal(allSeen(this.gatewaySite).length, count)
})

Then('the gateway worker {string} saw {int} requests', function (this: World, id: string, count: number) {
  assert.equal(workerOf(this.gatewaySite, id).listRequests().length, count)
})

Then('the gateway worker saw {string} with the body {string}', function (this: World, line: string, body: string) {
  const [seen] = allSeen(this.gatewaySite)
  assert.equal(`${seen?.method} ${seen?.path}`, line)
  assert.equal(seen?.body, body)
})

Then('the gateway worker saw the header {string} with {string}', function (this: World, name: string, value: string) {
  assert.equal(allSeen(this.gatewaySite)[0]?.headers[name], value)
})

Then('the gateway worker saw its own identity and at most {int} ms', function (this: World, most: number) {
  const worker = [...this.gatewaySite.workers.values()].find((one) => one.listRequests().length > 0)
  const headers = worker?.listRequests()[0]?.headers ?? {}
  assert.equal(headers['x-expect-instance'], worker?.id)
  const left = Number(headers['x-request-deadline-ms'])
  assert.ok(left > 0 && left <= most, `the remaining time is ${left} ms`)
})

Then('the gateway worker saw none of the headers {string}', function (this: World, names: string) {
  for (const name of names.split(', ')) assert.equal(allSeen(this.gatewaySite)[0]?.headers[name], undefined, name)
})

Then('the request at the gateway worker is aborted within {int} ms', async function (this: World, ms: number) {
  await until(() => allSeen(this.gatewaySite).some((seen) => seen.isAborted), ms, 'the abort of the request')
})

Then('the gateway answers {string} with {int} within {int} ms', async function (this: World, line: string, status: number, ms: number) {
  await until(async () => (await send(this.gatewaySite, line)).status === status, ms, `status ${status}`)
})

Then('the gateway is ready', async function (this: World) { assert.equal(await isReady(this.gatewaySite), true) })

Then('the gateway is not ready', async function (this: World) { assert.equal(await isReady(this.gatewaySite), false) })

When('another gateway starts', async function (this: World) {
  const { storeAddress, peerAddress } = this.gatewaySite.settings
  this.otherSite = await startSite({ seeds: [peerAddress as string], settings: { storeAddress, machine: 'edge-2' } })
})

Then('the other gateway is ready within {int} ms', async function (this: World, ms: number) {
  await until(async () => await isReady(this.otherSite as Site), ms, 'readiness')
})

Then('the other gateway answers {string} with {int}', async function (this: World, line: string, status: number) {
  assert.equal((await send(this.otherSite as Site, line)).status, status)
})

const prompt = { 'X-Model': 'm', 'X-Token-Counts': '100,40', 'X-Length-Hint': '30', 'X-Request-Deadline-Ms': '3000' }

When('a gateway client requests a generation on {string}', async function (this: World, path: string) {
  const startedMs = performance.now()
  this.response = await send(this.gatewaySite, `POST ${path}`, { headers: prompt, chunks: ['prompt'] })
  this.tookMs = performance.now() - startedMs
})

When('a gateway client requests a generation on {string} with a prompt of {int} tokens',
  async function (this: World, path: string, tokens: number) {
    this.response = await send(this.gatewaySite, `POST ${path}`, {
      headers: { ...prompt, 'X-Token-Counts': `${tokens},40` }, chunks: ['prompt']
    })
  })

Then('a generation on {string} is reset at the gateway client', async function (this: World, path: string) {
  // The reset may arrive before the head of the response.
  await assert.rejects(async () => {
    const response = await send(this.gatewaySite, `POST ${path}`, { headers: prompt, chunks: ['prompt'] })
    if (!response.isComplete) throw Object.assign(new Error('cut in the response'), { code: 'ECONNRESET' })
  }, { code: 'ECONNRESET' })
})

Then('a request for {string} is cut at the gateway client within {int} ms', async function (this: World, line: string, ms: number) {
  const startedMs = performance.now()
  await assert.rejects(async () => {
    const response = await send(this.gatewaySite, line, { headers: { 'X-Request-Deadline-Ms': '600' } })
    if (!response.isComplete) throw Object.assign(new Error('cut in the response'), { code: 'ECONNRESET' })
  }, { code: 'ECONNRESET' })
  assert.ok(performance.now() - startedMs < ms, `it took ${performance.now() - startedMs} ms`)
})

Then('the gateway worker {string} has sent less than {int} bytes', function (this: World, id: string, bytes: number) {
  assert.ok(workerOf(this.gatewaySite, id).sentBytes() < bytes, `${workerOf(this.gatewaySite, id).sentBytes()} bytes`)
})

Given('a gateway worker {string} that is {string} to its first request', function (this: World, id: string, mode: WorkerMode) {
  workerOf(this.gatewaySite, id).setMode(mode, WorkerMode.Good)
})

Given('the gateway decode engines are {string} to the first request', function (this: World, mode: WorkerMode) {
  const engines = [...this.gatewaySite.workers.values()].filter(({ id }) => id.startsWith('d'))
  for (const engine of engines) engine.setMode(mode, WorkerMode.Good)
  // Only the first engine that receives the request fails; the other one is set to succeed as soon as it has.
  const settle = setInterval(() => {
    if (engines.every((engine) => engine.listRequests().length === 0)) return
    clearInterval(settle)
    for (const engine of engines) engine.setMode(WorkerMode.Good)
  }, 1)
})

Then('the gateway logged {string}', function (this: World, text: string) {
  assert.ok(this.gatewaySite.readLog().includes(text), `"${text}" is not in the log`)
})

When('a gateway client requests a generation on {string} and disconnects after {int} ms',
  async function (this: World, path: string, disconnectMs: number) {
    await send(this.gatewaySite, `POST ${path}`, { headers: prompt, chunks: ['prompt'], disconnectMs })
  })

Given('gateway engines without memory', function (this: World) {
  for (const worker of this.gatewaySite.workers.values()) worker.setReservableTokens(10)
})

Given('gateway engines that lose their connection after event {int}', function (this: World, event: number) {
  for (const worker of this.gatewaySite.workers.values()) worker.resetAfterEvent(event, 9)
})

Given('gateway engines that lose their first connection after event {int}', function (this: World, event: number) {
  for (const worker of this.gatewaySite.workers.values()) worker.resetAfterEvent(event, 1)
})

Given('gateway engines that continue a stream as {string}', function (this: World, mode: WorkerMode) {
  for (const worker of this.gatewaySite.workers.values()) worker.setResumeMode(mode)
})

Then('the gateway client gets the events 1 to {int} and an incomplete response', function (this: World, last: number) {
  assert.equal(this.response.isComplete, false)
  const wanted = Array.from({ length: last }, (_, i) => `id: ${i + 1}\ndata: piece ${i + 1}\n\n`)
  assert.equal(this.response.body, wanted.join(''))
})

Given('gateway engines with a slow prefill', function (this: World) {
  for (const worker of this.gatewaySite.workers.values()) worker.setPrefillMs(400)
})

Then('the gateway client gets the events {int} to {int}, each once', function (this: World, first: number, last: number) {
  assert.equal(this.response.status, 200)
  assert.ok(this.response.isComplete, 'the response is incomplete')
  const wanted = Array.from({ length: last - first + 1 }, (_, i) => `id: ${first + i}\ndata: piece ${first + i}\n\n`)
  assert.equal(this.response.body, wanted.join(''))
})

Then('the gateway client gets an incomplete response', function (this: World) { assert.equal(this.response.isComplete, false) })

Then('the gateway response arrived within {int} ms', function (this: World, ms: number) {
  assert.ok(this.tookMs < ms, `it took ${this.tookMs} ms`)
})

Then('the gateway engines saw a reservation, then a prefill at {string}, then a decode with its KV cache and the reservation',
  function (this: World, prefillId: string) {
    const [prefill] = workerOf(this.gatewaySite, prefillId).listRequests()
    assert.equal(prefill?.headers['x-stage'], 'prefill')
    const decoder = [...this.gatewaySite.workers.values()].find((worker) => worker.id !== prefillId && worker.listRequests().length > 0)
    assert.deepEqual(decoder?.listControlCalls().map(({ call }) => call), ['POST /v1/hold-take'])
    const headers = decoder?.listRequests()[0]?.headers ?? {}
    assert.equal(headers['x-kv-hold'], 'hold-1')
    assert.equal(headers['x-kv-source'], `${workerOf(this.gatewaySite, prefillId).address}/kv-1`)
    assert.equal(headers['x-stage'], undefined)
  })

Then('a gateway engine was asked to resume after event {int}', function (this: World, event: number) {
  assert.ok(allSeen(this.gatewaySite).some((seen) => seen.headers['last-event-id'] === String(event)))
})

Then('the reservation at the gateway engines is released within {int} ms', async function (this: World, ms: number) {
  const calls = (): string[] => [...this.gatewaySite.workers.values()].flatMap((worker) => worker.listControlCalls().map(({ call }) => call))
  await until(() => calls().includes('DELETE /v1/hold-drop/hold-1'), ms, 'the release')
})

When('a gateway starts whose store answers after {int} ms', async function (this: World, ms: number) {
  this.gatewaySite.store.setMode(StoreMode.Unavailable)
  this.otherSite = await startSite({ settings: { storeAddress: this.gatewaySite.settings.storeAddress, machine: 'edge-2' } })
  setTimeout(() => this.gatewaySite.store.setMode(StoreMode.Up), ms)
})

Given('a gateway engine {string} with {int} events of {int} bytes', async function (this: World, id: string, events: number, eventBytes: number) {
  for (const worker of this.gatewaySite.workers.values()) worker.setReservableTokens(10)
  await this.gatewaySite.addWorker({ id, service: 'llm', stage: 'decode', events, eventMs: 10, eventBytes })
  await sleep(100)
})

When('a gateway client requests a generation on {string} and reads nothing for {int} ms', async function (this: World, path: string, ms: number) {
  const [host, port] = (this.gatewaySite.settings.clientAddress as string).split(':')
  const headers = { Host: 'a.example', 'X-Request-Id': `t-${++nextId}`, ...prompt }
  this.response = await new Promise((resolve, reject) => {
    const req = httpRequest({ host, port, method: 'POST', path, headers, agent: false }, (res) => {
      let body = ''
      res.pause()
      setTimeout(() => res.resume(), ms)
      res.on('data', (chunk) => { body += chunk })
      res.on('error', () => {})
      res.on('close', () => resolve({ status: res.statusCode ?? 0, headers: res.headers, body, isComplete: res.complete }))
    })
    req.on('error', reject)
    req.end('prompt')
  })
})

Then('the gateway client gets a complete response with {int} events', function (this: World, count: number) {
  assert.equal(this.response.isComplete, true)
  assert.deepEqual([...this.response.body.matchAll(/^id: (\d+)$/gm)].map((found) => Number(found[1])), Array.from({ length: count }, (_, i) => i + 1))
})

Then('the gateway engines saw {int} decode', function (this: World, count: number) {
  assert.equal(allSeen(this.gatewaySite).filter((seen) => seen.headers['x-kv-hold'] !== undefined).length, count)
})

Given('a gateway worker {string} that is {string}', function (this: World, id: string, mode: WorkerMode) {
  workerOf(this.gatewaySite, id).setMode(mode)
})

When('a gateway client requests a generation on {string} {int} times', async function (this: World, path: string, times: number) {
  this.responses = []
  for (let i = 0; i < times; i++) this.responses.push(await send(this.gatewaySite, `POST ${path}`, { headers: prompt, chunks: ['prompt'] }))
})

Then('another gateway with the same addresses does not start, and names the address', async function (this: World) {
  const { settings } = this.gatewaySite
  const timer = createSystemTimer()
  const log = createLog({ name: 'edge-2', level: 'info', stream: new PassThrough().resume() })
  const started = await startGateway({ settings: { ...settings, peerAddress: `127.0.0.1:${await findFreePort()}` }, timer, log, random: Math.random })
  timer.close()
  assert.ok(started.err)
  assert.match(started.val, new RegExp(`${settings.clientAddress}.*EADDRINUSE`))
})

Then('the gateway client gets each time a response to its own request, or {int}', function (this: World, failure: number) {
  this.responses.forEach((response, i) => {
    if (response.status === failure) return
    assert.equal(response.status, 200)
    assert.equal(response.headers['x-request-id'], `t-${nextId - this.responses.length + 1 + i}`)
    assert.equal(response.body, 'signed')
  })
  assert.ok(this.responses.some(({ status }) => status === 200), 'no request was answered')
})

Given('the gateway engines send each response to a control call once more after {int} ms', function (this: World, ms: number) {
  for (const worker of this.gatewaySite.workers.values()) worker.setControlCopies(ms)
})

Then('the gateway client gets each time the events 1 to {int}, each once, or {int}', function (this: World, last: number, failure: number) {
  const wanted = Array.from({ length: last }, (_, i) => `id: ${i + 1}\ndata: piece ${i + 1}\n\n`).join('')
  for (const { status, body, isComplete } of this.responses) {
    assert.ok(status === failure || (status === 200 && isComplete && body === wanted), `${status}: ${body}`)
  }
})

Then('the gateway client has got the events at least {int} times', function (this: World, least: number) {
  const streams = this.responses.filter(({ status }) => status === 200).length
  assert.ok(streams >= least, `${streams} times`)
})

When('another gateway starts whose own store is {string} and has neither the worker {string} nor the route {string} any more',
  async function (this: World, mode: StoreMode, goneId: string, goneRoute: string) {
    const { peerAddress } = this.gatewaySite.settings
    this.otherSite = await startSite({ seeds: [peerAddress as string], settings: { machine: 'edge-2' } })
    const { store } = this.otherSite
    store.setMode(mode)
    // The revisions of this store are above those that the older view has.
    for (let i = 0; i < 20; i++) store.put('other/key', String(i))
    for (const worker of this.gatewaySite.workers.values()) if (worker.id !== goneId) store.put(`servers/${worker.id}`, worker.buildEntry())
    const routes = (JSON.parse(buildConfiguration(9)).routes as Array<{ name: string }>).filter(({ name }) => name !== goneRoute)
    this.otherSite.writeConfiguration(9, { routes })
  })

When('the store of the other gateway is {string}', function (this: World, mode: StoreMode) { this.otherSite?.store.setMode(mode) })

Then('the other gateway answers {string} with {int} within {int} ms and sends nothing to the worker {string} any more',
  async function (this: World, line: string, status: number, ms: number, id: string) {
    const site = this.otherSite as Site
    await until(async () => (await send(site, line)).status === status, ms, `status ${status}`)
    // Entries may have expired because the store was down, so a missing one counts as gone 2.3 s after that.
    await until(() => site.readLog().includes('worker gone'), ms, 'the removal of the worker')
    const before = workerOf(this.gatewaySite, id).listRequests().length
    for (let i = 0; i < 6; i++) assert.equal((await send(site, 'POST /unsafe/x')).status, 200)
    assert.equal(workerOf(this.gatewaySite, id).listRequests().length, before)
  })

Then('no gateway client gets 503 for one of the requests that the engines ran without a KV cache to fetch, at least {int}',
  function (this: World, least: number) {
    const ran = allSeen(this.gatewaySite)
      .filter(({ headers }) => headers['x-kv-hold'] !== undefined && headers['x-kv-source'] === undefined)
      .map(({ headers }) => headers['x-request-id'])
    assert.ok(ran.length >= least, `${ran.length} requests ran`)
    const refused = this.responses.filter(({ status }) => status === 503).map(({ headers }) => headers['x-request-id'])
    assert.deepEqual(refused.filter((id) => ran.includes(id)), [])
  })
