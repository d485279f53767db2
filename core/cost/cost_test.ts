/**
 * Steps for costs.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { chooseByCompletion, createCostEstimates, createLoadSums, createLoadView, createSpeedEstimates, createUsualDeadline, decideSend, getReturnDelayMs } from './mod.ts'
import { decideByCompletion, decideByLatency, simulatedLoads } from './_deciders_test.ts'
import { createRandom, simulateService } from './_simulated_service_test.ts'
import type { CreateDecider } from './_deciders_test.ts'
import type { Candidate, CostEstimates, LoadSums, SendSituation } from './mod.ts'
import type { SimulatedLoad, SimulatedResult } from './_simulated_service_test.ts'

interface World { before: SimulatedResult, after: SimulatedResult, costs: CostEstimates, sums: LoadSums }

const seeds = [3, 4, 5]

/** Plays a load with three seeds, and sums up what callers got. */
function simulate (name: string, create: (load: SimulatedLoad) => CreateDecider): SimulatedResult {
  const results = seeds.map((seed) => {
    const load = { ...simulatedLoads[name] as SimulatedLoad, seed }
    return simulateService(load, create(load))
  })
  return results.reduce((sum, result) => {
    const fields = Object.keys(result) as Array<keyof SimulatedResult>
    return Object.fromEntries(fields.map((field) => [field, sum[field] + result[field]])) as unknown as SimulatedResult
  })
}

function play (world: World, name: string): void {
  world.before = simulate(name, decideByLatency)
  world.after = simulate(name, decideByCompletion)
}

Then('in the cost simulation {string}, 30 gateways that place by completion lose at most a third of the callers that are lost by latency',
  { timeout: 30_000 }, function (this: World, name: string) {
    play(this, name)
    const { before, after } = this
    assert.ok(before.lost > before.callers / 50, `only ${before.lost} of ${before.callers} lost before`)
    assert.ok(after.lost * 3 <= before.lost, `${after.lost} lost, ${before.lost} before`)
  })

Then('in the cost simulation {string} with reports delayed by {int} ms each way, at least {int} of 100 callers served in time by latency are still served in time',
  { timeout: 30_000 }, function (name: string, delayMs: number, percent: number) {
    const before = simulate(name, decideByLatency)
    const after = simulate(name, (load) => decideByCompletion(load, { delayMs }))
    const share = (after.inTime / after.callers) / (before.inTime / before.callers)
    assert.ok(share * 100 >= percent, `${after.inTime} of ${after.callers} in time, ${before.inTime} of ${before.callers} before`)
  })

Then('workers of the cost simulation refuse at most a third of the arrivals, and more callers are served in time', function (this: World) {
  const { before, after } = this
  assert.ok(after.rejected * 3 <= before.rejected, `${after.rejected} rejected, ${before.rejected} before`)
  assert.ok(after.inTime / after.callers >= before.inTime / before.callers + 0.03, `${after.inTime} in time, ${before.inTime} before`)
})

Then('in the cost simulation {string}, 30 gateways that place by completion serve at least as many in time as by latency, and refuse none',
  { timeout: 30_000 }, function (this: World, name: string) {
    play(this, name)
    const { before, after } = this
    assert.ok(after.inTime / after.callers >= before.inTime / before.callers, `${after.inTime} in time, ${before.inTime} before`)
    assert.equal(after.refusals, 0)
  })

const evenWorkers: Candidate[] = [3, 7, 8, 8, 9, 10].map((requests) => ({ fixedMs: 4, slots: 6, slowness: 1, requests, workMs: 86 * requests }))

Then('of 30 cost choices from one report behind which 30 requests have been sent, no worker of 6 gets more than {int}', function (most: number) {
  const choose = (unseenRequests: number): number => {
    const random = createRandom(5)
    const counts = new Array<number>(evenWorkers.length).fill(0)
    for (let i = 0; i < 30; i++) {
      const choice = chooseByCompletion(evenWorkers, { workMs: 86, unseenRequests, random })
      counts[choice?.index ?? 0] = (counts[choice?.index ?? 0] ?? 0) + 1
    }
    return Math.max(...counts)
  }
  assert.equal(choose(0), 30, 'without the unseen requests all go to one')
  assert.ok(choose(30) <= most, `${choose(30)} go to one`)
})

Then('with a fresh report the cost choice is the worker that answers first, however far it is', function () {
  const near = { ...evenWorkers[5] as Candidate, fixedMs: 1, requests: 24, workMs: 24 * 86 }
  const far = { ...evenWorkers[0] as Candidate, fixedMs: 42 }
  assert.equal(chooseByCompletion([near, far], { workMs: 86, unseenRequests: 0, random: () => 0 })?.index, 1)
  assert.equal(chooseByCompletion([{ ...near, requests: 2, workMs: 172 }, far], { workMs: 86, unseenRequests: 0, random: () => 0 })?.index, 0)
  assert.equal(chooseByCompletion([], { workMs: 86, unseenRequests: 0, random: () => 0 }), undefined)
})

const quick = ['read GET']
const long = ['stamp POST']

Given('cost estimates of two kinds of requests of {int} and {int} ms at workers that take {float} and {float} times as long',
  function (this: World, quickMs: number, longMs: number, fast: number, slow: number) {
    this.costs = createCostEstimates()
    const random = createRandom(11)
    for (let i = 0; i < 400; i++) {
      const [keys, workMs] = random() < 0.5 ? [quick, quickMs] : [long, longMs]
      const [worker, factor] = random() < 0.5 ? ['fast', fast] : ['slow', slow]
      this.costs.record({ keys, worker, tookMs: workMs * factor, queueMs: 0 }, i * 10)
    }
  })

const learnedAtMs = 4_000

Then('the cost estimates tell the kinds apart by {int} to {int} times, and the workers by {float} to {float} times',
  function (this: World, least: number, most: number, leastSpeed: number, mostSpeed: number) {
    const kinds = this.costs.workMs(long) / this.costs.workMs(quick)
    assert.ok(kinds >= least && kinds <= most, `kinds differ by ${kinds}`)
    const speeds = this.costs.slowness('slow', learnedAtMs).slowness / this.costs.slowness('fast', learnedAtMs).slowness
    assert.ok(speeds >= leastSpeed && speeds <= mostSpeed, `workers differ by ${speeds}`)
  })

When('one cost sample is {int} times as long', function (this: World, factor: number) {
  this.costs.record({ keys: quick, worker: 'slow', tookMs: 20 * factor, queueMs: 0 }, learnedAtMs)
})

When('the slow worker answers nothing for {int} s', function (_seconds: number) {})

Then('the cost estimate of its speed is within {int} percent of the mean', function (this: World, percent: number) {
  const { slowness } = this.costs.slowness('slow', learnedAtMs + 12_000)
  assert.ok(Math.abs(slowness - 1) <= percent / 100, `${slowness}`)
})

Then('after {int} kinds of requests at {int} workers the cost estimates keep at most {int} values', function (kinds: number, _workers: number, most: number) {
  const costs = createCostEstimates()
  for (let i = 0; i < kinds; i++) costs.record({ keys: [`kind ${i}`], worker: `w${i}`, tookMs: 20, queueMs: 0 }, i)
  assert.ok(costs.size() <= most, `${costs.size()}`)
})

function report (name: string, incarnation: number, seq: number, requests: number): Parameters<LoadSums['add']>[0] {
  return { name, incarnation, seq, loads: [{ worker: 'w', requests, workMs: 80 * requests, slowness: 1, samples: 1 }] }
}

function sumOf (sums: LoadSums, name: string, nowMs: number): number {
  return sums.sumOthers(name, nowMs).reduce((sum, { requests }) => sum + requests, 0)
}

Given('a load sum with the report {int} of the life {int} of {string} with {int} requests',
  function (this: World, seq: number, life: number, name: string, requests: number) {
    this.sums = createLoadSums()
    assert.ok(this.sums.add(report(name, life, seq, requests), 0))
  })

Then('the load sum for {string} is {int} requests, and for {string} {int}', function (this: World, one: string, sum: number, other: string, otherSum: number) {
  assert.equal(sumOf(this.sums, one, 10), sum)
  assert.equal(sumOf(this.sums, other, 10), otherSum)
})

Then('the load sum takes no report 2 of the life 7, 1 of the life 7 or 9 of the life 6 of {string} with {int} requests',
  function (this: World, name: string, requests: number) {
    for (const [seq, life] of [[2, 7], [1, 7], [9, 6]] as const) assert.equal(this.sums.add(report(name, life, seq, requests), 10), false)
    assert.equal(sumOf(this.sums, 'other', 10), 5)
  })

When('the load sum gets the report {int} of the life {int} of {string} with {int} requests',
  function (this: World, seq: number, life: number, name: string, requests: number) {
    assert.ok(this.sums.add(report(name, life, seq, requests), 10))
  })

Then('{int} ms later the load sum for {string} is {int} requests', function (this: World, ms: number, name: string, sum: number) {
  assert.equal(sumOf(this.sums, name, 10 + ms), sum)
})

Then('a load view is known for {int} ms after it was told, and an older word does not replace it', function (ms: number) {
  const view = createLoadView()
  assert.equal(view.isKnown(0), false)
  assert.deepEqual(view.find('w', 0, 0), { requests: 0, workMs: 0, unseenRequests: 0, others: { slowness: 1, samples: 0 } })
  view.merge([{ worker: 'w', requests: 4, workMs: 320, slowness: 1, samples: 0 }], 100)
  view.merge([{ worker: 'w', requests: 40, workMs: 3200, slowness: 1, samples: 0 }], 50)
  assert.equal(view.find('w', 0, 100).requests, 4)
  assert.ok(view.isKnown(100 + ms) && !view.isKnown(101 + ms))
  assert.equal(view.find('w', 0, 101 + ms).requests, 0)
  // What others had is worked off meanwhile, and the requests of this process count at once and until their end.
  assert.deepEqual([view.find('w', 0.01, 300).requests, view.find('w', 0.01, 300).unseenRequests], [2, 2])
  view.add('w', 80)
  assert.equal(view.find('w', 0.01, 300).requests, 3)
  view.remove('w', 80)
  assert.equal(view.own().length, 0)
})

Then('a request with {int} ms to the answer, {int} ms waited, {int} ms used before and rank {int} leads to {word}',
  function (levelMs: number, waitedMs: number, usedMs: number, rank: number, decision: string) {
    const situation: SendSituation = { levelMs, idleMs: 90, waitedMs, targetMs: 400, leftMs: 2_000, usedMs, rank, ageMs: 100, isIdle: false }
    assert.equal(decideSend(situation), decision)
    assert.equal(decideSend({ ...situation, isIdle: true }), 'send')
    // What is old says nothing about whether there is room.
    assert.equal(decideSend({ ...situation, ageMs: 400 }), 'send')
  })

Then('{int} cost return delays with {int} ms to the answer and {int} ms left lie between {int} and {int} ms, and spread over all tenths of that',
  function (count: number, levelMs: number, leftMs: number, least: number, most: number) {
    const random = createRandom(7)
    const delays = Array.from({ length: count }, () => getReturnDelayMs({ levelMs, leftMs }, random()))
    assert.ok(Math.min(...delays) >= least && Math.max(...delays) <= most, `${Math.min(...delays)} to ${Math.max(...delays)} ms`)
    assert.equal(new Set(delays.map((ms) => Math.floor((ms - least) / (most - least + 1) * 10))).size, 10)
  })

Then('with usual deadlines of {int} ms, one of {int} ms is that of a client that has used up the rest, though one in five states {int} ms',
  function (usualMs: number, backMs: number, longMs: number) {
    const deadlines = createUsualDeadline()
    for (let i = 0; i < 40; i++) deadlines.record('stamp', i % 5 === 0 ? longMs : usualMs)
    assert.ok(deadlines.usedMs('stamp', backMs) === usualMs - backMs && deadlines.usedMs('stamp', usualMs - 10) === 0)
  })

Then('speed samples of {int}, {int}, {int}, {int}, {int} and {int} ms for a unit tell a speed of {int} to {int} ms, of which nothing is known {int} s later',
  function (a: number, b: number, c: number, d: number, e: number, f: number, least: number, most: number, laterS: number) {
    const speeds = createSpeedEstimates()
    for (const [i, ms] of [a, b, c, d, e, f].entries()) speeds.record('w', ms, i)
    const { msPerUnit } = speeds.get('w', 5) ?? { msPerUnit: NaN }
    assert.ok(msPerUnit >= least && msPerUnit <= most, `${msPerUnit} ms`)
    assert.equal(speeds.get('w', 5 + laterS * 1_000), undefined)
  })

Then('with usual deadlines between {int} and {int} ms, none of them is that of a client that has used up time', function (least: number, most: number) {
  const deadlines = createUsualDeadline()
  const random = createRandom(9)
  const stated = Array.from({ length: 300 }, () => least + (most - least) * random())
  for (const ms of stated) deadlines.record('stamp', ms)
  assert.deepEqual(stated.filter((ms) => deadlines.usedMs('stamp', ms) > 0), [])
})
