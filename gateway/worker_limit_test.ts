/**
 * Steps for the limits that workers name.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { buildConfiguration } from '../testing/fleuve/mod.ts'
import { open, send, sleep, until } from './gateway_test.ts'
import type { FakeWorker, Site } from '../testing/fleuve/mod.ts'

interface TimedResponse {
  response: Awaited<ReturnType<typeof send>>
  tookMs: number
  /** Time in milliseconds on the monotonic clock. */
  endedMs: number
}

interface World {
  gatewaySite: Site
  timedResponses: TimedResponse[]
  removedMs: number
}

function workerOf (world: World, id: string): FakeWorker {
  return world.gatewaySite.workers.get(id) ?? assert.fail(`worker ${id} does not exist`)
}

function countRequests (worker: FakeWorker): number {
  return worker.listRequests().length
}

Given('a gateway worker {string} that limits its rate to {int} a second', function (this: World, id: string, perS: number) {
  workerOf(this, id).setLimit(perS)
})

When('the gateway worker {string} no longer limits its rate', function (this: World, id: string) {
  workerOf(this, id).setLimit(undefined)
})

When('gateway clients send {string} {int} times, {int} ms apart', sendMany)

async function sendMany (this: World, line: string, times: number, gapMs: number): Promise<void> {
  const headers = { 'X-Model': 'm', 'X-Token-Counts': '100,40', 'X-Request-Deadline-Ms': '3000' }
  const pending: Array<Promise<TimedResponse>> = []
  for (let i = 0; i < times; i++) {
    const startedMs = performance.now()
    pending.push(send(this.gatewaySite, line, { headers, ...(line.startsWith('POST') ? { chunks: ['prompt'] } : {}) })
      .then((response) => ({ response, tookMs: performance.now() - startedMs, endedMs: performance.now() })))
    await sleep(gapMs)
  }
  this.timedResponses = await Promise.all(pending)
}

Then('every gateway response has the status {int}', function (this: World, status: number) {
  assert.deepEqual([...new Set(this.timedResponses.map(({ response }) => response.status))], [status])
})

Then('the gateway worker {string} got at most {int} requests, and {string} at least {int}',
  function (this: World, limited: string, most: number, other: string, least: number) {
    const counts = [countRequests(workerOf(this, limited)), countRequests(workerOf(this, other))] as const
    assert.ok(counts[0] >= 1 && counts[0] <= most && counts[1] >= least, `${limited} got ${counts[0]}, ${other} got ${counts[1]}`)
  })

Then('the gateway workers saw as many requests as gateway responses have the status {int}, and at most {int}',
  function (this: World, status: number, most: number) {
    const served = this.timedResponses.filter(({ response }) => response.status === status).length
    const seen = [...this.gatewaySite.workers.values()].reduce((sum, worker) => sum + countRequests(worker), 0)
    assert.equal(seen, served)
    assert.ok(seen >= 4 && seen <= most, `${seen} requests`)
  })

Then('the other gateway responses are {int} {string} with a Retry-After header, each within {int} ms',
  function (this: World, status: number, reason: string, ms: number) {
    for (const { response, tookMs } of this.timedResponses.filter((timed) => timed.response.status !== 200)) {
      assert.equal(response.status, status)
      assert.ok(response.body.includes(reason), response.body)
      assert.ok(Number(response.headers['retry-after']) > 0)
      assert.ok(tookMs <= ms, `${tookMs} ms`)
    }
  })

Given('a gateway site with a drain time of {int} ms, a target latency of {int} ms and the plain workers {string}',
  async function (this: World, drainMs: number, targetMs: number, ids: string) {
    await open(this, ids.split(', ').map((id) => ({ id, service: 'plain' })), { settings: { drainMs } })
    const routes = JSON.parse(buildConfiguration(2)).routes.map((route: object) => ({ ...route, timeout_ms: targetMs, target_latency_ms: targetMs }))
    this.gatewaySite.writeConfiguration(2, { routes })
    await until(() => this.gatewaySite.readLog().includes('"version":2'), 1000, 'version 2')
  })

When('gateway clients send {string} {int} times, {int} ms apart, while the entry of {string} is removed after {int} ms and the worker {string} comes',
  async function (this: World, line: string, times: number, gapMs: number, removed: string, ms: number, added: string) {
    const sending = sendMany.call(this, line, times, gapMs)
    await sleep(ms)
    this.gatewaySite.store.remove(`servers/${removed}`)
    await until(() => this.gatewaySite.readLog().includes('worker gone'), 1000, 'the removal')
    this.removedMs = performance.now()
    await this.gatewaySite.addWorker({ id: added, service: 'plain' })
    await sending
  })

Then('the gateway worker {string} got no request later than {int} ms after its removal, and {string} got at least {int}',
  function (this: World, removed: string, ms: number, other: string, least: number) {
    const latestMs = Math.max(...workerOf(this, removed).listRequests().map(({ receivedMs }) => receivedMs)) - this.removedMs
    assert.ok(latestMs <= ms, `the last one came ${Math.round(latestMs)} ms after`)
    assert.ok(countRequests(workerOf(this, other)) >= least)
  })
