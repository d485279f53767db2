/**
 * Compares the policies of a scenario at several loads, in turns.
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
  scenario: string
  /** Loads relative to saturation. */
  loads: number[]
  rounds: number
  durationMs: number
  warmupMs: number
  seed: number
  /** Names of the variants to compare; all when empty. */
  only: string[]
}

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

function columns (cells: Cell[]): string[] {
  const of = (pick: (figures: CellFigures) => number, digits: number): string =>
    formatSpread(cells.map((cell) => pick(cell.figures)), digits)
  return [
    of((f) => f.all.goodPerS, 1),
    of((f) => f.tiers.paid?.goodPerS ?? 0, 1),
    of((f) => f.tiers.free?.goodPerS ?? 0, 1),
    of((f) => 100 * (f.tiers.paid?.goodShare ?? 0), 1),
    of((f) => 100 * f.wastedShare, 2),
    of((f) => f.tiers.paid?.firstMs.p95 ?? 0, 0),
    of((f) => f.tiers.free?.firstMs.p95 ?? 0, 0),
    of((f) => f.all.betweenMs.p95, 0),
    of((f) => f.amplification, 3),
    of((f) => f.linkBytes / 1e6, 0),
    of((f) => f.broken, 0)
  ]
}

function table (cells: Cell[], loads: number[], names: string[]): string {
  const rows = loads.flatMap((load) => names.map((name) =>
    [`${load}×`, name, ...columns(cells.filter((cell) => cell.load === load && cell.variant === name))]))
  return formatMarkdownTable(headings, rows)
}

function sum (counts: Array<{ [name: string]: number }>): string {
  const total: { [name: string]: number } = {}
  for (const one of counts) {
    for (const [name, count] of Object.entries(one)) total[name] = (total[name] ?? 0) + count
  }
  return Object.entries(total).filter(([, count]) => count > 0).map(([name, count]) => `${name} ${count}`).join(', ') || 'none'
}

function details (cells: Cell[], loads: number[]): string {
  const rows = loads.map((load) => {
    const some = cells.filter((cell) => cell.load === load && cell.variant === 'chosen')
    const callers = Object.keys(some[0]?.figures.callers ?? {})
    const tails = callers.map((caller) => {
      const p99 = computeSpread(some.map((cell) => cell.figures.callers[caller]?.firstMs.p99 ?? 0)).median
      return `${caller} ${p99}`
    })
    const pairs = Object.entries(some[0]?.figures.zonePairs ?? {}).map(([pair, p95]) => `${pair} ${p95}`)
    return [
      `${load}×`, tails.join(', '), pairs.join(', '), sum(some.map((cell) => cell.figures.wasted)),
      sum(some.map((cell) => cell.figures.codes))
    ]
  })
  const names = ['load', 'first token p99 by caller', 'first token p95 by zones (round 1)', 'wasted tokens by cause', 'refusals']
  return formatMarkdownTable(names, rows)
}

async function save (options: ComparePoliciesOptions, cells: Cell[], names: string[]): Promise<void> {
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

/** Runs the comparison, prints its tables and writes the JSON result and the plot. */
export async function comparePolicies (options: ComparePoliciesOptions): Promise<void> {
  const scenario = await loadScenario(options.scenario)
  const saturation = estimateSaturationPerS(scenario)
  const picked = variants.filter(({ name }) => options.only.length === 0 || options.only.includes(name))
  console.log(`${options.scenario}: weighs ${scenario.weighs}; saturation ${saturation.toFixed(1)} requests/s; seed ${options.seed}; ` +
    `${options.rounds} rounds in turn, ${options.durationMs} ms each after ${options.warmupMs} ms`)
  const bench = await deployScenario(scenario)
  const cells: Cell[] = []
  const run = async (variant: Variant, load: number, round: number): Promise<void> => {
    await bench.setPolicy(variant)
    const { durationMs, warmupMs } = options
    const seed = options.seed + round
    const cell = { classes: scenario.classes, ratePerS: load * saturation, durationMs, warmupMs, seed }
    cells.push({ variant: variant.name, load, round, figures: await runCell(bench, cell) })
  }
  const { durationMs, warmupMs, seed } = options
  try {
    // The first load of new processes meets code that is not compiled yet.
    await runCell(bench, { classes: scenario.classes, ratePerS: saturation, durationMs, warmupMs, seed })
    for (let round = 0; round < options.rounds; round++) {
      for (const load of options.loads) {
        for (const variant of picked) await run(variant, load, round)
      }
    }
  } finally {
    await bench.deployment.stop()
  }
  const names = picked.map((variant) => variant.name)
  console.log(`\n${table(cells, options.loads, names)}\n\n${details(cells, options.loads)}`)
  await save(options, cells, names)
}
