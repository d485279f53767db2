/**
 * Steps for callers that carry the keys of organisations.
 */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { Agent, request as httpRequest } from 'node:http'
import { connect } from 'node:net'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { getKeyLabel } from '../core/keys/mod.ts'
import { buildConfiguration, startSite, StoreMode, WorkerMode } from '../testing/fleuve/mod.ts'
import { findFreePort } from '../testing/ports/mod.ts'
import { send, sleep, until } from './gateway_test.ts'
import type { Socket } from 'node:net'
import type { ReceivedRequest, Site } from '../testing/fleuve/mod.ts'

type Response = Awaited<ReturnType<typeof send>>

interface World {
  /** Closed by the steps of the gateway. */
  gatewaySite: Site
  organisationResponse: Response
  organisationAnswer: string
  keptStatuses: number[]
  organisationMetrics: string
}

const keys = ['n-key-1', 'n-key-2', 'n-key-3', 's-key-1', 'x-key']

function readOrganisations (text: string): object[] {
  return text.split(', ').map((part) => {
    const [name, list] = part.split(': ') as [string, string]
    return { name, api_keys: list.split(' '), ...(name === 'north' && { priority: 0 }) }
  })
}

function buildRules (text: string): object {
  const { routes } = JSON.parse(buildConfiguration(1))
  return { tenants: readOrganisations(text), routes: [...routes, { ...routes[0], name: 'open', prefix: '/open/', allow_anonymous: true }] }
}

async function writeKeys (world: World, version: number, text: string): Promise<void> {
  world.gatewaySite.writeConfiguration(version, buildRules(text))
  await until(() => world.gatewaySite.readLog().includes(`"version":${version},"routes"`), 2000, `version ${version}`)
}

async function openSite (world: World, settings: Partial<Site['settings']>): Promise<void> {
  await world.gatewaySite?.close()
  const metricsPort = await findFreePort()
  world.organisationMetrics = `http://127.0.0.1:${metricsPort}/metrics`
  world.gatewaySite = await startSite({ settings, metricsPort })
}

async function addWorkers (site: Site): Promise<void> {
  for (const id of ['w1', 'w2']) await site.addWorker({ id, service: 'plain' })
  for (const id of ['p1', 'd1', 'd2']) {
    await site.addWorker({ id, service: 'llm', stage: id === 'p1' ? 'prefill' : 'decode', events: 4, eventMs: 10 })
  }
  await until(() => site.readLog().includes('"worker":"d2"'), 2000, 'the last worker')
}

const initialKeys = 'north: n-key-1 n-key-2, south: s-key-1'

async function openWithKeys (world: World, settings: Partial<Site['settings']>): Promise<void> {
  await openSite(world, settings)
  await writeKeys(world, 1, initialKeys)
  await addWorkers(world.gatewaySite)
}

Given('a gateway site whose callers carry the keys of {string}, with workers and engines', async function (this: World, text: string) {
  assert.equal(text, initialKeys)
  await openWithKeys(this, { hasOrganisations: true })
})

Given('a gateway site whose callers carry keys that nobody has told it yet', async function (this: World) { await openSite(this, { hasOrganisations: true }) })

Given('a gateway site where no machine may serve a key {int} ms after its withdrawal', async function (this: World, keyWithdrawalMs: number) {
  await openWithKeys(this, { hasOrganisations: true, withdrawsKeysEverywhere: true, keyWithdrawalMs })
})

Given('a gateway site whose deployment knows no organisations, with rules that name some', async function (this: World) { await openWithKeys(this, {}) })

/** No scenario may leave a key in the log or in the metrics. */
After(async function (this: World) {
  if (this.organisationMetrics === undefined) return
  const metrics = await fetch(this.organisationMetrics).then((response) => response.text(), () => '')
  const text = this.gatewaySite.readLog() + metrics
  for (const key of keys) assert.ok(!text.includes(key), `the log or the metrics have the key ${key}`)
})

const faults: { readonly [what: string]: (site: Site) => void } = {
  'are sound': () => {},
  'fail their first request' (site) {
    const modes = [WorkerMode.Error, WorkerMode.Good]
    for (const id of ['w1', 'w2']) site.workers.get(id)?.shareModes(modes)
  },
  'lose the stream after an event' (site) { for (const id of ['d1', 'd2']) site.workers.get(id)?.resetAfterEvent(1, 1) },
  'have no memory' (site) { for (const id of ['d1', 'd2']) site.workers.get(id)?.setReservableTokens(10) },
  'lose a slow stream after an event' (site) {
    for (const id of ['d1', 'd2']) {
      site.workers.get(id)?.resetAfterEvent(3, 1)
      site.workers.get(id)?.setSilence({ point: 'between two events' as never, ms: 500 })
    }
  }
}

Given(/^the workers of the organisations (are sound|fail their first request|lose the stream after an event|have no memory|lose a slow stream after an event)$/,
  function (this: World, what: string) { faults[what]?.(this.gatewaySite) })

const prompt = { 'X-Model': 'm', 'X-Token-Counts': '100,40', 'X-Request-Deadline-Ms': '3000' }

function sendWithKey (world: World, line: string, key: string, headers: { [name: string]: string } = {}): Promise<Response> {
  const isGeneration = line.includes('/stream/') || line.includes('/resume/')
  const options = { headers: { Authorization: `Token ${key}`, ...headers, ...(isGeneration && prompt) }, ...(line.startsWith('POST') && { chunks: ['body'] }) }
  return send(world.gatewaySite, line, options)
}

When('a caller with the key {string} who names itself {string} sends {string}', async function (this: World, key: string, name: string, line: string) {
  this.organisationResponse = await sendWithKey(this, line, key, { 'X-Tenant': name })
})

Then('the caller gets {int}', function (this: World, status: number) { assert.equal(this.organisationResponse.status, status, this.organisationResponse.body) })

function listSeen (world: World): ReceivedRequest[] { return [...world.gatewaySite.workers.values()].flatMap((worker) => worker.listRequests()) }

Then('the workers of the organisations saw {int} requests, all of {string} and none with a key', function (this: World, count: number, name: string) {
  const seen = listSeen(this)
  assert.equal(seen.length, count, JSON.stringify(seen.map(({ path }) => path)))
  assert.deepEqual(seen.map(({ headers }) => headers['x-tenant'] ?? 'nobody'), seen.map(() => name))
  for (const { headers } of seen) assert.deepEqual([headers.authorization, headers['x_tenant']], [undefined, undefined])
  const text = JSON.stringify([...this.gatewaySite.workers.values()].map((worker) => [worker.listRequests(), worker.listControlCalls()]))
  for (const key of keys) assert.ok(!text.includes(key), `a worker saw ${key}`)
})

Then('the workers of the organisations saw {int} requests', function (this: World, count: number) { assert.equal(listSeen(this).length, count) })

async function connectTo (site: Site): Promise<Socket> {
  const [host, port] = (site.settings.clientAddress as string).split(':')
  const socket = connect({ host: host as string, port: Number(port) })
  await once(socket, 'connect')
  socket.on('error', () => {})
  return socket
}

/** Sends a head and what follows it, and waits for the head of the answer. */
async function exchange (world: World, line: string, lines: string[], body: (socket: Socket) => Promise<void>): Promise<void> {
  const socket = await connectTo(world.gatewaySite)
  world.organisationAnswer = ''
  socket.on('data', (chunk) => { world.organisationAnswer += String(chunk) })
  socket.write([`${line} HTTP/1.1`, 'Host: a.example', 'X-Request-Id: raw-1', ...lines, '', ''].join('\r\n'))
  await body(socket)
  await until(() => world.organisationAnswer.includes('\r\n\r\n'), 3000, 'an answer')
  socket.destroy()
}

When('a caller sends {string} with the raw lines {string}', async function (this: World, line: string, text: string) {
  const lines = text.split('; ')
  const body = text.includes('chunked') ? '2\r\nab\r\n0\r\nX-Tenant: south\r\nAuthorization: Token s-key-1\r\n\r\n' : ''
  await exchange(this, line, lines, async (socket) => { socket.write(body) })
})

Then('the raw caller gets {int} with the reason {string}', function (this: World, status: number, reason: string) {
  assert.match(this.organisationAnswer, new RegExp(`^HTTP/1.1 ${status} `))
  assert.ok(this.organisationAnswer.includes(`"${reason}"`), this.organisationAnswer)
  assert.equal(/www-authenticate: token/i.test(this.organisationAnswer), status === 401)
})

When('a caller with the key {string} sends a body of which the rest comes after version {int} has the keys {string}',
  async function (this: World, key: string, version: number, text: string) {
    await exchange(this, 'POST /unsafe/x', [`Authorization: Token ${key}`, 'Content-Length: 4'], async (socket) => {
      socket.write('bo')
      await sleep(50)
      await writeKeys(this, version, text)
      socket.write('dy')
    })
  })

When('a caller sends {string} with the key {string} on a kept connection, and again with the key {string} after version {int} has the keys {string}',
  async function (this: World, line: string, key: string, nextKey: string, version: number, text: string) {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    const [method, path] = line.split(' ') as [string, string]
    const [host, port] = (this.gatewaySite.settings.clientAddress as string).split(':')
    const sockets = new Set<unknown>()
    const get = (with_: string, id: string): Promise<number> => new Promise((resolve, reject) => {
      const headers = { Host: 'a.example', 'X-Request-Id': id, 'X-Request-Deadline-Ms': '4000', Authorization: `Token ${with_}` }
      httpRequest({ host, port, method, path, headers, agent }, (res) => {
        sockets.add(res.socket)
        res.resume().on('end', () => resolve(res.statusCode ?? 0))
      }).on('error', reject).end()
    })
    const first = await get(key, `kept-${version}-1`)
    await writeKeys(this, version, text)
    this.keptStatuses = [first, await get(nextKey, `kept-${version}-2`)]
    assert.equal(sockets.size, 1)
    agent.destroy()
  })

Then('the kept connection gets {int}, then {int}', function (this: World, first: number, second: number) {
  assert.deepEqual(this.keptStatuses, [first, second])
})

When('a caller with the key {string} requests a generation, and version {int} has the keys {string} meanwhile',
  async function (this: World, key: string, version: number, text: string) {
    const pending = sendWithKey(this, 'POST /resume/x', key)
    await sleep(120)
    await writeKeys(this, version, text)
    this.organisationResponse = await pending
  })

Then('the caller gets a stream that is cut', function (this: World) {
  assert.equal(this.organisationResponse.status, 200)
  assert.equal(this.organisationResponse.isComplete, false)
})

Then('no engine of the organisations was asked to resume', function (this: World) {
  assert.deepEqual(listSeen(this).filter(({ headers }) => headers['last-event-id'] !== undefined), [])
})

Given('version {int} of the organisations is malformed', async function (this: World, version: number) {
  const rules = buildRules('north: n-key-2')
  this.gatewaySite.writeConfiguration(version, { ...rules, tenants: [{ name: 'north', api_keys: ['n-key-3', 7] }] })
  await until(() => this.gatewaySite.readLog().includes('configuration refused'), 1000, 'a refusal')
})

Then('the log of the organisations says {string} and names the field', function (this: World, text: string) {
  const line = this.gatewaySite.readLog().split('\n').find((one) => one.includes(text))
  assert.match(line ?? '', /tenants\.0\.api_keys/)
})

Given('version {int} of the organisations has the keys {string}', async function (this: World, version: number, text: string) {
  await writeKeys(this, version, text)
})

Given('version {int} of the organisations, which comes later, has the keys {string}', async function (this: World, version: number, text: string) {
  this.gatewaySite.writeConfiguration(version, buildRules(text))
  await until(() => this.gatewaySite.readLog().includes('record passed over'), 1000, 'a record without effect')
})

Then('the log of the organisations has the label of {string}, the version and the reason {string}', function (this: World, key: string, reason: string) {
  const line = this.gatewaySite.readLog().split('\n').find((one) => one.includes('"refused"')) ?? '{}'
  const { keyLabel, version, route, status, ...fields } = JSON.parse(line)
  assert.deepEqual({ keyLabel, version, route, status, reason: fields.reason }, { keyLabel: getKeyLabel(key), version: 1, route: 'safe', status: 401, reason })
})

Then('the log of the organisations has the requests of {string} with these priorities', function (this: World, text: string) {
  const ended = this.gatewaySite.readLog().split('\n').filter((line) => line.includes('"ended"')).map((line) => JSON.parse(line))
  assert.equal(ended.map(({ organisation, priority }) => `${organisation}: ${priority}`).join(', '), text)
})

Then('the metrics of the organisations count {int} refusal with the reason {string}', async function (this: World, count: number, reason: string) {
  const text = await (await fetch(this.organisationMetrics)).text()
  assert.ok(text.includes(`briarloom_requests_total{service="",status="401",reason="${reason}"} ${count}`), text)
})

When('the store of the organisations is silent for {int} ms', async function (this: World, ms: number) {
  this.gatewaySite.store.setMode(StoreMode.Silent)
  await sleep(ms)
})

Then('a caller with the key {string} gets {int}, and one without a key gets {int} where its route allows it',
  async function (this: World, key: string, status: number, openStatus: number) {
    const response = await sendWithKey(this, 'GET /safe/x', key)
    assert.equal(response.status, status, response.body)
    assert.equal(response.headers['retry-after'] !== undefined, status === 503)
    assert.equal((await send(this.gatewaySite, 'GET /open/x')).status, openStatus)
  })

Then('a caller with the key {string} gets {int} within {int} ms after the store is back', async function (this: World, key: string, status: number, ms: number) {
  this.gatewaySite.store.setMode(StoreMode.Up)
  await until(async () => (await sendWithKey(this, 'GET /safe/x', key)).status === status, ms, `status ${status}`)
})

Then('the workers of the organisations saw the key {string} and the name {string}', function (this: World, key: string, name: string) {
  assert.deepEqual(listSeen(this).map(({ headers }) => [headers.authorization, headers['x-tenant']]), [[`Token ${key}`, name]])
})
