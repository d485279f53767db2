/**
 * Steps of the fault matrix on real processes.
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

function record (fault: Fault, step: Step, verdict: object): void {
  mkdirSync('out', { recursive: true })
  appendFileSync('out/matrix.jsonl', JSON.stringify({ fault, step, ...verdict }) + '\n')
}

AfterAll({ timeout: cellTimeoutMs }, discardDeployment)

Given('a matrix deployment in service', { timeout: cellTimeoutMs }, async function () {
  await getSharedDeployment()
})

When('the matrix fault {string} comes at {string}', { timeout: cellTimeoutMs },
  async function (this: World, fault: Fault, step: Step) {
    try {
      this.cellResult = await runCell(await getSharedDeployment(), fault, step)
    } catch (err) {
      record(fault, step, { failed: (err as Error).message })
      await discardDeployment()
      throw err
    }
    record(fault, step, this.cellResult)
  })

Then('the matrix finds every promise kept', function (this: World) {
  if (!this.cellResult) throw new Error('the cell has no result')
})
