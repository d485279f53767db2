/**
 * Steps for allowances that gateways spend by what exchange points know.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import { MessageKind } from '../../wire/mod.ts'
import { createAllowancePoint, createAllowanceSpender } from './mod.ts'
import { createSimulation } from './_simulated_gateways_test.ts'
import type { AllowanceReport } from '../../wire/mod.ts'
import type { AllowanceLimit } from './mod.ts'
import type { Simulation } from './_simulated_gateways_test.ts'

interface World {
  simulation: Simulation
  allowance: AllowanceLimit
  /** Limits, with the times in milliseconds from which they held. */
  allowanceLimits: Array<{ limit: AllowanceLimit, fromMs: number }>
}

const tolerance = { windowMs: 8000, over: 0.25, slack: 120_000 }
/** Costs of streams and plain requests, as they come. */
const costs = [5900, 5900, 200, 200, 200, 200]
const shapes: { readonly [shape: string]: (i: number, count: number) => number } = {
  even: () => 1,
  one: (i) => i === 0 ? 1 : 0,
  last: (i, count) => i === count - 1 ? 1 : 0,
  skew: (i) => 1 / (i + 1)
}

function getToleratedUnits ({ perS, burst }: AllowanceLimit): number {
  return tolerance.over * (perS * tolerance.windowMs / 1000 + burst) + tolerance.slack
}

/** Asserts that no window has more than the limits in force in it allow. */
function assertWithinTolerance (simulation: Simulation, limits: Array<{ limit: AllowanceLimit, fromMs: number }>, what: string): void {
  let first = 0
  let sum = 0
  for (const run of simulation.runs) {
    sum += run.cost
    const startMs = run.atMs - tolerance.windowMs
    while ((simulation.runs[first]?.atMs ?? Infinity) <= startMs) sum -= simulation.runs[first++]?.cost ?? 0
    const inForce = limits.filter(({ fromMs }, i) => fromMs < run.atMs && (limits[i + 1]?.fromMs ?? Infinity) > startMs)
    const allowed = Math.max(...inForce.map(({ limit }) => limit.perS * tolerance.windowMs / 1000 + limit.burst + getToleratedUnits(limit)))
    assert.ok(sum <= allowed, `${sum} units ran within ${tolerance.windowMs} ms before ${run.atMs} ms, ${allowed} are tolerated; ${what}`)
  }
}

Given('allowances of {int} units per s at {int} gateways', function (this: World, perS: number, gateways: number) {
  this.allowance = { perS, burst: perS }
  this.allowanceLimits = [{ limit: this.allowance, fromMs: 0 }]
  this.simulation = createSimulation({ gateways, points: 3, limit: this.allowance, tolerance, delayMs: 20, seed: 41 })
  this.simulation.run(1000, 0, costs)
})

When('a caller asks for {float} times its allowance for {int} s, spread over the gateways {string}',
  function (this: World, times: number, seconds: number, shape: string) {
    this.simulation.gateways.forEach((gateway, i, all) => { gateway.weight = shapes[shape]?.(i, all.length) ?? 1 })
    this.simulation.run(seconds * 1000, this.allowance.perS * times, costs)
  })

When('half of the gateways and one point of the allowances are cut off from the others', function (this: World) {
  const { gateways, points } = this.simulation
  for (const host of [...gateways.filter((_, i) => i % 2 === 0), ...points.slice(0, 1)]) host.side = 1
})

When('a caller asks for {int} times its allowance for {int} s, half of it given back', function (this: World, times: number, seconds: number) {
  this.simulation.run(seconds * 1000, this.allowance.perS * times, costs, 0.5)
})

When('the allowances fall to {int} units per s', function (this: World, perS: number) {
  this.allowance = { perS, burst: perS }
  this.simulation.setLimit(this.allowance)
  this.allowanceLimits.push({ limit: this.allowance, fromMs: this.simulation.nowMs() })
})

When('the exchange points of the allowances are lost after {int} s', function (this: World, seconds: number) {
  this.simulation.run(seconds * 1000, 0, costs)
  for (const point of this.simulation.points) this.simulation.killPoint(point)
  this.simulation.run(1100, 0, costs)
})

When('a point of the allowances is frozen for {int} s under {int} times the demand', function (this: World, seconds: number, times: number) {
  const [point] = this.simulation.points
  assert.ok(point)
  this.simulation.run(10_000, this.allowance.perS * times, costs)
  this.simulation.freeze(point)
  this.simulation.run(seconds * 1000, this.allowance.perS * times, costs)
  this.simulation.thaw(point)
})

Then('the allowances admit between {int} and {int} percent over the last {int} s',
  function (this: World, low: number, high: number, seconds: number) {
    const endMs = this.simulation.nowMs()
    const percent = this.simulation.sum(endMs - seconds * 1000, endMs) / seconds / this.allowance.perS * 100
    assert.ok(percent >= low && percent <= high, `admitted ${percent} percent`)
  })

Then('the allowances refuse at most {int} percent', function (this: World, most: number) {
  const { refusals, runs } = this.simulation
  const ran = runs.reduce((sum, run) => sum + run.cost, 0)
  const percent = refusals.cost / (refusals.cost + ran) * 100
  assert.ok(percent <= most, `refused ${percent} percent: ${JSON.stringify([...refusals.byReason])}`)
})

Then('no window of the allowances is beyond their tolerance', function (this: World) {
  assertWithinTolerance(this.simulation, this.allowanceLimits, 'limit fell')
})

Then('the allowances of isolated gateways admit less than {float} of the tolerance in any {int} s',
  function (this: World, share: number, seconds: number) {
    const peak = this.simulation.peak(seconds * 1000)
    assert.ok(peak > 0 && peak <= share * getToleratedUnits(this.allowance), `${peak} units`)
  })

Then('the gateways know that they are isolated from the exchange points', function (this: World) {
  for (const { spender } of this.simulation.gateways) assert.ok(spender.isIsolated(this.simulation.nowMs()))
})

type Act = (simulation: Simulation, pick: number) => void

function pickOne<T> (list: readonly T[], pick: number): T {
  const item = list[pick % list.length]
  assert.ok(item !== undefined)
  return item
}

/** What may happen to gateways, points and links. */
const acts: { readonly [name: string]: Act } = {
  restart: ({ gateways, restart }, pick) => restart(pickOne(gateways, pick)),
  restartHalf: ({ gateways, restart }, pick) => gateways.forEach((gateway, i) => { if ((i + pick) % 2 === 0) restart(gateway) }),
  overlap: ({ gateways, restart }, pick) => restart(pickOne(gateways, pick), true),
  end: ({ gateways }, pick) => { pickOne(gateways, pick).isGone = true },
  add: ({ addGateway }) => { for (let i = 0; i < 4; i++) addGateway() },
  move: ({ gateways }, pick) => gateways.forEach((gateway, i) => { gateway.weight = i === pick % gateways.length ? 20 : 0.2 }),
  spread: ({ gateways }) => gateways.forEach((gateway) => { gateway.weight = 1 }),
  freeze: ({ gateways, freeze }, pick) => freeze(pickOne(gateways, pick)),
  cut: ({ gateways }, pick) => { pickOne(gateways, pick).isCut = true },
  cutThird: ({ gateways }, pick) => gateways.forEach((gateway, i) => { if ((i + pick) % 3 === 0) gateway.isCut = true }),
  mute: ({ gateways }, pick) => { pickOne(gateways, pick).isMute = true },
  slow: ({ gateways }, pick) => { pickOne(gateways, pick).delayMs = 900 },
  slowPoint: ({ points }, pick) => { pickOne(points, pick).delayMs = 900 },
  freezePoint: ({ points, freeze }, pick) => freeze(pickOne(points, pick)),
  killPoint: ({ points, killPoint }, pick) => killPoint(pickOne(points, pick)),
  killPoints: ({ points, killPoint }) => points.forEach(killPoint),
  mutePoint: ({ points }, pick) => { pickOne(points, pick).isMute = true },
  split: ({ gateways, points }, pick) => {
    for (const [i, host] of [...gateways, ...points].entries()) host.side = (i + pick) % 2
  },
  mend: ({ gateways, points, thaw, startPoint }) => {
    for (const host of [...gateways, ...points]) {
      thaw(host)
      Object.assign(host, { isCut: false, isMute: false, side: 0, delayMs: 20 })
    }
    for (const point of points) if (point.isDead) startPoint(point)
  }
}

const histories = fc.record({
  gateways: fc.integer({ min: 2, max: 40 }),
  perS: fc.constantFrom(2000, 20_000, 60_000),
  times: fc.constantFrom(0.6, 2, 4.2),
  givenBackShare: fc.constantFrom(0, 0.2),
  seed: fc.nat(10_000),
  events: fc.array(fc.record({
    act: fc.constantFrom(...Object.keys(acts), 'mend', 'mend', 'mend', 'lower', 'raise'), pick: fc.nat(100), afterMs: fc.integer({ min: 50, max: 4000 })
  }), { minLength: 2, maxLength: 14 })
})

Then('allowances stay within their tolerance in {int} random histories', function (numRuns: number) {
  fc.assert(fc.property(histories, ({ gateways, perS, times, givenBackShare, seed, events }) => {
    let limit: AllowanceLimit = { perS, burst: perS }
    const demand = perS * times
    const limits = [{ limit, fromMs: 0 }]
    const simulation = createSimulation({ gateways, points: 3, limit, tolerance, delayMs: 20, seed })
    simulation.run(2000, demand, costs, givenBackShare)
    for (const { act, pick, afterMs } of events) {
      if (act === 'lower' || act === 'raise') {
        const next = act === 'lower' ? perS / 10 : perS
        limit = { perS: next, burst: next }
        limits.push({ limit, fromMs: simulation.nowMs() })
        simulation.setLimit(limit)
      } else acts[act]?.(simulation, pick)
      simulation.run(afterMs, demand, costs, givenBackShare)
    }
    simulation.run(4000, demand, costs, givenBackShare)
    assertWithinTolerance(simulation, limits, events.map(({ act }) => act).join(', '))
  }), { seed: 37, numRuns })
})

Then('the delays of refused requests grow with what is spent, differ, and stay below what the caller honours', function () {
  const limit = { perS: 1000, burst: 1000 }
  const strict = { windowMs: 8000, over: 0, slack: 0 }
  const simulation = createSimulation({ gateways: 1, points: 3, limit, tolerance: strict, delayMs: 1, seed: 3 })
  const [gateway] = simulation.gateways
  assert.ok(gateway)
  const ask = (cost: number, maxRetryAfterMs: number): number => {
    const result = gateway.spender.spend({ organisation: 'notaires', limit, cost, maxRetryAfterMs }, simulation.nowMs())
    return result.err ? result.val.retryAfterMs : 0
  }
  simulation.run(1000, 0, costs)
  assert.equal(ask(3000, 10_000), 0)
  simulation.run(500, 0, costs)
  const first = ask(100, 60_000)
  assert.ok(first >= 1400 && first <= 3200, `${first} ms after 2000 units beyond the burst`)
  const delays = Array.from({ length: 20 }, () => ask(100, 60_000))
  assert.ok(new Set(delays).size > 15, `delays ${delays.join(' ')}`)
  const honoured = Array.from({ length: 20 }, () => ask(100, 400))
  assert.ok(honoured.every((ms) => ms > 0 && ms <= 400) && new Set(honoured).size > 10, `delays ${honoured.join(' ')}`)
})

Then('an exchange point of allowances ignores old reports and asks an unknown gateway for a full one', function () {
  const limit = { perS: 1000, burst: 1000 }
  const point = createAllowancePoint({ tolerance: { windowMs: 8000, over: 0, slack: 0 }, getLimit: () => limit })
  const report = (sender: string, seq: number, full: boolean, spent: number, after = seq - 1): AllowanceReport => {
    return { kind: MessageKind.AllowanceReport, sender, seq, after, full, spending: [{ organisation: 'notaires', spent, offered: spent }] }
  }
  assert.equal(point.onReport(report('a/1', 4, false, 500), 0)?.wantsFull, true)
  assert.equal(point.onReport(report('a/1', 5, true, 500), 0)?.levels[0]?.level, 1000)
  assert.equal(point.onReport(report('a/1', 6, false, 900), 0)?.levels[0]?.level, 600)
  for (const seq of [6, 5]) assert.equal(point.onReport(report('a/1', seq, false, 5000), 0), undefined)
  // The next life of the gateway begins at 0, and its predecessor may go on beside it.
  assert.equal(point.onReport(report('a/2', 1, true, 0), 0)?.levels[0]?.level, 600)
  assert.equal(point.onReport(report('a/1', 7, false, 1000), 0)?.levels[0]?.level, 500)
  assert.equal(point.onReport(report('a/2', 2, false, 100), 0)?.levels[0]?.level, 400)
  assert.equal(point.onReport(report('a/2', 3, false, 0), 0)?.levels[0]?.level, 500)
  // What was spent while the gateway heard no answer is not taken.
  assert.equal(point.onReport(report('a/1', 8, false, 1000), 3000)?.levels[0]?.level, 1000)
  assert.equal(point.onReport(report('a/1', 9, false, 9000, 7), 3000)?.levels[0]?.level, 1000)
  assert.equal(point.onReport(report('a/1', 10, false, 9000, 7), 3000)?.levels[0]?.level, 1000)
  assert.equal(point.onReport(report('a/1', 11, false, 9300, 10), 3000)?.levels[0]?.level, 700)
  assert.equal(point.countGateways(3000), 1)
  const spender = createAllowanceSpender({ sender: 'a/3', tolerance, random: () => 0.5, startMs: 0 })
  assert.equal(spender.createReport('unknown', 1, 0), undefined)
})
