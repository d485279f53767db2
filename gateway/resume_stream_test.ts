/**
 * Steps for streams that go on while engines of several software versions serve.
 */
import assert from 'node:assert/strict'
import { request as httpRequest } from 'node:http'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createOriginTask } from '../sidecar/_origin_task.ts'
import { SilencePoint, startSite, StoreMode, WorkerMode } from '../testing/fleuve/mod.ts'
import { createSystemTimer } from '../timer/mod.ts'
import { listen } from '../wire/mod.ts'
import { sleep, until } from './gateway_test.ts'
import type { DataTable } from '@cucumber/cucumber'
import type { IncomingHttpHeaders } from 'node:http'
import type { FakeWorker, Site } from '../testing/fleuve/mod.ts'
import type { Connection, Listener, Message } from '../wire/mod.ts'

/** What a client has of one stream, over all its tries. */
interface ClientStream {
  events: Array<{ id: number, version: string }>
  isComplete: boolean
  status: number
  headers: IncomingHttpHeaders
  body: string
}

interface World {
  versionedSite: Site
  /** Gateways that share the store and the sidecars of the site. */
  otherGateways: Site[]
  versions: Map<string, string>
  /** A gateway that reads another store, which holds what the first one held before it changed and does not answer any more. */
  gatewayOutOfStep?: Site
  streams: Map<string, ClientStream>
  answer: ClientStream
  originPoint?: Listener
  /** The gateway at which streams are taken up; unless it is set, one is started each time. */
  nextGateway?: Site
}

const eventCount = 8
const eventMs = 40
const memoryTokens = 100_000
/** Time in milliseconds without the store after which a gateway is behind. */
const outOfStepMs = 3_000
const eventPattern = /^id: (\d+)\ndata: (\S+)/gm
const fields = { 'X-Model': 'm', 'X-Token-Counts': '100,40', 'X-Request-Deadline-Ms': '3000', Host: 'a.example' }

function engineOf (world: World, id: string): FakeWorker {
  return world.versionedSite.workers.get(id) ?? assert.fail(`no engine ${id}`)
}

Given('a versioned gateway site with the engines', async function (this: World, table: DataTable) {
  this.versions = new Map(table.hashes().map(({ id = '', version = '' }) => [id, version]))
  this.streams = new Map()
  this.otherGateways = []
  this.versionedSite = await startSite()
  this.versionedSite.writeConfiguration(1)
  for (const [id, version] of this.versions) {
    await this.versionedSite.addWorker({ id, service: 'llm', stage: 'decode', version, events: eventCount, eventMs })
  }
  await until(() => this.versionedSite.readLog().split('"msg":"worker"').length > this.versions.size, 2000, 'the entries of the engines')
})

After(async function (this: World) {
  for (const site of this.otherGateways ?? []) await site.close()
  await this.versionedSite?.close()
  await this.originPoint?.close()
})

/** Starts a gateway at the store and the sidecars of the site. */
async function startOtherGateway (world: World): Promise<Site> {
  const { storeAddress, internalPort } = world.versionedSite.settings
  const site = await startSite({ settings: { storeAddress, internalPort, machine: `edge-${world.otherGateways.length + 2}` } })
  world.otherGateways.push(site)
  return site
}

/** Starts a gateway that knows the engines of now, and that hears nothing more of the store. */
async function startGatewayOutOfStep (world: World): Promise<void> {
  const site = await startSite({ settings: { internalPort: world.versionedSite.settings.internalPort, machine: 'edge-out' } })
  world.otherGateways.push(site)
  world.gatewayOutOfStep = site
  site.writeConfiguration(1)
  for (const id of world.versions.keys()) site.store.put(`servers/${id}`, engineOf(world, id).buildEntry())
  await until(() => site.readLog().split('"msg":"worker"').length > world.versions.size, 2000, 'the entries of the engines')
  await untilConnected(site)
  site.store.setMode(StoreMode.Silent)
}

When('a versioned gateway goes out of step, and the engine {string} starts again with the version {string}', async function (this: World, id: string, version: string) {
  await startGatewayOutOfStep(this)
  const engine = engineOf(this, id)
  engine.startAgain(version)
  this.versions.set(`${id}-${version}`, version)
  this.versionedSite.store.put(`servers/${id}`, engine.buildEntry())
  await sleep(100)
})

Given('a versioned gateway goes out of step, and the engine {string} of the version {string} starts', async function (this: World, id: string, version: string) {
  await startGatewayOutOfStep(this)
  this.versions.set(id, version)
  await this.versionedSite.addWorker({ id, service: 'llm', stage: 'decode', version, events: eventCount, eventMs })
  // The view of the gateway has to be older than that of any that hears the store.
  await sleep(outOfStepMs)
})

When('a versioned client begins the stream {string} at the gateway that is out of step', async function (this: World, name: string) {
  this.answer = await requestStream(this, { gateway: this.gatewayOutOfStep as Site, requestId: name })
})

Then('the versioned engine {string} streamed to {int} requests', function (this: World, id: string, count: number) {
  assert.equal(engineOf(this, id).listRequests().filter(({ headers }) => headers['x-stage'] === undefined).length, count)
})

Given('only the versioned engines {string} have memory', function (this: World, ids: string) {
  for (const [id, engine] of this.versionedSite.workers) engine.setReservableTokens(ids.split(', ').includes(id) ? memoryTokens : 10)
})

Given('the versioned engine {string} loses its next stream after event {int}', function (this: World, id: string, event: number) {
  engineOf(this, id).resetAfterEvent(event, 1)
})

Given('the versioned engine {string} loses its next stream before the head', function (this: World, id: string) {
  engineOf(this, id).setMode(WorkerMode.Reset, WorkerMode.Good)
})

Given('the versioned engine {string} falls silent after event 2 for {int} ms', function (this: World, id: string, ms: number) {
  engineOf(this, id).setSilence({ point: SilencePoint.BetweenEvents, ms })
})

interface RequestOptions {
  gateway: Site
  requestId: string
  headers?: { [name: string]: string }
  onEvent?: (id: number) => void
  /** Id of the event after which the client closes the connection. */
  leavesAfter?: number
}

/** Requests a stream, or the rest of one, and returns what came; each event names the version of its engine. */
function requestStream (world: World, options: RequestOptions): Promise<ClientStream> {
  const [host, port] = (options.gateway.settings.clientAddress as string).split(':')
  return new Promise((resolve) => {
    const stream: ClientStream = { events: [], isComplete: false, status: 0, headers: {}, body: '' }
    const finish = (isComplete: boolean): void => {
      stream.events = [...stream.body.matchAll(eventPattern)].map(([, id, by]) => ({ id: Number(id), version: world.versions.get(by ?? '') ?? 'unknown' }))
      resolve({ ...stream, isComplete })
    }
    const headers = { ...fields, 'X-Request-Id': options.requestId, ...options.headers }
    const req = httpRequest({ host, port, method: 'POST', path: '/resume/x', headers, agent: false }, (res) => {
      Object.assign(stream, { status: res.statusCode, headers: res.headers })
      let seen = 0
      res.on('data', (chunk: Buffer) => {
        stream.body += chunk.toString()
        const last = Number([...stream.body.matchAll(eventPattern)].at(-1)?.[1] ?? 0)
        for (; seen < last; seen++) options.onEvent?.(seen + 1)
        if (options.leavesAfter !== undefined && last >= options.leavesAfter) req.destroy()
      })
      res.on('error', () => {})
      res.on('close', () => finish(res.complete))
    })
    req.on('error', () => finish(false))
    req.end('prompt')
  })
}

When(/^a versioned client begins the stream "([^"]*)" while the engines "([^"]*)" get memory(?: after event (\d+))?$/,
  async function (this: World, name: string, ids: string, after: string | null) {
    const give = (): void => { for (const id of ids.split(', ')) engineOf(this, id).setReservableTokens(memoryTokens) }
    if (after === null) give()
    const onEvent = (event: number): void => { if (after !== null && event === Number(after)) give() }
    this.answer = await requestStream(this, { gateway: this.versionedSite, requestId: name, onEvent })
    this.streams.set(name, this.answer)
  })

Then('the versioned client has the events {int} to {int} of {string}, all of {string}', function (this: World, first: number, last: number, name: string, version: string) {
  const expected = Array.from({ length: last - first + 1 }, (_, i) => ({ id: first + i, version }))
  assert.deepEqual(this.streams.get(name)?.events, expected)
})

Then(/^the versioned answer is (not )?complete$/, function (this: World, not: string | null) {
  assert.equal(this.answer.isComplete, not === null)
})

/** Starts the sidecar of all engines, which remembers streams and admits nothing. */
async function startPoint (world: World): Promise<void> {
  const task = createOriginTask(createSystemTimer())
  const listener = await listen({
    host: '127.0.0.1',
    port: world.versionedSite.settings.internalPort,
    firstMessageTimeoutMs: 0,
    onConnection (connection) {
      connection.onMessage((msg) => {
        const handle = task.handlers[msg.kind] as ((connection: Connection, msg: Message) => void) | undefined
        handle?.(connection, msg)
      })
    }
  })
  world.originPoint = listener.unwrap()
}

function countConnections (site: Site): number { return site.readLog().split('sidecar connected').length - 1 }

async function untilConnected (site: Site, times = 1): Promise<void> {
  await until(() => countConnections(site) >= times, 2000, 'a connection to the sidecar')
}

Given('a sidecar of the versioned engines that remembers streams', async function (this: World) {
  await startPoint(this)
  await untilConnected(this.versionedSite)
})

When('the sidecar of the versioned engines starts anew', async function (this: World) {
  const before = countConnections(this.versionedSite)
  await this.originPoint?.close()
  await startPoint(this)
  await untilConnected(this.versionedSite, before + 1)
  // The gateway tells what it knows within one period of its check.
  await sleep(600)
})

When('a versioned gateway that has just started is connected to a sidecar that has just started, and the first gateway is not', async function (this: World) {
  await this.versionedSite.gateway.close()
  await this.originPoint?.close()
  await startPoint(this)
  this.nextGateway = await startOtherGateway(this)
  await untilConnected(this.nextGateway)
})

When('a versioned client begins the stream {string} and leaves after event {int}', async function (this: World, name: string, event: number) {
  this.streams.set(name, await requestStream(this, { gateway: this.versionedSite, requestId: name, leavesAfter: event }))
})

When('the versioned engines {string} all have memory', function (this: World, ids: string) {
  for (const id of ids.split(', ')) engineOf(this, id).setReservableTokens(memoryTokens)
})

When('the versioned engines {string} leave', async function (this: World, ids: string) {
  for (const id of ids.split(', ')) this.versionedSite.store.remove(`servers/${id}`)
  await sleep(100)
})

When('the versioned engines {string} change to prefill', async function (this: World, ids: string) {
  for (const id of ids.split(', ')) {
    engineOf(this, id).setStage('prefill')
    this.versionedSite.store.put(`servers/${id}`, engineOf(this, id).buildEntry())
  }
  await sleep(100)
})

interface TakeUp {
  /** Attempt that the client names; none when it is undefined. */
  named: string | undefined
  /** Stream whose events the client has; that of the named attempt by default. */
  stream: string
  requestId: string
  afterEvent?: number
  isNewGateway: boolean
  leavesAfter?: number
}

/** Has a client take up a stream, and adds what it gets to the events that it has of it. */
async function takeUp (world: World, { named, stream, requestId, afterEvent, isNewGateway, leavesAfter }: TakeUp): Promise<void> {
  const gateway = world.nextGateway ?? (isNewGateway ? await startOtherGateway(world) : world.versionedSite)
  await until(() => gateway.readLog().includes('"configuration in force"'), 2000, 'the configuration')
  const had = afterEvent === undefined ? world.streams.get(stream)?.events ?? [] : []
  const lastEventId = afterEvent ?? had.at(-1)?.id
  const headers = { 'Last-Event-Id': String(lastEventId), ...(named === undefined ? {} : { Resumes: named }) }
  world.answer = await requestStream(world, { gateway, requestId, headers, ...(leavesAfter === undefined ? {} : { leavesAfter }) })
  world.streams.set(afterEvent === undefined ? stream : requestId, { ...world.answer, events: [...had, ...world.answer.events] })
}

When(/^the versioned client takes "([^"]*)" up(?: after event (\d+))? as "([^"]*)"( at (?:a|the) gateway that has just started)?(?:, and leaves after event (\d+))?$/,
  async function (this: World, named: string, afterEvent: string | null, requestId: string, at: string | null, leavesAfter: string | null) {
    await takeUp(this, {
      named,
      stream: named,
      requestId,
      isNewGateway: at !== null,
      ...(afterEvent === null ? {} : { afterEvent: Number(afterEvent) }),
      ...(leavesAfter === null ? {} : { leavesAfter: Number(leavesAfter) })
    })
  })

When('the versioned client takes {string} up as {string} at the gateway that is out of step', async function (this: World, named: string, requestId: string) {
  this.nextGateway = this.gatewayOutOfStep as Site
  await takeUp(this, { named, stream: named, requestId, isNewGateway: false })
  delete this.nextGateway
})

When('the versioned client takes {string} up without naming an attempt at a gateway that has just started', async function (this: World, stream: string) {
  await takeUp(this, { named: undefined, stream, requestId: 'unnamed', isNewGateway: true })
})

Then(/^the versioned client is refused with "([^"]*)", (with|without) a time to come back$/, function (this: World, reason: string, how: string) {
  assert.equal(this.answer.status, 503)
  assert.ok(this.answer.body.includes(reason), this.answer.body)
  assert.equal(this.answer.headers['retry-after'] !== undefined, how === 'with')
})

Then('the versioned engine {string} saw {int} requests', function (this: World, id: string, count: number) {
  assert.equal(engineOf(this, id).listRequests().length, count)
})
