/**
 * Steps for the limits that workers name.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { send, sleep } from './gateway_test.ts'
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

When('gateway clients send {string} {int} times, {int} ms apart', async function (this: World, line: string, times: number, gapMs: number) {
  const headers = { 'X-Model': 'm', 'X-Token-Counts': '100,40', 'X-Request-Deadline-Ms': '3000' }
  const pending: Array<Promise<TimedResponse>> = []
  for (let i = 0; i < times; i++) {
    const startedMs = performance.now()
    pending.push(send(this.gatewaySite, line, { headers, ...(line.startsWith('POST') ? { chunks: ['prompt'] } : {}) })
      .then((response) => ({ response, tookMs: performance.now() - startedMs, endedMs: performance.now() })))
    await sleep(gapMs)
  }
  this.timedResponses = await Promise.all(pending)
})

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
