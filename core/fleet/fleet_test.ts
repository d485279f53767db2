/**
 * Steps for the decision whether a request may be sent to a worker.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import { checkSend, createFleet, isFailing, SendRank, takeSendPlace, WorkerState } from './mod.ts'
import { simulateFleet } from './_simulated_words_test.ts'
import type { Fleet, Worker, WorkerEntry } from './mod.ts'

interface World {
  fleet: Fleet
}

const drainMs = 2_500

function buildEntry (id: string, bornMs: number): WorkerEntry {
  return { id, service: 's', address: '10.0.0.1:80', zone: 'z', slots: 6, state: WorkerState.Ready, softwareVersion: 'v1', bornMs }
}

function workerOf (world: World, id: string): Worker {
  return world.fleet.get(id) ?? assert.fail(`worker ${id} is not known`)
}

Given('a fleet with the worker {string} born at {int}', function (this: World, id: string, bornMs: number) {
  this.fleet = createFleet()
  this.fleet.upsert(buildEntry(id, bornMs), 0)
})

When('the fleet gets to know the worker {string} born at {int}', function (this: World, id: string, bornMs: number) {
  this.fleet.upsert(buildEntry(id, bornMs), 0)
})

When('the fleet loses {string}, which comes back born at {int}', function (this: World, id: string, bornMs: number) {
  this.fleet.remove(id, 0)
  this.fleet.upsert(buildEntry(id, bornMs), 0)
})

When('the fleet learns at {int} ms that {string} born at {int} leaves', function (this: World, nowMs: number, id: string, bornMs: number) {
  this.fleet.markLeaving({ id, bornMs }, nowMs)
})

When('the fleet suspects {string} at {int} ms', function (this: World, id: string, nowMs: number) {
  this.fleet.markSuspect(workerOf(this, id), nowMs)
})

When('the fleet holds {string} at {int} ms for {int} ms', function (this: World, id: string, nowMs: number, forMs: number) {
  this.fleet.hold(workerOf(this, id), forMs, nowMs, () => 0)
})

Then('the fleet holds {string} for {int} ms when it names {int} ms', function (this: World, id: string, heldMs: number, statedMs: number) {
  assert.equal(this.fleet.hold(workerOf(this, id), statedMs, 0, () => 0), heldMs)
  assert.equal(checkSend(workerOf(this, id), { nowMs: heldMs - 1, drainMs }).reason, 'retry_after')
  assert.equal(checkSend(workerOf(this, id), { nowMs: heldMs, drainMs }).reason, undefined)
})

function assertVerdict (world: World, id: string, nowMs: number, expected: { rank: number, reason?: string }): void {
  const { rank, reason } = checkSend(workerOf(world, id), { nowMs, drainMs })
  assert.deepEqual({ rank, reason }, { reason: undefined, ...expected })
}

Then('the fleet sends to {string} at {int} ms with the rank {int} and no reason', function (this: World, id: string, nowMs: number, rank: number) {
  assertVerdict(this, id, nowMs, { rank })
})

Then('the fleet sends to {string} at {int} ms with the rank {int} and the reason {string}',
  function (this: World, id: string, nowMs: number, rank: number, reason: string) { assertVerdict(this, id, nowMs, { rank, reason }) })

Then('the fleet gives {int} requests that wait for {string} at {int} ms at most {int} places in the first {int} ms, and all within {int} ms',
  function (this: World, count: number, id: string, nowMs: number, most: number, firstMs: number, allMs: number) {
    const places = Array.from({ length: count }, () => takeSendPlace(workerOf(this, id), nowMs))
    const early = places.filter((ms) => ms <= firstMs).length
    assert.ok(early <= most, `${early} places`)
    assert.ok(Math.max(...places) <= allMs, `the last place is after ${Math.max(...places)} ms`)
  })

Then('in {int} random schedules no worker gets more than {int} requests from {int} ms on in a time in which it wants none, nor any later than the drain time',
  function (count: number, most: number, onTheWayMs: number) {
    let arrivals = 0
    let refusals = 0
    fc.assert(fc.property(fc.nat(), (seed) => {
      const result = simulateFleet(seed, drainMs)
      arrivals += result.arrivals.length
      refusals += result.refusals.length
      for (const { process, worker, atMs, retryAfterMs } of result.refusals) {
        const within = result.arrivals.filter((arrival) => arrival.process === process && arrival.worker === worker &&
          arrival.atMs > atMs + onTheWayMs && arrival.atMs < atMs + retryAfterMs)
        assert.ok(within.length <= most, `${worker} got ${within.length} requests of ${process} after it had wanted none from ${atMs} ms on for ${retryAfterMs} ms`)
      }
      for (const { process, worker, atMs } of result.farewells) {
        const late = result.arrivals.find((arrival) => arrival.process === process && arrival.worker === worker && arrival.sentMs > atMs + drainMs)
        assert.equal(late, undefined, `${worker} got a request of ${process} that was sent at ${late?.sentMs} ms, after it had said at ${atMs} ms that it leaves`)
      }
    }), { numRuns: count, seed: 19 })
    assert.ok(arrivals > 100 * count && refusals > 2 * count, `${arrivals} arrivals and ${refusals} refusals in all`)
  })

Then('the fleet lets a request with its place reach a worker {int} ms after it began to drain, and not {int} ms after',
  function (withinMs: number, afterMs: number) {
    const fleet = createFleet()
    const startMs = 100
    fleet.upsert({ ...buildEntry('a', 1), state: WorkerState.Draining }, startMs)
    const worker = fleet.get('a') as Worker
    const rankAfter = (ms: number): SendRank => checkSend(worker, { nowMs: startMs + ms, drainMs, hasPlace: true }).rank
    assert.deepEqual([rankAfter(withinMs), rankAfter(afterMs)], [SendRank.Open, SendRank.Never])
  })

When('the fleet sees streams of {string} fail at 0, 100, 600 and 1700 ms', function (this: World, id: string) {
  for (const nowMs of [0, 100, 600, 1700]) this.fleet.recordStream(workerOf(this, id), { failed: true, nowMs })
})

When('the fleet sees a stream of {string} succeed at {int} ms', function (this: World, id: string, nowMs: number) {
  this.fleet.recordStream(workerOf(this, id), { failed: false, nowMs })
})

When('the fleet sees a stream of {string} fail each 100 ms from {int} to {int} ms', function (this: World, id: string, firstMs: number, lastMs: number) {
  for (let nowMs = firstMs; nowMs <= lastMs; nowMs += 100) this.fleet.recordStream(workerOf(this, id), { failed: true, nowMs })
})

Then('{string} is asked last until {int} ms', function (this: World, id: string, untilMs: number) {
  const worker = workerOf(this, id)
  assert.equal(isFailing(worker, untilMs), false)
  assert.equal(isFailing(worker, untilMs - 1), worker.streamFailures !== undefined)
})

Then('{string} is asked last for at most {int} ms at a time', function (this: World, id: string, mostMs: number) {
  const { untilMs = 0 } = workerOf(this, id).streamFailures ?? {}
  assert.ok(untilMs > 60_000 && untilMs <= 60_000 + mostMs, `${untilMs}`)
})
