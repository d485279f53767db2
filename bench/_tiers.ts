/**
 * Compares paid goodput with and without free load.
 */
import { deployScenario } from './_deploy_scenario.ts'
import { variants } from './_policies.ts'
import { formatMarkdownTable, formatSpread } from './_table.ts'
import { loadScenario } from './load_scenario.ts'
import { estimateSaturationPerS } from './plan_load.ts'
import { runCell } from './run_cell.ts'
import type { CellFigures } from './run_cell.ts'

/** Runs the paid half of 1.5 times saturation alone and beside the free half, in turn. */
export async function compareTiers (name: string, rounds: number, durationMs: number, warmupMs: number, seed: number): Promise<void> {
  const scenario = await loadScenario(name)
  const ratePerS = 1.5 * estimateSaturationPerS(scenario)
  const paid = scenario.classes.filter((one) => one.tier === 'paid')
  const share = paid.reduce((sum, one) => sum + one.share, 0)
  const bench = await deployScenario(scenario)
  const [chosen] = variants
  const alone: CellFigures[] = []
  const beside: CellFigures[] = []
  try {
    if (chosen !== undefined) await bench.setPolicy(chosen)
    await runCell(bench, { classes: scenario.classes, ratePerS, durationMs, warmupMs, seed })
    for (let round = 0; round < rounds; round++) {
      const cell = { durationMs, warmupMs, seed: seed + round }
      alone.push(await runCell(bench, { ...cell, classes: paid, ratePerS: ratePerS * share }))
      beside.push(await runCell(bench, { ...cell, classes: scenario.classes, ratePerS }))
    }
  } finally {
    await bench.deployment.stop()
  }
  const row = (label: string, cells: CellFigures[]): string[] => [
    label,
    formatSpread(cells.map((cell) => 100 * (cell.tiers.paid?.goodShare ?? 0)), 1),
    formatSpread(cells.map((cell) => cell.tiers.paid?.firstMs.p95 ?? 0), 0)
  ]
  console.log(formatMarkdownTable(['paid load of 0.75×', 'paid good %', 'paid first p95'],
    [row('alone', alone), row('beside as much free load', beside)]))
}
