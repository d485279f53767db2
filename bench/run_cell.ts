/**
 * Runs one load under one set of policies on a running deployment.
 */
import { addTotals, readRoutes, readTotals } from './_counters.ts'
import { planLoad } from './plan_load.ts'
import { sendLoad } from './send_load.ts'
import { summariseRun } from './summarise_run.ts'
import type { Bench } from './_deploy_scenario.ts'
import type { LoadClass } from './load_scenario.ts'
import type { MeasuredRequest } from './send_load.ts'
import type { RunFigures } from './summarise_run.ts'

/** Configures a cell. */
export interface RunCellOptions {
  classes: LoadClass[]
  ratePerS: number
  /** Time in milliseconds that counts. */
  durationMs: number
  /** Time in milliseconds of load before it, which does not count. */
  warmupMs: number
  seed: number
}

/** Figures of one cell. */
export interface CellFigures extends RunFigures {
  /** Attempts for each request that was routed. */
  amplification: number
  /** 95th percentile in milliseconds of the time to the first token by `prefill zone>decode zone`. */
  zonePairs: { [pair: string]: number }
}

const drainMs = 4000

function zoneOf (bench: Bench, backend: string): string {
  return bench.deployment.layout.backends.find((item) => item.name === backend)?.availabilityZone ?? ''
}

function attemptsOf (bench: Bench, chosen: string[]): number {
  const roleOf = (name: string): string => bench.deployment.layout.backends.find((item) => item.name === name)?.role ?? ''
  const prefills = chosen.filter((name) => roleOf(name) === 'prefill').length
  return Math.max(prefills, chosen.length - prefills)
}

function zonePairs (bench: Bench, requests: MeasuredRequest[], chosen: Map<string, string[]>): { [pair: string]: number } {
  const times = new Map<string, number[]>()
  for (const { id, firstMs } of requests) {
    const names = chosen.get(id?.replace(/^(chatcmpl|cmpl)-/, '') ?? '')
    if (names?.length !== 2 || firstMs === undefined) continue
    const pair = names.map((name) => zoneOf(bench, name)).sort().join('>')
    times.set(pair, [...times.get(pair) ?? [], firstMs])
  }
  const p95 = (values: number[]): number => values.sort((a, b) => a - b)[Math.floor(values.length * 0.95)] ?? 0
  return Object.fromEntries([...times].map(([pair, values]) => [pair, Math.round(p95(values))]))
}

/**
 * Runs one cell and waits until every answer ended.
 *
 * @param bench the deployment
 * @param options the load
 * @returns the figures
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
  const before = await readTotals(deployment)
  const known = readRoutes(deployment, () => true).chosen
  const { model } = deployment.firm
  const requests = await sendLoad(plan, { timer: deployment.timer, addresses: bench.addresses, model, keys: bench.keys, drainMs })
  const totals = addTotals(await readTotals(deployment), before, -1)
  const { chosen } = readRoutes(deployment, (request) => !known.has(request))
  const attempts = [...chosen.values()].reduce((sum, names) => sum + attemptsOf(bench, names), 0)
  const figures = summariseRun(requests, totals, { targets: scenario.targets, fromMs: options.warmupMs, untilMs })
  return {
    ...figures,
    amplification: chosen.size === 0 ? 1 : attempts / chosen.size,
    zonePairs: zonePairs(bench, requests, chosen)
  }
}
