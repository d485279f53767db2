/**
 * Runs one cell of a comparison: one load on a running deployment under its current policies.
 */
import { addTotals, readRoutes, readTotals } from './_counters.ts'
import { planLoad } from './plan_load.ts'
import { sendLoad } from './send_load.ts'
import { summariseRun } from './summarise_run.ts'
import type { Bench } from './_deploy_scenario.ts'
import type { LoadClass } from './load_scenario.ts'
import type { MeasuredRequest } from './send_load.ts'
import type { RunFigures } from './summarise_run.ts'

/** Configures the load of a cell. */
export interface RunCellOptions {
  classes: LoadClass[]
  /** Requests per second over all classes. */
  ratePerS: number
  /** Measured time in milliseconds. */
  durationMs: number
  /** Time in milliseconds of load before the measured time. */
  warmupMs: number
  seed: number
}

/** Figures of one cell. */
export interface CellFigures extends RunFigures {
  /** Mean number of attempts per routed request; 1 when none was routed. */
  amplification: number
  /** 95th percentile in milliseconds of the time to the first token by `prefill zone>decode zone`. */
  zonePairs: { [pair: string]: number }
}

/** Time after the last arrival after which unfinished requests are aborted. */
const drainMs = 4000

function getZone (bench: Bench, backend: string): string {
  return bench.deployment.layout.backends.find((item) => item.name === backend)?.availabilityZone ?? ''
}

/** Counts the attempts of a request: the larger one of its numbers of prefill and decode decisions. */
function countAttempts (bench: Bench, chosen: string[]): number {
  const getRole = (name: string): string => bench.deployment.layout.backends.find((item) => item.name === name)?.role ?? ''
  const prefills = chosen.filter((name) => getRole(name) === 'prefill').length
  return Math.max(prefills, chosen.length - prefills)
}

/** Computes the 95th percentile of the time to the first token by pair of zones, for requests without a retry. */
function computeZonePairs (bench: Bench, requests: MeasuredRequest[], chosen: Map<string, string[]>): { [pair: string]: number } {
  const times = new Map<string, number[]>()
  for (const { id, firstMs } of requests) {
    const names = chosen.get(id?.replace(/^(chatcmpl|cmpl)-/, '') ?? '')
    if (names?.length !== 2 || firstMs === undefined) continue
    const pair = names.map((name) => getZone(bench, name)).sort().join('>')
    times.set(pair, [...times.get(pair) ?? [], firstMs])
  }
  const computeP95 = (values: number[]): number => values.sort((a, b) => a - b)[Math.floor(values.length * 0.95)] ?? 0
  return Object.fromEntries([...times].map(([pair, values]) => [pair, Math.round(computeP95(values))]))
}

/**
 * Runs one cell and waits until every answer has ended or was aborted.
 *
 * @param bench the running deployment
 * @param options the load and its duration
 * @returns the figures of the requests that arrived in the measured time
 *
 * @example
 * ```ts
 * console.assert(typeof runCell === 'function')
 * ```
 */
export async function runCell (bench: Bench, options: RunCellOptions): Promise<CellFigures> {
  const { deployment, scenario } = bench
  const untilMs = options.warmupMs + options.durationMs
  const plan = planLoad(options.classes, { ratePerS: options.ratePerS, durationMs: untilMs, seed: options.seed })
  const totalsBefore = await readTotals(deployment)
  const earlier = readRoutes(deployment, () => true).chosen
  const { model } = deployment.firm
  const requests = await sendLoad(plan, { timer: deployment.timer, addresses: bench.addresses, model, keys: bench.keys, drainMs })
  const totals = addTotals(await readTotals(deployment), totalsBefore, -1)
  const { chosen } = readRoutes(deployment, (request) => !earlier.has(request))
  const attempts = [...chosen.values()].reduce((sum, names) => sum + countAttempts(bench, names), 0)
  const figures = summariseRun(requests, totals, { targets: scenario.targets, fromMs: options.warmupMs, untilMs })
  return {
    ...figures,
    amplification: chosen.size === 0 ? 1 : attempts / chosen.size,
    zonePairs: computeZonePairs(bench, requests, chosen)
  }
}
