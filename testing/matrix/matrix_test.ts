/**
 * Steps of the fault matrix on real processes.
 */
import assert from 'node:assert/strict'
import { appendFileSync, mkdirSync } from 'node:fs'
import { AfterAll, Given, Then, When } from '@cucumber/cucumber'
import { Firm, startDeployment } from '../deployment/mod.ts'
import type { Deployment } from '../deployment/mod.ts'
import { complete } from '../caller/mod.ts'
import type { Fault, Step } from './_cells.ts'
import { runCell } from './_run_cell.ts'
import type { CellResult } from './_run_cell.ts'

interface World {
  cellResult: CellResult | undefined
}

const cellTimeoutMs = 90_000
let shared: Deployment | undefined

function start (): Promise<Deployment> {
  return startDeployment({
    firm: Firm.Fleuve,
    zones: ['rimouski', 'levis'],
    entries: 2,
    prefill: 2,
    decode: 2,
    services: 2,
    engine: { prefillMsPerToken: 0.8, linkBytesPerMs: 2500, stepMs: 10 },
    service: { serviceMs: 150 },
    timings: { leaseMs: 1000, heartbeatMs: 250 },
    policy: { retryBudget: 1 },
    hostLagMs: 200
  })
}

/** Ends a deployment that a failed cell may have left unfit for the next one. */
async function discard (): Promise<void> {
  const spoilt = shared
  shared = undefined
  await spoilt?.stop()
}

function record (fault: Fault, step: Step, verdict: object): void {
  mkdirSync('out', { recursive: true })
  appendFileSync('out/matrix.jsonl', JSON.stringify({ fault, step, ...verdict }) + '\n')
}

AfterAll({ timeout: cellTimeoutMs }, discard)

Given('a matrix deployment in service', { timeout: cellTimeoutMs }, async function () {
  shared ??= await start()
})

When('the matrix fault {string} comes at {string}', { timeout: cellTimeoutMs },
  async function (this: World, fault: Fault, step: Step) {
    if (!shared) throw new Error('the deployment is not running')
    try {
      this.cellResult = await runCell(shared, fault, step)
    } catch (err) {
      record(fault, step, { failed: (err as Error).message })
      await discard()
      throw err
    }
    record(fault, step, this.cellResult)
  })

Then('the matrix finds every promise kept', function (this: World) {
  if (!this.cellResult) throw new Error('the cell has no result')
})

When('the deployment stays idle for {int} ms', async function (ms: number) {
  await new Promise<void>((resolve) => shared?.timer.after(ms, resolve))
})

Then('the deployment answers a model request through every entry at the first try', async function () {
  if (!shared) throw new Error('the deployment is not running')
  const { firm } = shared
  for (const index of shared.layout.entries.keys()) {
    const address = shared.entryAddress(index)
    const done = await complete({ address, key: firm.paidKey, model: firm.model, prompt: 'after a rest', maxTokens: 20 })
    assert.equal(done.ends, 1, `entry ${index + 1} answered ${done.status} ${done.code} ${done.outcome}`)
  }
})
