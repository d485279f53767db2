/**
 * Compares the goodput of the paid tier with and without load of the free tier.
 */
import { deployScenario } from './_deploy_scenario.ts'
import { variants } from './_policies.ts'
import { formatMarkdownTable, formatSpread } from './_table.ts'
import { loadScenario } from './load_scenario.ts'
import { estimateSaturationPerS } from './plan_load.ts'
import { runCell } from './run_cell.ts'
import type { CellFigures } from './run_cell.ts'

/**
 * Runs the paid requests of a load of 1.5 times saturation alone and together with the free requests, alternating, and
 * prints the results.
 */
export async function compareTiers (name: string, rounds: number, durationMs: number, warmupMs: number, seed: number): Promise<void> {
  const scenario = await loadScenario(name)
  const ratePerS = 1.5 * estimateSaturationPerS(scenario)
  const paid = scenario.classes.filter((loadClass) => loadClass.tier === 'paid')
  const paidShare = paid.reduce((sum, loadClass) => sum + loadClass.share, 0)
  const bench = await deployScenario(scenario)
  const [chosen] = variants
  const paidOnly: CellFigures[] = []
  const withFree: CellFigures[] = []
  try {
    if (chosen !== undefined) await bench.setPolicy(chosen)
    await runCell(bench, { classes: scenario.classes, ratePerS, durationMs, warmupMs, seed })
    for (let round = 0; round < rounds; round++) {
      const options = { durationMs, warmupMs, seed: seed + round }
      paidOnly.push(await runCell(bench, { ...options, classes: paid, ratePerS: ratePerS * paidShare }))
      withFree.push(await runCell(bench, { ...options, classes: scenario.classes, ratePerS }))
    }
  } finally {
    await bench.deployment.stop()
  }
  const formatRow = (label: string, cells: CellFigures[]): string[] => [
    label,
    formatSpread(cells.map((cell) => 100 * (cell.tiers.paid?.goodShare ?? 0)), 1),
    formatSpread(cells.map((cell) => cell.tiers.paid?.firstMs.p95 ?? 0), 0)
  ]
  console.log(formatMarkdownTable(['paid load of 0.75×', 'paid good %', 'paid first p95'],
    [formatRow('alone', paidOnly), formatRow('with as much free load', withFree)]))
}
