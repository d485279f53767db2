/**
 * Compares policies under the load of one scenario, alternating between them at several loads.
 */
import { mkdir, writeFile } from 'node:fs/promises'
import { deployScenario } from './_deploy_scenario.ts'
import { variants } from './_policies.ts'
import { drawPlot } from './_draw_plot.ts'
import { formatMarkdownTable, formatSpread, computeSpread } from './_table.ts'
import { loadScenario } from './load_scenario.ts'
import { estimateSaturationPerS } from './plan_load.ts'
import { runCell } from './run_cell.ts'
import type { CellFigures } from './run_cell.ts'
import type { Variant } from './_policies.ts'

/** Configures a comparison. */
export interface ComparePoliciesOptions {
  /** Name of the scenario file, without its extension. */
  scenario: string
  /** Loads as multiples of the saturation rate. */
  loads: number[]
  /** Number of times that every variant runs at every load. */
  rounds: number
  /** Measured time in milliseconds of each run. */
  durationMs: number
  /** Time in milliseconds of load before the measured time. */
  warmupMs: number
  /** Seed of the load in the first round; grows by 1 with each round. */
  seed: number
  /** Names of the variants to compare; all variants when empty. */
  only: string[]
}

/** The result of one variant at one load in one round. */
interface Cell {
  variant: string
  load: number
  round: number
  figures: CellFigures
}

const headings = [
  'load', 'policy', 'good/s', 'paid good/s', 'free good/s', 'paid good %', 'wasted %', 'paid first p95', 'free first p95',
  'between p95', 'attempts', 'link MB', 'broken'
]

/** Formats the columns of one row: each figure as the median and range of the cells. */
function formatColumns (cells: Cell[]): string[] {
  const format = (pick: (figures: CellFigures) => number, digits: number): string =>
    formatSpread(cells.map((cell) => pick(cell.figures)), digits)
  return [
    format((f) => f.all.goodPerS, 1),
    format((f) => f.tiers.paid?.goodPerS ?? 0, 1),
    format((f) => f.tiers.free?.goodPerS ?? 0, 1),
    format((f) => 100 * (f.tiers.paid?.goodShare ?? 0), 1),
    format((f) => 100 * f.wastedShare, 2),
    format((f) => f.tiers.paid?.firstMs.p95 ?? 0, 0),
    format((f) => f.tiers.free?.firstMs.p95 ?? 0, 0),
    format((f) => f.all.betweenMs.p95, 0),
    format((f) => f.amplification, 3),
    format((f) => f.linkBytes / 1e6, 0),
    format((f) => f.broken, 0)
  ]
}

function formatSummary (cells: Cell[], loads: number[], names: string[]): string {
  const rows = loads.flatMap((load) => names.map((name) =>
    [`${load}×`, name, ...formatColumns(cells.filter((cell) => cell.load === load && cell.variant === name))]))
  return formatMarkdownTable(headings, rows)
}

/** Adds counts by name and lists those above 0. */
function formatTotals (counts: Array<{ [name: string]: number }>): string {
  const total: { [name: string]: number } = {}
  for (const countByName of counts) {
    for (const [name, count] of Object.entries(countByName)) total[name] = (total[name] ?? 0) + count
  }
  return Object.entries(total).filter(([, count]) => count > 0).map(([name, count]) => `${name} ${count}`).join(', ') || 'none'
}

/** Formats the details of the `chosen` variant at each load. */
function formatDetails (cells: Cell[], loads: number[]): string {
  const rows = loads.map((load) => {
    const loadCells = cells.filter((cell) => cell.load === load && cell.variant === 'chosen')
    const callers = Object.keys(loadCells[0]?.figures.callers ?? {})
    const tails = callers.map((caller) => {
      const p99 = computeSpread(loadCells.map((cell) => cell.figures.callers[caller]?.firstMs.p99 ?? 0)).median
      return `${caller} ${p99}`
    })
    const pairs = Object.entries(loadCells[0]?.figures.zonePairs ?? {}).map(([pair, p95]) => `${pair} ${p95}`)
    return [
      `${load}×`, tails.join(', '), pairs.join(', '), formatTotals(loadCells.map((cell) => cell.figures.wasted)),
      formatTotals(loadCells.map((cell) => cell.figures.codes))
    ]
  })
  const headings = ['load', 'first token p99 by caller', 'first token p95 by zones (round 1)', 'wasted tokens by cause', 'refusals']
  return formatMarkdownTable(headings, rows)
}

/** Writes the cells as JSON and the goodput plot as SVG to the folder `out`. */
async function saveResults (options: ComparePoliciesOptions, cells: Cell[], names: string[]): Promise<void> {
  await mkdir('out', { recursive: true })
  const lines = names.map((name) => ({
    name,
    points: options.loads.map((load) => ({
      load,
      values: cells.filter((cell) => cell.load === load && cell.variant === name).map((cell) => cell.figures.all.goodPerS)
    }))
  }))
  await writeFile(`out/bench-${options.scenario}.json`, JSON.stringify({ options, cells }, undefined, 1))
  await writeFile(`out/bench-${options.scenario}.svg`, drawPlot(`${options.scenario}: good answers per second by load`, lines))
}

/**
 * Runs the comparison, prints its tables, and writes `out/bench-SCENARIO.json` and `out/bench-SCENARIO.svg`.
 *
 * @throws when the scenario file does not exist or is invalid
 */
export async function comparePolicies (options: ComparePoliciesOptions): Promise<void> {
  const scenario = await loadScenario(options.scenario)
  const saturationPerS = estimateSaturationPerS(scenario)
  const selected = variants.filter(({ name }) => options.only.length === 0 || options.only.includes(name))
  console.log(`${options.scenario}: main figure ${scenario.weighs}; saturation ${saturationPerS.toFixed(1)} requests/s; seed ${options.seed}; ` +
    `${options.rounds} rounds, alternating between policies, ${options.durationMs} ms each after ${options.warmupMs} ms`)
  const bench = await deployScenario(scenario)
  const cells: Cell[] = []
  const runVariant = async (variant: Variant, load: number, round: number): Promise<void> => {
    await bench.setPolicy(variant)
    const { durationMs, warmupMs } = options
    const seed = options.seed + round
    const cell = { classes: scenario.classes, ratePerS: load * saturationPerS, durationMs, warmupMs, seed }
    cells.push({ variant: variant.name, load, round, figures: await runCell(bench, cell) })
  }
  const { durationMs, warmupMs, seed } = options
  try {
    // Discards one run, because the code of new processes is not compiled yet.
    await runCell(bench, { classes: scenario.classes, ratePerS: saturationPerS, durationMs, warmupMs, seed })
    for (let round = 0; round < options.rounds; round++) {
      for (const load of options.loads) {
        for (const variant of selected) await runVariant(variant, load, round)
      }
    }
  } finally {
    await bench.deployment.stop()
  }
  const names = selected.map((variant) => variant.name)
  console.log(`\n${formatSummary(cells, options.loads, names)}\n\n${formatDetails(cells, options.loads)}`)
  await saveResults(options, cells, names)
}
