/**
 * Steps for processes that receive SIGTERM while work is in flight.
 */
import assert from 'node:assert/strict'
import { Then, When } from '@cucumber/cucumber'
import { serviceCallSteps } from './_cells.ts'
import type { Step } from './_cells.ts'
import { checkCompletion, checkServiceCall, countPrefills, RequestOutcome } from './_checks.ts'
import { ensureRunning } from './_faults.ts'
import { createCell } from './_run_cell.ts'
import { getSharedDeployment } from './_shared_deployment.ts'
import { getIssuingAgent, stepTriggers, waitForCallStart } from './_triggers.ts'
import { callUnderTicket, requestTicket, startCompletion, withTimeout } from './_world.ts'
import type { Cell } from './_world.ts'

interface World {
  stoppedExit: string
  stoppedOutcome: RequestOutcome
  stoppedRuns: number
}

const stepTimeoutMs = 60_000

/** Sends SIGTERM to the entry or the agent; the returned function waits for its exit, starts it again and returns the exit code. */
async function stopProcess (cell: Cell, kind: string): Promise<() => Promise<string>> {
  const name = kind === 'entry' ? 'entry/entry-1' : `agent/${cell.targetBackend}`
  const item = cell.deployment.getProcess(name)
  item.signal('SIGTERM')
  return async () => {
    const exit = await withTimeout(cell, `the exit of ${name}`, item.waitForExit())
    await ensureRunning(cell, name)
    return exit
  }
}

async function stopDuringCompletion (world: World, cell: Cell, kind: string): Promise<void> {
  const fromLine = cell.deployment.getProcess('entry/entry-1').readLines().length
  let text = ''
  const pending = startCompletion(cell, 0, cell.prompt, (part) => { text += part })
  cell.targetBackend = await stepTriggers[cell.step]?.(cell, fromLine, () => text) ?? ''
  const waitForStop = await stopProcess(cell, kind)
  const completion = await withTimeout(cell, 'the answer', pending)
  world.stoppedOutcome = await checkCompletion(cell, cell.prompt, completion, false)
  world.stoppedRuns = await countPrefills(cell, cell.prompt)
  world.stoppedExit = await waitForStop()
}

async function stopDuringCall (world: World, cell: Cell, kind: string): Promise<void> {
  cell.ticket = String((await requestTicket(cell, 0)).body.ticket)
  cell.targetBackend = getIssuingAgent(cell.ticket)
  const pending = callUnderTicket(cell, 0)
  await waitForCallStart(cell)
  const waitForStop = await stopProcess(cell, kind)
  world.stoppedOutcome = await checkServiceCall(cell, await withTimeout(cell, 'the call', pending))
  world.stoppedRuns = 1
  world.stoppedExit = await waitForStop()
}

When(/^the deployment's (entry|prefill agent|decode agent|service agent) receives SIGTERM at "(.*)"$/,
  { timeout: stepTimeoutMs },
  async function (this: World, kind: string, step: Step) {
    const cell = createCell(await getSharedDeployment(), step)
    const run = serviceCallSteps.has(step) ? stopDuringCall : stopDuringCompletion
    await run(this, cell, kind)
    await cell.deployment.waitUntilServing(stepTimeoutMs)
  })

Then('the deployment answered the caller without a second run and the process exited with code 0', function (this: World) {
  assert.equal(this.stoppedOutcome, RequestOutcome.Answered)
  assert.equal(this.stoppedRuns, 1)
  assert.equal(this.stoppedExit, '0')
})
