/**
 * Steps for limits that several entries enforce together.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { createLimiter } from './mod.ts'
import { createSimulatedEntries } from './_simulated_entries_test.ts'
import type { Limiter } from './mod.ts'
import type { SimulatedEntries } from './_simulated_entries_test.ts'

interface World {
  entries: SimulatedEntries
  limiter: Limiter
}

const rates = { requestsPerS: 100, tokensPerS: 20000, concurrency: 1000 }
const tokensPerRequest = 200
const runMs = 50
const periodMs = 200
const staleMs = 1000
const burstMs = 500

Given('limits of 100 requests and 20000 tokens per s at {int} entries', function (this: World, count: number) {
  this.entries = createSimulatedEntries(count, rates)
  this.limiter = createLimiter({ entry: 'e1', incarnation: 1, getLimits: () => rates, burstMs: 200 })
})

Given('limits of {int} requests at a time at {int} entries', function (this: World, concurrency: number, count: number) {
  this.entries = createSimulatedEntries(count, { requestsPerS: 1e6, tokensPerS: 1e6, concurrency })
})

When('a caller offers {float} times the limits for {int} s, split between the entries as {string}',
  function (this: World, times: number, seconds: number, split: string) {
    const generator = xoroshiro128plus(19)
    const weights = split.split(' ').map(Number)
    const total = weights.reduce((sum, weight) => sum + weight, 0)
    for (let ms = 0; ms < seconds * 1000; ms++) {
      weights.forEach((weight, i) => {
        const perMs = rates.requestsPerS * times * weight / total / 1000
        if (uniformFloat64(generator) < perMs) this.entries.offer(i, tokensPerRequest, runMs)
      })
      this.entries.advance(1)
    }
  })

When('the entries of the limits lose their connections to each other', function (this: World) {
  this.entries.splitNetwork(2)
})

Then('the limits admit between {int} and {int} percent over the last {int} s',
  function (this: World, low: number, high: number, seconds: number) {
    const sinceMs = this.entries.nowMs() - seconds * 1000
    const admitted = this.entries.admitted.filter((one) => one.atMs > sinceMs)
    const percent = admitted.length / seconds / rates.requestsPerS * 100
    assert.ok(percent >= low && percent <= high, `admitted ${percent} percent`)
  })

const histories = fc.record({
  count: fc.integer({ min: 1, max: 5 }),
  events: fc.array(fc.constantFrom('join', 'leave', 'split', 'heal'), { minLength: 1, maxLength: 4 }),
  skew: fc.nat(4)
})

// The bound that the doc comment of createLimiter states, for a history with these events.
function computeBound (seconds: number, events: string[], peak: number, listDelayMs: number): number {
  const joins = events.filter((event) => event === 'join').length
  const cuts = events.filter((event) => event === 'split').length
  const perS = rates.requestsPerS
  return perS * (seconds + burstMs / 1000 + cuts * staleMs / 1000 + joins * listDelayMs / 1000) + peak + joins
}

Then('limits stay within their stated bound in {int} random histories', function (numRuns: number) {
  const listDelayMs = 2000
  const eventMs = 5000
  fc.assert(fc.property(histories, ({ count, events, skew }) => {
    const entries = createSimulatedEntries(count, rates)
    const acts: Record<string, () => void> = {
      join: entries.join, leave: entries.leave, split: () => { entries.splitNetwork(2) }, heal: () => { entries.splitNetwork(1) }
    }
    let peak = count
    const run = (ms: number): void => {
      for (let i = 0; i < ms; i += 2) {
        entries.offer(i % 3 === 0 ? i : skew, tokensPerRequest, runMs)
        entries.advance(2)
      }
    }
    for (const event of events) {
      acts[event]?.()
      peak = Math.max(peak, entries.members.length)
      run(listDelayMs)
      entries.updateEntryCounts()
      run(eventMs - listDelayMs)
    }
    const bound = computeBound(events.length * eventMs / 1000, events, peak, listDelayMs)
    assert.ok(entries.admitted.length <= bound, `${entries.admitted.length} requests admitted, bound ${bound}`)
  }), { seed: 23, numRuns })
})

Then('limits of {int} requests at a time hold at {int} entries in {int} random histories',
  function (concurrency: number, count: number, numRuns: number) {
    const offers = fc.array(fc.record({ gapMs: fc.nat(120), entry: fc.nat(count - 1), runMs: fc.nat(900) }), { maxLength: 80 })
    fc.assert(fc.property(offers, (list) => {
      const entries = createSimulatedEntries(count, { requestsPerS: 1e6, tokensPerS: 1e6, concurrency })
      entries.advance(2 * periodMs)
      for (const { gapMs, entry, runMs: ms } of list) {
        entries.offer(entry, 1, ms)
        assert.ok(entries.countRunning() <= concurrency, `${entries.countRunning()} requests run at ${entries.nowMs()} ms`)
        entries.advance(gapMs)
      }
    }), { seed: 29, numRuns })
  })

When('a caller sends everything to one entry for {int} ms', function (this: World, ms: number) {
  for (let i = 0; i < ms; i += 20) {
    this.entries.offer(2, 1, 10000)
    this.entries.advance(20)
  }
})

Then('the limits let {int} requests run at that entry', function (this: World, count: number) {
  assert.equal(this.entries.members[2]?.running.length, count)
})

When('a caller is admitted with {int} tokens and used {int}', function (this: World, admitted: number, used: number) {
  assert.ok(this.limiter.admit('notaires', admitted, 0).ok)
  this.limiter.settleTokens('notaires', admitted, used)
})

Then('the limits refuse the caller for {int} to {int} ms', function (this: World, low: number, high: number) {
  const refused = this.limiter.admit('notaires', 1, 0)
  assert.ok(refused.err)
  assert.ok(refused.val.retryAfterMs >= low && refused.val.retryAfterMs <= high, `retry after ${refused.val.retryAfterMs} ms`)
})
