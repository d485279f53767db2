/**
 * Steps for the admission queue.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import { AdmissionPolicy } from '../records/mod.ts'
import { RefusalCode, TierClass } from '../types/mod.ts'
import { createAdmission } from './mod.ts'
import { createSimulatedServer } from './_simulated_server_test.ts'
import type { Admission, AdmissionItem, AdmissionOptions } from './mod.ts'
import type { SimulatedServer } from './_simulated_server_test.ts'

interface World {
  options: AdmissionOptions
  admission: Admission
  server: SimulatedServer
}

function item (id: string, fields: Partial<AdmissionItem> = {}): AdmissionItem {
  return {
    ref: { requestId: id, attempt: 1 },
    owner: 'e1',
    pieces: 10,
    tokens: 100,
    tierClass: TierClass.Free,
    caller: id.slice(0, 1),
    deadlineMs: 1e9,
    ...fields
  }
}

const arrivals = fc.array(fc.record({
  gapMs: fc.nat(40),
  paid: fc.boolean(),
  caller: fc.constantFrom('a', 'b', 'c'),
  pieces: fc.integer({ min: 1, max: 30 }),
  tokens: fc.integer({ min: 1, max: 900 }),
  waitMs: fc.integer({ min: 1, max: 600 }),
  runMs: fc.integer({ min: 1, max: 200 })
}), { minLength: 1, maxLength: 60 })

Then('admission with the policy {string} holds its invariants in {int} random runs',
  function (policy: string, numRuns: number) {
    fc.assert(fc.property(arrivals, (list) => {
      const options = {
        policy: policy as AdmissionPolicy, paidHeadroom: 0.25, seats: 4, pieces: 60, maxQueue: 12, quantumTokens: 300, maxPauseMs: 300
      }
      const server = createSimulatedServer(createAdmission(options), options)
      list.forEach((arrival, i) => {
        server.advance(arrival.gapMs)
        const tierClass = arrival.paid ? TierClass.Paid : TierClass.Free
        const deadlineMs = server.nowMs() + arrival.waitMs
        const { pieces, tokens, caller } = arrival
        server.offer(item(`r${i}`, { tierClass, deadlineMs, pieces, tokens, caller }), arrival.runMs)
      })
      server.advance(60000)
      assert.equal(server.unanswered(), 0)
    }), { seed: 17, numRuns })
  })

Given('admission with {int} seats and {int} pieces, headroom {float} and pauses of up to {int} ms',
  function (this: World, seats: number, pieces: number, paidHeadroom: number, maxPauseMs: number) {
    this.options = {
      policy: AdmissionPolicy.Tiered, paidHeadroom, seats, pieces, maxQueue: 3, quantumTokens: 400, maxPauseMs
    }
    if (seats > 1) this.options.maxQueue = 1000
    this.admission = createAdmission(this.options)
    this.server = createSimulatedServer(this.admission, this.options)
  })

When('admission gets {int} free items and then more paid work than the seats can do for {int} ms',
  function (this: World, count: number, ms: number) {
    for (let i = 0; i < count; i++) this.server.offer(item(`f${i}`), 1000)
    for (let at = 0; at < ms; at += 20) {
      const deadlineMs = this.server.nowMs() + 500
      this.server.offer(item(`p${at}`, { tierClass: TierClass.Paid, deadlineMs }), 150)
      this.server.advance(20)
    }
  })

Then('admission let every free item finish within {int} ms', function (this: World, ms: number) {
  const finished = this.server.finished().filter((done) => done.item.tierClass === TierClass.Free)
  assert.equal(finished.length, 3)
  for (const done of finished) assert.ok(done.atMs <= ms, `free item finished at ${done.atMs} ms`)
})

Then('admission paused free work at least once', function (this: World) {
  assert.ok(this.server.pauses() > 0)
})

When('admission gets {int} items of {int} tokens from {string} and {int} of {int} tokens from {string}',
  function (this: World, many: number, small: number, first: string, few: number, large: number, second: string) {
    for (let i = 0; i < many; i++) this.server.offer(item(`x${i}`, { caller: first, tokens: small }), 10)
    for (let i = 0; i < few; i++) this.server.offer(item(`y${i}`, { caller: second, tokens: large }), 10)
    this.server.advance(400)
  })

Then('admission let {string} and {string} send tokens in the ratio {float} within {int} percent',
  function (this: World, first: string, second: string, ratio: number, percent: number) {
    const sent = (caller: string): number => this.server.finished()
      .filter((done) => done.item.caller === caller).reduce((sum, done) => sum + done.item.tokens, 0)
    const seen = sent(first) / sent(second)
    assert.ok(Math.abs(seen - ratio) <= ratio * percent / 100, `ratio is ${seen}`)
  })

When('admission sees {int} items of {int} ms each pass through a queue',
  function (this: World, count: number, runMs: number) {
    this.admission = createAdmission({ ...this.options, maxQueue: 100 })
    this.server = createSimulatedServer(this.admission, this.options)
    for (let i = 0; i < count; i++) this.server.offer(item(`q${i}`), runMs)
    this.server.advance(count * runMs - 1)
    for (let i = 0; i < 5; i++) this.server.offer(item(`w${i}`), runMs)
  })

Then('admission takes an item with 5 waiting before it and {int} ms left, and refuses one with {int} ms left',
  function (this: World, longMs: number, shortMs: number) {
    const nowMs = this.server.nowMs()
    const late = this.admission.offer(item('late', { deadlineMs: nowMs + shortMs }), nowMs)
    assert.ok(late.err)
    assert.equal(late.val.code, RefusalCode.TargetMissed)
    assert.ok(late.val.retryAfterMs >= shortMs)
    assert.ok(this.admission.offer(item('timely', { deadlineMs: nowMs + longMs }), nowMs).ok)
  })

When('admission holds a full queue of free items {string}', function (this: World, ids: string) {
  for (const id of ids.split(' ')) assert.ok(this.admission.offer(item(id), 0).ok)
  assert.ok(this.admission.offer(item('d1'), 0).err)
})

Then('admission takes the paid item {string} and refuses {string}', function (this: World, paid: string, free: string) {
  assert.ok(this.admission.offer(item(paid, { tierClass: TierClass.Paid }), 0).ok)
  const decision = this.admission.decide({ seats: 0, pieces: 0 }, [], 0)
  assert.deepEqual(decision.refuse.map((refused) => refused.item.ref.requestId), [free])
})

Then('admission withdraws {string} once and everything of its owner after that', function (this: World, id: string) {
  assert.ok(this.admission.withdraw({ requestId: id, attempt: 1 }))
  assert.ok(!this.admission.withdraw({ requestId: id, attempt: 1 }))
  assert.equal(this.admission.withdrawOwner('e1').length, 2)
  assert.equal(this.admission.size(), 0)
})
