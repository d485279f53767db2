/**
 * Compares placements of requests of plain services in the simulation of many gateways, and measures the processor time of a decision.
 */
import { chooseByCompletion, createCostEstimates, createLoadSums, createLoadView } from '../core/cost/mod.ts'
import { decideByCompletion, decideByLatency, simulatedLoads } from '../core/cost/_deciders_test.ts'
import { simulateService } from '../core/cost/_simulated_service_test.ts'
import type { SimulatedResult } from '../core/cost/_simulated_service_test.ts'

const seeds = [3, 4, 5]
const workerCounts = [6, 38, 400]
const gatewayCount = 30
const warmups = 2_000
const decisions = 5_000
const percent = 100

/** Prints both tables. */
export function comparePlacements (): void {
  console.log('| load | placement | callers | in time, % | late, % | lost, % | arrivals refused by workers | refusals | p99, ms |\n|---|---|---|---|---|---|---|---|---|')
  for (const [name, load] of Object.entries(simulatedLoads)) {
    for (const [placement, create] of Object.entries({ latency: decideByLatency, completion: decideByCompletion })) {
      const results = seeds.map((seed) => simulateService({ ...load, seed }, create({ ...load, seed })))
      const mean = (field: keyof SimulatedResult): number => results.reduce((sum, result) => sum + result[field], 0) / results.length
      const share = (field: keyof SimulatedResult): string => (percent * mean(field) / mean('callers')).toFixed(1)
      const counts = [mean('rejected'), mean('refusals'), mean('p99Ms')].map(Math.round)
      console.log(`| ${[name, placement, Math.round(mean('callers')), share('inTime'), share('late'), share('lost'), ...counts].join(' | ')} |`)
    }
  }
  console.log('\n| workers | choice, us | sum of 30 reports, us |\n|---|---|---|')
  for (const workers of workerCounts) console.log(`| ${workers} | ${measureChoice(workers).toFixed(1)} | ${measureSum(workers).toFixed(1)} |`)
}

/** Returns the mean processor time in microseconds of a choice among workers, with the look-up of their loads. */
function measureChoice (workers: number): number {
  const costs = createCostEstimates()
  const view = createLoadView()
  const names = Array.from({ length: workers }, (_, i) => `w${i}/1`)
  view.merge(names.map((worker, i) => ({ worker, requests: i % 20, workMs: 86 * (i % 20), slowness: 1, samples: 5 })), 0)
  const choose = (): void => {
    const workMs = costs.workMs(['stamp POST'])
    let unseenRequests = 0
    const candidates = names.map((worker, i) => {
      const { slowness } = costs.slowness(worker, 50)
      const load = view.find(worker, 6 / (workMs * slowness), 50)
      unseenRequests += load.unseenRequests
      return { fixedMs: i % 42, slots: 6, slowness, requests: load.requests, workMs: load.workMs }
    })
    chooseByCompletion(candidates, { workMs, unseenRequests, random: Math.random })
  }
  return measureUs(choose)
}

/** Returns the mean processor time in microseconds in which an exchange point sums up the reports of the others. */
function measureSum (workers: number): number {
  const sums = createLoadSums()
  const loads = Array.from({ length: workers }, (_, i) => ({ worker: `w${i}/1`, requests: 2, workMs: 172, slowness: 1, samples: 5 }))
  for (let i = 0; i < gatewayCount; i++) sums.add({ name: `g${i}`, incarnation: 1, seq: 1, loads }, 0)
  return measureUs(() => { sums.sumOthers('g0', 0) })
}

function measureUs (run: () => void): number {
  for (let i = 0; i < warmups; i++) run()
  const start = process.cpuUsage()
  for (let i = 0; i < decisions; i++) run()
  const { user, system } = process.cpuUsage(start)
  return (user + system) / decisions
}
