/**
 * Measures allowances: the bound and the rate served over simulated gateways, the messages for it, and the processor time of each step.
 */
import { createSimulation } from '../../core/limits/_simulated_gateways_test.ts'
import { createAllowancePoint, createAllowanceSpender } from '../../core/limits/mod.ts'
import { encodeFrame } from '../../wire/mod.ts'
import { formatMarkdownTable } from '../_table.ts'
import type { Simulation } from '../../core/limits/_simulated_gateways_test.ts'

const tolerance = { windowMs: 8000, over: 0.25, slack: 120_000 }
const limit = { perS: 100_000, burst: 100_000 }
const tolerated = tolerance.over * (limit.perS * tolerance.windowMs / 1000 + limit.burst) + tolerance.slack
const costs = [5900, 5900, 200, 200, 200, 200]
const gatewayCounts = [22, 78, 430]
const seeds = [5, 6, 7]
const runMs = 30_000
const steadyMs = 20_000
const shapes: { readonly [shape: string]: (i: number) => number } = { even: () => 1, 'one gateway': (i) => i === 0 ? 1 : 0, skewed: (i) => 1 / (i + 1) }

function start (gateways: number, seed: number, weigh: (i: number) => number): Simulation {
  const simulation = createSimulation({ gateways, points: 3, limit, tolerance, delayMs: 20, seed })
  simulation.gateways.forEach((gateway, i) => { gateway.weight = weigh(i) })
  simulation.run(1000, 0, costs)
  return simulation
}

/** Returns the units that ran in a span of time, in percent of a rate. */
function percentOf (simulation: Simulation, perS: number, fromMs: number, toMs: number): number {
  return simulation.sum(fromMs, toMs) / (toMs - fromMs) * 1000 / perS * 100
}

function spanOf (values: number[], digits = 1): string {
  return `${Math.min(...values).toFixed(digits)} to ${Math.max(...values).toFixed(digits)}`
}

function measureSteady (): string[][] {
  return gatewayCounts.flatMap((gateways) => Object.entries(shapes).flatMap(([shape, weigh]) => [0.6, 4, 7].map((times) => {
    const samples = seeds.map((seed) => {
      const simulation = start(gateways, seed, weigh)
      const before = { messages: simulation.messages(), bytes: simulation.bytes() }
      simulation.run(runMs, limit.perS * times, costs)
      const endMs = simulation.nowMs()
      const { refusals } = simulation
      return {
        served: percentOf(simulation, limit.perS, endMs - steadyMs, endMs),
        excess: (simulation.peak(tolerance.windowMs) - limit.perS * tolerance.windowMs / 1000 - limit.burst) / tolerated,
        refused: refusals.cost / (refusals.cost + simulation.sum(0, endMs)) * 100,
        messages: (simulation.messages() - before.messages) / runMs * 1000 / gateways,
        bytes: (simulation.bytes() - before.bytes) / runMs * 1000 / gateways
      }
    })
    const pick = (name: keyof typeof samples[number], digits = 1): string => spanOf(samples.map((sample) => sample[name]), digits)
    return [String(gateways), shape, String(times), pick('served'), pick('refused'), pick('excess', 2), pick('messages'), pick('bytes', 0)]
  })))
}

/** Rates served from the first second to the ninth after the limit has fallen to a tenth, and after it has risen again. */
function measureSteps (): string[][] {
  return gatewayCounts.map((gateways) => {
    const fallen = { perS: limit.perS / 10, burst: limit.burst / 10 }
    const samples = seeds.map((seed) => {
      const simulation = start(gateways, seed, () => 1)
      simulation.run(10_000, limit.perS * 4, costs)
      simulation.setLimit(fallen)
      const fallMs = simulation.nowMs()
      simulation.run(10_000, limit.perS * 4, costs)
      simulation.setLimit(limit)
      const riseMs = simulation.nowMs()
      simulation.run(10_000, limit.perS * 4, costs)
      return {
        afterFall: percentOf(simulation, fallen.perS, fallMs + 1000, fallMs + 9000), afterRise: percentOf(simulation, limit.perS, riseMs + 1000, riseMs + 9000)
      }
    })
    return [String(gateways), spanOf(samples.map((one) => one.afterFall)), spanOf(samples.map((one) => one.afterRise))]
  })
}

function measureUs (count: number, fn: (i: number) => void): number {
  for (let i = 0; i < count / 10; i++) fn(i)
  const startMs = performance.now()
  for (let i = 0; i < count; i++) fn(i)
  return (performance.now() - startMs) * 1000 / count
}

/** Processor time of an admission and of a report at a point, with many organisations. */
function measureCosts (organisations: number, gateways: number): string[] {
  const names = Array.from({ length: organisations }, (_, i) => `organisation-${i}`)
  const points = ['p0', 'p1', 'p2'].map((name) => ({ name, point: createAllowancePoint({ tolerance, getLimit: () => limit }) }))
  const spenders = Array.from({ length: gateways }, (_, i) => {
    const spender = createAllowanceSpender({ sender: `gateway-${i}/1`, tolerance, random: Math.random, startMs: 0 })
    spender.setPoints(points.map(({ name }) => name))
    return spender
  })
  let nowMs = 0
  let bytes = 0
  let messages = 0
  let reportMs = 0
  function exchange (): void {
    nowMs += 500
    for (const spender of spenders) {
      for (const { name, point } of points) {
        const report = spender.createReport(name, 1, nowMs)
        if (report === undefined) continue
        const startMs = performance.now()
        const levels = point.onReport(report, nowMs)
        reportMs += performance.now() - startMs
        messages++
        bytes += encodeFrame(report).length
        if (levels !== undefined) {
          bytes += encodeFrame(levels).length
          spender.onLevels(name, levels, nowMs)
        }
      }
    }
  }
  for (let round = 0; round < 5; round++) exchange()
  const [spender] = spenders
  const spendUs = measureUs(200_000, (i) => {
    spender?.spend({ organisation: names[i % organisations] as string, limit, cost: 1, maxRetryAfterMs: 500 }, nowMs)
  })
  bytes = 0
  messages = 0
  reportMs = 0
  // Each gateway has had a request of a tenth of the organisations between two reports.
  for (let round = 0; round < 5; round++) {
    for (const [i, one] of spenders.entries()) {
      for (let n = 0; n < organisations / 10; n++) {
        one.spend({ organisation: names[(i + n * 7 + round) % organisations] as string, limit, cost: 5900, maxRetryAfterMs: 500 }, nowMs)
      }
    }
    exchange()
  }
  return [String(gateways), String(organisations), spendUs.toFixed(2), (reportMs * 1000 / messages).toFixed(1), (bytes / messages).toFixed(0)]
}

console.log(`One allowance of ${limit.perS} units a second and as much burst, requests of ${costs.join(', ')} units; served in the last ${steadyMs / 1000} s of ${runMs / 1000} s, smallest to largest of seeds ${seeds.join(', ')}\n`)
console.log(formatMarkdownTable(['gateways', 'demand at', 'times the limit', 'served, % of the limit', 'refused, % of units', 'beyond the limit in any 8 s, of the tolerance', 'messages/s of a gateway', 'bytes/s of a gateway'], measureSteady()))
console.log('\nServed from 1 s to 9 s after the limit fell to a tenth, and after it rose again, at 4 times the higher limit\n')
console.log(formatMarkdownTable(['gateways', 'after the fall, %', 'after the rise, %'], measureSteps()))
console.log('\nProcessor time of an admission, and of a report at a point without coding; bytes of a report and its answer\n')
console.log(formatMarkdownTable(['gateways', 'organisations', 'admission, us', 'report, us', 'bytes'], [measureCosts(16, 22), measureCosts(16, 78), measureCosts(260, 430)]))
