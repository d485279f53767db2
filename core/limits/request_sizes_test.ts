/**
 * Steps for requests that count nothing, little or more than can be.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import { encodeFrame, MessageKind, validateMessage } from '../../wire/mod.ts'
import { createAllowancePoint, createAllowanceSpender } from './mod.ts'
import type { AllowanceReport } from '../../wire/mod.ts'
import type { AllowanceDenial, AllowanceLimit, AllowanceSpender } from './mod.ts'
import type { Result } from '../results/mod.ts'

interface World {
  sizesLimit: AllowanceLimit
  sizesSpender: AllowanceSpender
  sizesGateways: number
  sizesResult: Result<void, AllowanceDenial>
  /** Sends the reports that are due at a time in milliseconds, has them answered, and returns them. */
  exchangeSizes: (nowMs: number) => AllowanceReport[]
}

const tolerance = { windowMs: 8000, over: 0.25, slack: 0 }
const points = ['p0', 'p1', 'p2']

Given('a gateway of allowances that hears its points, with {float} units per s', function (this: World, perS: number) {
  this.sizesLimit = { perS, burst: perS }
  const spender = createAllowanceSpender({ sender: 'g/1', tolerance, random: () => 0.5, startMs: 0 })
  const sums = new Map(points.map((name) => [name, createAllowancePoint({ tolerance, getLimit: () => this.sizesLimit })]))
  spender.setPoints(points)
  this.sizesSpender = spender
  this.exchangeSizes = (nowMs) => points.flatMap((name) => {
    const report = spender.createReport(name, 1, nowMs)
    if (report === undefined) return []
    encodeFrame(report)
    const levels = sums.get(name)?.onReport(report, nowMs)
    if (levels !== undefined) spender.onLevels(name, levels, nowMs)
    return [report]
  })
  this.exchangeSizes(0)
})

function ask (world: World, cost: number, nowMs: number): Result<void, AllowanceDenial> {
  return world.sizesSpender.spend({ organisation: 'north', limit: world.sizesLimit, cost, maxRetryAfterMs: 400 }, nowMs)
}

Then('{int} requests that count {int} units are admitted, also when all is spent', function (this: World, count: number, cost: number) {
  for (let i = 0; i < count; i++) assert.ok(ask(this, cost, 0).ok, `request ${i}`)
  assert.ok(ask(this, 1000, 0).ok)
  assert.ok(ask(this, 1000, 0).err)
  assert.ok(ask(this, cost, 0).ok)
  this.exchangeSizes(500)
  this.exchangeSizes(1000)
  this.exchangeSizes(2000)
  this.exchangeSizes(3000)
})

When('a request that counts {word} units comes', function (this: World, cost: string) { this.sizesResult = ask(this, Number(cost), 0) })

Then('it is refused as {string} with a delay of {int} to {int} ms', function (this: World, reason: string, low: number, high: number) {
  assert.ok(this.sizesResult.err)
  assert.equal(this.sizesResult.val.reason, reason)
  assert.ok(this.sizesResult.val.retryAfterMs >= low && this.sizesResult.val.retryAfterMs <= high, `${this.sizesResult.val.retryAfterMs} ms`)
})

Then('the next request that counts {int} units is admitted', function (this: World, cost: number) {
  const nowMs = this.exchangeSizes(3400).length > 0 ? 3400 : 0
  const result = ask(this, cost, nowMs)
  assert.ok(result.ok, result.err ? JSON.stringify(result.val) : '')
})

Then('the points learn that {int} units were spent and offered', function (this: World, units: number) {
  const reports = this.exchangeSizes(3600)
  assert.deepEqual(reports.map(({ spending }) => spending), points.map(() => [{ organisation: 'north', spent: units, offered: units }]))
})

When('its points count {int} gateways', function (this: World, gateways: number) { this.sizesGateways = gateways })

Then('the gateway is not isolated for {int} s, with answers {int} ms after each report', function (this: World, seconds: number, delayMs: number) {
  const answers: Array<{ atMs: number, point: string, seq: number }> = []
  for (let nowMs = 0; nowMs < seconds * 1000; nowMs += 10) {
    while ((answers[0]?.atMs ?? Infinity) <= nowMs) {
      const { point, seq } = answers.shift() as typeof answers[number]
      this.sizesSpender.onLevels(point, { kind: MessageKind.AllowanceLevels, seq, wantsFull: false, gateways: this.sizesGateways, levels: [] }, nowMs)
    }
    // The gateway looks for reports that are due every 100 ms.
    for (const point of nowMs % 100 === 0 ? points : []) {
      const report = this.sizesSpender.createReport(point, 1, nowMs)
      if (report !== undefined) answers.push({ atMs: nowMs + delayMs, point, seq: report.seq })
    }
    assert.ok(nowMs < 400 || !this.sizesSpender.isIsolated(nowMs), `isolated after ${nowMs} ms`)
  }
})

Then('in {int} random series of accepted reports each answer of an exchange point of allowances is accepted', function (numRuns: number) {
  const number = fc.oneof(fc.constantFrom(0, 200, 1e100, -1e100, Number.MAX_VALUE, -Number.MAX_VALUE), fc.double())
  const reports = fc.array(fc.record({ sender: fc.constantFrom('a', 'b'), spent: number, offered: number, afterMs: fc.nat(1500) }), { maxLength: 12 })
  fc.assert(fc.property(reports, (series) => {
    const point = createAllowancePoint({ tolerance, getLimit: () => ({ perS: 1000, burst: 1000 }) })
    let nowMs = 0
    for (const [i, { sender, spent, offered, afterMs }] of series.entries()) {
      nowMs += afterMs
      const after = series.slice(0, i).findLastIndex((earlier) => earlier.sender === sender) + 1
      const report = { kind: MessageKind.AllowanceReport, sender, seq: i + 1, after, full: after === 0, spending: [{ organisation: 'north', spent, offered }] }
      const accepted = validateMessage(report)
      const levels = accepted.ok ? point.onReport(accepted.val as AllowanceReport, nowMs) : undefined
      if (levels === undefined) continue
      const answer = validateMessage(levels)
      assert.ok(answer.ok, answer.err ? String(answer.val) : '')
    }
  }), { seed: 42, numRuns })
})

Then('an isolated gateway that gets back all that it spent admits as much again, {int} times, and nothing beyond', function (times: number) {
  const limit = { perS: 1000, burst: 1000 }
  const spender = createAllowanceSpender({ sender: 'g/1', tolerance, random: () => 0.5, startMs: 0 })
  const spendAll = (): number => {
    let spent = 0
    while (spender.spend({ organisation: 'north', limit, cost: 1, maxRetryAfterMs: 400 }, 0).ok) spent++
    return spent
  }
  const first = spendAll()
  assert.ok(first > 0 && first < 100, `${first} units`)
  for (let i = 0; i < times; i++) {
    for (let unit = 0; unit < first; unit++) spender.giveBack('north', 1)
    assert.equal(spendAll(), first)
  }
})
