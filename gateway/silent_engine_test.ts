/**
 * Steps for workers that fall silent and go on.
 */
import assert from 'node:assert/strict'
import { stat } from 'node:fs'
import { Socket } from 'node:net'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { RefusalCode } from '../core/types/mod.ts'
import { listen, MessageKind } from '../wire/mod.ts'
import { open, send, sleep, until } from './gateway_test.ts'
import type { FakeWorker, SilencePoint, Site } from '../testing/fleuve/mod.ts'
import type { Listener } from '../wire/mod.ts'

type Response = Awaited<ReturnType<typeof send>>

interface World {
  gatewaySite: Site
  response: Response
  responses: Response[]
  tookMs: number
  /** Closed by the steps of the gateway. */
  sidecar?: Listener
  /** Times in milliseconds without traffic after which the connections to workers are probed, by port. */
  probeDelaysMs?: Map<number, number>
}

const { setKeepAlive } = Socket.prototype

const prompt = { 'X-Model': 'm', 'X-Token-Counts': '100,40', 'X-Length-Hint': '30', 'X-Request-Deadline-Ms': '3000' }

function workerOf (world: World, id: string): FakeWorker {
  return world.gatewaySite.workers.get(id) ?? assert.fail(`worker ${id} does not exist`)
}

function countCalls (worker: FakeWorker, prefix: string): number {
  return worker.listControlCalls().filter(({ call }) => call.startsWith(prefix)).length
}

function requestGeneration (world: World, path: string): Promise<Response> {
  return send(world.gatewaySite, `POST ${path}`, { headers: prompt, chunks: ['prompt'] })
}

Given(/^the gateway engines fall silent (.*) for (\d+) ms$/, function (this: World, point: SilencePoint, ms: string) {
  for (const worker of this.gatewaySite.workers.values()) worker.setSilence({ point, ms: Number(ms) })
})

Given(/^the gateway engine "(\w+)" falls silent (.*) for (\d+) ms$/, function (this: World, id: string, point: SilencePoint, ms: string) {
  workerOf(this, id).setSilence({ point, ms: Number(ms) })
})

Given('only the gateway engine {string} has memory', function (this: World, id: string) {
  for (const worker of this.gatewaySite.workers.values()) if (worker.id !== id) worker.setReservableTokens(10)
})

Given('a gateway site with the same engines and no budget for repeated sends', async function (this: World) {
  await this.gatewaySite.close()
  const stages = { p1: 'prefill', d1: 'decode', d2: 'decode' } as const
  const engines = Object.entries(stages).map(([id, stage]) => ({ id, service: 'llm', stage, events: 8, eventMs: 10 }))
  await open(this, engines, { settings: { retryRatio: 0, retrySlack: 0 } })
})

Given('a gateway engine {string} that loses its first connection after event {int}', function (this: World, id: string, event: number) {
  workerOf(this, id).resetAfterEvent(event, 1)
})

Given('the gateway prefills take {int} ms from the second one on', function (this: World, ms: number) {
  const prefill = workerOf(this, 'p1')
  const settle = setInterval(() => {
    if (prefill.listRequests().length === 0) return
    clearInterval(settle)
    setTimeout(() => prefill.setPrefillMs(ms), 20)
  }, 1)
})

/** Starts a sidecar of all engines that grants reservations at one of them and passes over or refuses those at another one. */
async function startSidecars (world: World, grantingId: string, otherId: string, refuses: boolean): Promise<void> {
  const capacity = { reads: false, waiting: 0, senders: 1 }
  const listener = await listen({
    host: '127.0.0.1',
    port: world.gatewaySite.settings.internalPort,
    firstMessageTimeoutMs: 0,
    onConnection (connection) {
      // The engine that is to be asked first has most memory.
      const rooms = { [grantingId]: refuses ? 50_000 : 40_000, [otherId]: refuses ? 40_000 : 50_000 }
      for (const [workerId, roomTokens] of Object.entries(rooms)) connection.send({ kind: MessageKind.EngineCapacity, workerId, roomTokens, ...capacity })
      connection.onMessage((msg) => {
        if (msg.kind !== MessageKind.Admit) return
        const { requestId, attempt, workerId } = msg
        if (workerId === grantingId) connection.send({ kind: MessageKind.Admitted, requestId, attempt, hold: 'hold-1' })
        else if (refuses) connection.send({ kind: MessageKind.Refused, requestId, attempt, code: RefusalCode.NoCapacity, retryAfterMs: 0 })
      })
    }
  })
  world.sidecar = listener.unwrap()
  await until(() => world.gatewaySite.readLog().includes('sidecar connected'), 1500, 'a connection to the sidecar')
  await sleep(50)
}

Given('the sidecars of the gateway engines are silent to reservations at {string} and grant them at {string}',
  async function (this: World, otherId: string, grantingId: string) { await startSidecars(this, grantingId, otherId, false) })

Given('the sidecars of the gateway engines refuse reservations at {string} and grant them at {string}',
  async function (this: World, otherId: string, grantingId: string) { await startSidecars(this, grantingId, otherId, true) })

When('{int} gateway clients request a generation on {string} together', async function (this: World, count: number, path: string) {
  this.responses = await Promise.all(Array.from({ length: count }, () => requestGeneration(this, path)))
})

When('a gateway client requests a generation on {string} and {string} starts again unheard after {int} ms',
  async function (this: World, path: string, id: string, ms: number) {
    const startedMs = performance.now()
    setTimeout(() => this.gatewaySite.store.put(`servers/${id}`, workerOf(this, id).buildEntry({ born: 2 })), ms)
    this.response = await requestGeneration(this, path)
    this.tookMs = performance.now() - startedMs
  })

When('a gateway client requests a generation on {string}, and the process stands still for {int} ms after {int} ms',
  async function (this: World, path: string, ms: number, afterMs: number) {
    // In a callback of the file system, so that expired timers run before sockets are read, as after a stop of the process.
    setTimeout(() => stat('.', () => {
      const endMs = performance.now() + ms
      while (performance.now() < endMs) { /* empty */ }
    }), afterMs)
    this.response = await requestGeneration(this, path)
  })

Then('the gateway logged no {string}', function (this: World, text: string) {
  assert.ok(!this.gatewaySite.readLog().includes(text), `"${text}" is in the log`)
})

When('the connections that gateways open are watched', function (this: World) {
  const delaysMs = new Map<number, number>()
  this.probeDelaysMs = delaysMs
  Socket.prototype.setKeepAlive = function (enable, delayMs) {
    if (enable === true && this.remotePort !== undefined) delaysMs.set(this.remotePort, delayMs ?? 0)
    return setKeepAlive.call(this, enable, delayMs)
  }
})

After(function () { Socket.prototype.setKeepAlive = setKeepAlive })

Then('no gateway connection to a worker is probed within {int} ms without traffic', function (this: World, ms: number) {
  const ports = [...this.gatewaySite.workers.values()].map(({ address }) => Number(address.split(':')[1]))
  const delaysMs = ports.flatMap((port) => this.probeDelaysMs?.get(port) ?? [])
  assert.ok(delaysMs.length > 0, 'no connection to a worker was opened')
  for (const delayMs of delaysMs) assert.ok(delayMs > ms, `a probe is sent after ${delayMs} ms`)
})

Then('each gateway client gets the events {int} to {int}, each once', function (this: World, first: number, last: number) {
  const wanted = Array.from({ length: last - first + 1 }, (_, i) => `id: ${first + i}\ndata: piece ${first + i}\n\n`).join('')
  assert.deepEqual(this.responses.map(({ status, isComplete, body }) => ({ status, isComplete, body })),
    this.responses.map(() => ({ status: 200, isComplete: true, body: wanted })))
})

Then('the gateway engines saw {int} decodes', function (this: World, count: number) {
  const requests = [...this.gatewaySite.workers.values()].flatMap((worker) => worker.listRequests())
  assert.equal(requests.filter(({ headers }) => headers['x-kv-hold'] !== undefined).length, count)
})

Then('the gateway engine {string} saw {int} reservations', function (this: World, id: string, count: number) {
  assert.equal(countCalls(workerOf(this, id), 'POST /v1/hold-take'), count)
})

Then('each reservation for the search at the gateway engine {string} is released within {int} ms', async function (this: World, id: string, ms: number) {
  const worker = workerOf(this, id)
  const reservations = countCalls(worker, 'POST /v1/hold-take')
  assert.ok(reservations > 0, 'no reservation was made for the search')
  await until(() => countCalls(worker, 'DELETE /v1/hold-drop/') === reservations, ms, 'the release')
  await sleep(100)
  assert.equal(worker.listRequests().length, 0)
})

Then('the request at the gateway worker {string} is aborted within {int} ms of its second send', function (this: World, id: string, ms: number) {
  const [request] = workerOf(this, id).listRequests()
  const second = [...this.gatewaySite.workers.values()].flatMap((worker) => worker.id === id ? [] : worker.listRequests())
    .find(({ headers }) => headers['x-kv-hold'] !== undefined)
  assert.equal(request?.isAborted, true)
  const delayMs = (request?.abortedMs ?? Infinity) - (second?.receivedMs ?? 0)
  assert.ok(delayMs < ms, `the first engine was let go ${delayMs} ms after the second one had got the request`)
})

Then('the gateway response arrived later than {int} ms', function (this: World, ms: number) {
  assert.ok(this.tookMs > ms, `it took ${this.tookMs} ms`)
})
