/**
 * Steps for what workers say of themselves: that they leave, and that they want no requests for a time.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import type { send } from './gateway_test.ts'
import { open, sleep, until } from './gateway_test.ts'
import { findFreePort } from '../testing/ports/mod.ts'
import { listen, MessageKind } from '../wire/mod.ts'
import type { LeavingWorker } from '../core/fleet/mod.ts'
import type { Connection, Listener, Message } from '../wire/mod.ts'
import type { FakeWorker, Site } from '../testing/fleuve/mod.ts'

interface World {
  gatewaySite: Site
  timedResponses: Array<{ response: Awaited<ReturnType<typeof send>>, tookMs: number, endedMs: number }>
  /** Times in milliseconds at which workers said that they leave, and at which they started again. */
  wordMs: Map<string, number>
  startMs: Map<string, number>
  metricsUrl: string
  sidecar?: Listener
  messages: Message[]
}

function workerOf (world: World, id: string): FakeWorker {
  return world.gatewaySite.workers.get(id) ?? assert.fail(`worker ${id} does not exist`)
}

/** Lists the times of the requests and reservations that a worker has received. */
function listArrivals (worker: FakeWorker): number[] {
  const reservations = worker.listControlCalls().filter(({ call }) => call === 'POST /v1/hold-take')
  return [...worker.listRequests(), ...reservations].map(({ receivedMs }) => receivedMs)
}

async function openEngines (world: World, stages: { prefill: string, decode: string }, drainMs: number): Promise<void> {
  await world.gatewaySite?.close()
  const engines = Object.entries(stages).flatMap(([stage, ids]) => ids.split(', ').map((id) => ({ id, stage: stage as 'prefill' | 'decode' })))
  const workers = engines.map((engine) => ({ ...engine, service: 'llm', events: 4, eventMs: 10 }))
  await open(world, workers, { settings: { drainMs } })
}

Given('a gateway site with the plain workers {string} and a drain time of {int} ms', async function (this: World, ids: string, drainMs: number) {
  await open(this, ids.split(', ').map((id) => ({ id, service: 'plain' })), { settings: { drainMs } })
})

Given('a gateway site with metrics and the plain workers {string}', async function (this: World, ids: string) {
  const metricsPort = await findFreePort()
  this.metricsUrl = `http://127.0.0.1:${metricsPort}/metrics`
  await open(this, ids.split(', ').map((id) => ({ id, service: 'plain' })), { metricsPort })
})

Given('a gateway site with the engines {string} that prefill and {string} that decode, and a drain time of {int} ms',
  async function (this: World, prefill: string, decode: string, drainMs: number) { await openEngines(this, { prefill, decode }, drainMs) })

Given('a gateway worker {string} that turns requests away with the Retry-After {string}', function (this: World, id: string, text: string) {
  workerOf(this, id).setRetryAfter(text)
})

Given('a gateway worker {string} that takes {int} ms for a response', function (this: World, id: string, ms: number) {
  workerOf(this, id).setResponseMs(ms)
})

Given('gateway workers that take {int} ms for a response', function (this: World, ms: number) {
  for (const worker of this.gatewaySite.workers.values()) worker.setResponseMs(ms)
})

When('the gateway worker {string} takes requests again', function (this: World, id: string) { workerOf(this, id).setRetryAfter(undefined) })

When('the gateway worker {string} says that it leaves', function (this: World, id: string) {
  workerOf(this, id).setLeaving(true)
  this.wordMs = new Map(this.wordMs).set(id, performance.now())
})

When('the gateway store loses the entry of {string}, and gets an older one back first', async function (this: World, id: string) {
  this.gatewaySite.store.remove(`servers/${id}`)
  await sleep(50)
  this.gatewaySite.store.put(`servers/${id}`, workerOf(this, id).buildEntry({ born: 0 }))
  await sleep(50)
  this.gatewaySite.store.put(`servers/${id}`, workerOf(this, id).buildEntry())
  await sleep(50)
})

When('the gateway worker {string} starts again', async function (this: World, id: string) {
  workerOf(this, id).setLeaving(false)
  this.startMs = new Map(this.startMs).set(id, performance.now())
  this.gatewaySite.store.put(`servers/${id}`, workerOf(this, id).buildEntry({ born: 2 }))
  await sleep(100)
})

Then('the gateway worker {string} got at least {int} requests since its start', function (this: World, id: string, least: number) {
  const count = listArrivals(workerOf(this, id)).filter((ms) => ms > (this.startMs.get(id) ?? 0)).length
  assert.ok(count >= least, `${count} requests`)
})

/** Returns the times of the arrivals at a worker, counted from the first one at which it said that it leaves. */
function listAfterWord (world: World, id: string): number[] {
  const arrivals = listArrivals(workerOf(world, id)).filter((ms) => ms >= (world.wordMs.get(id) ?? 0)).sort((a, b) => a - b)
  return arrivals.map((ms) => ms - (arrivals[0] as number))
}

Then('the gateway worker {string} got at most {int} requests after its word, and none later than {int} ms',
  function (this: World, id: string, most: number, drainMs: number) {
    const afterMs = listAfterWord(this, id)
    assert.ok(afterMs.length >= 1, 'it got no request, so it said nothing')
    assert.ok(afterMs.length <= most && Math.max(...afterMs) <= drainMs + 20, `requests after ${afterMs.map(Math.round).join(', ')} ms`)
  })

Then('the gateway worker {string} got at least {int} requests after its word, and none later than {int} ms',
  function (this: World, id: string, least: number, drainMs: number) {
    const afterMs = listAfterWord(this, id)
    assert.ok(afterMs.length >= least && Math.max(...afterMs) <= drainMs + 20, `requests after ${afterMs.map(Math.round).join(', ')} ms`)
  })

Then('the gateway worker {string} got no request', function (this: World, id: string) {
  assert.equal(listArrivals(workerOf(this, id)).length, 0)
})

Then('the gateway worker {string} got {int} requests', function (this: World, id: string, count: number) {
  assert.equal(listArrivals(workerOf(this, id)).length, count)
})

/** Listens where the sidecars of the engines would, and sends what `onConnection` does. */
async function listenAsSidecar (world: World, onConnection: (connection: Connection) => void): Promise<void> {
  world.messages = []
  const listener = await listen({
    host: '127.0.0.1',
    port: world.gatewaySite.settings.internalPort,
    firstMessageTimeoutMs: 0,
    onConnection (connection) {
      connection.onMessage((msg) => { world.messages.push(msg) })
      onConnection(connection)
    }
  })
  world.sidecar = listener.unwrap()
  await until(() => world.gatewaySite.readLog().includes('sidecar connected'), 1500, 'a connection to the sidecar')
  await sleep(50)
}

When('the sidecars of the gateway engines tell that {string} leaves', async function (this: World, id: string) {
  await listenAsSidecar(this, (connection) => {
    connection.send({ kind: MessageKind.PromptEvidence, crashes: [], sound: [], leaving: [{ id, bornMs: 1 }] })
  })
})

Given('sidecars of the gateway engines that listen', async function (this: World) { await listenAsSidecar(this, () => {}) })

Then('the sidecars of the gateway engines are told that {string} leaves', async function (this: World, id: string) {
  const isTold = (msg: Message): boolean =>
    msg.kind === MessageKind.PromptEvidence && (msg.leaving ?? []).some((leaving: LeavingWorker) => leaving.id === id && leaving.bornMs === 1)
  await until(() => this.messages.some(isTold), 500, 'a message')
})

const onTheWayMs = 500

Then('each gateway worker got at most {int} requests in a time in which it wanted none', function (this: World, most: number) {
  for (const worker of this.gatewaySite.workers.values()) {
    for (const { atMs, text } of worker.listTurnedAway()) {
      const within = listArrivals(worker).filter((ms) => ms > atMs + onTheWayMs && ms < atMs + Number(text) * 1000).length
      assert.ok(within <= most, `${worker.id} got ${within} requests from ${onTheWayMs} ms to ${text} s after it had turned one away`)
    }
  }
})

Then('the gateway responses from number {int} on are {int} {string} within {int} ms, with a Retry-After that ends {int} to {int} ms after the first hold',
  function (this: World, from: number, status: number, reason: string, withinMs: number, leastMs: number, mostMs: number) {
    const holds = [...this.gatewaySite.workers.values()].flatMap((worker) => worker.listTurnedAway())
    const firstEndMs = Math.min(...holds.map(({ atMs, text }) => atMs + Number(text) * 1000))
    for (const { response, tookMs, endedMs } of this.timedResponses.slice(from - 1)) {
      assert.equal(response.status, status)
      assert.ok(response.body.includes(reason), response.body)
      assert.ok(tookMs <= withinMs, `${tookMs} ms`)
      const afterMs = endedMs + Number(response.headers['retry-after']) * 1000 - firstEndMs
      assert.ok(afterMs >= leastMs && afterMs <= mostMs + withinMs, `Retry-After ${response.headers['retry-after']} ends ${Math.round(afterMs)} ms after the first hold`)
    }
  })

Then('the gateway worker {string} got at most {int} requests in the first {int} ms after its hold, and at least {int} in all',
  function (this: World, id: string, most: number, ms: number, least: number) {
    const worker = workerOf(this, id)
    const { atMs, text } = worker.listTurnedAway()[0] ?? assert.fail('no request was turned away')
    const endMs = atMs + Number(text) * 1000
    const afterMs = listArrivals(worker).filter((arrivedMs) => arrivedMs > atMs).map((arrivedMs) => arrivedMs - endMs)
    assert.ok(Math.min(...afterMs) >= 0, `a request came ${Math.min(...afterMs)} ms after the end`)
    const early = afterMs.filter((after) => after <= ms).length
    assert.ok(early <= most && afterMs.length >= least, `${early} requests in the first ${ms} ms, ${afterMs.length} in all`)
  })

Then('no gateway response names a Retry-After over {int} s', function (this: World, seconds: number) {
  for (const { response } of this.timedResponses) assert.ok(Number(response.headers['retry-after'] ?? 0) <= seconds, String(response.headers['retry-after']))
})

function findLine (world: World, text: string, field: string): unknown[] {
  const lines = world.gatewaySite.readLog().split('\n').filter((line) => line.length > 0).map((line) => JSON.parse(line))
  return lines.filter(({ msg }) => msg === text).map((line) => line[field])
}

Then('the gateway log has {string} with {string} {int}', function (this: World, text: string, field: string, value: number) {
  assert.ok(findLine(this, text, field).includes(value), `${findLine(this, text, field)}`)
})

Then('the gateway log has {string} with {string} {string}', function (this: World, text: string, field: string, value: string) {
  assert.ok(findLine(this, text, field).includes(value), `${findLine(this, text, field)}`)
})
