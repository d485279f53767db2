/**
 * Steps of the fault matrix, which runs on real processes.
 */
import { appendFileSync, mkdirSync } from 'node:fs'
import { AfterAll, Given, Then, When } from '@cucumber/cucumber'
import type { Fault, Step } from './_cells.ts'
import { runCell } from './_run_cell.ts'
import type { CellResult } from './_run_cell.ts'
import { discardDeployment, getSharedDeployment } from './_shared_deployment.ts'

interface World {
  cellResult: CellResult | undefined
}

const cellTimeoutMs = 90_000

/** Appends the result of a cell to out/matrix.jsonl, from which main.ts builds the table. */
function appendVerdict (fault: Fault, step: Step, verdict: object): void {
  mkdirSync('out', { recursive: true })
  appendFileSync('out/matrix.jsonl', JSON.stringify({ fault, step, ...verdict }) + '\n')
}

AfterAll({ timeout: cellTimeoutMs }, discardDeployment)

Given('a running matrix deployment', { timeout: cellTimeoutMs }, async function () {
  await getSharedDeployment()
})

When('the matrix fault {string} occurs at {string}', { timeout: cellTimeoutMs },
  async function (this: World, fault: Fault, step: Step) {
    try {
      this.cellResult = await runCell(await getSharedDeployment(), fault, step)
    } catch (err) {
      appendVerdict(fault, step, { failed: (err as Error).message })
      await discardDeployment()
      throw err
    }
    appendVerdict(fault, step, this.cellResult)
  })

Then('every check of the matrix passes', function (this: World) {
  if (!this.cellResult) throw new Error('the cell has no result')
})
