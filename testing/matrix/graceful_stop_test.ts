/**
 * Steps for processes that are told to stop while work is in flight.
 */
import assert from 'node:assert/strict'
import { Then, When } from '@cucumber/cucumber'
import { serviceCallSteps } from './_cells.ts'
import type { Step } from './_cells.ts'
import { checkServiceCall, checkCompletion, RequestOutcome, countPrefills } from './_checks.ts'
import { ensureRunning } from './_faults.ts'
import { createCell } from './_run_cell.ts'
import { getSharedDeployment } from './_shared_deployment.ts'
import { waitForCallStart, getIssuingAgent, stepTriggers } from './_triggers.ts'
import { startCompletion, withTimeout, requestTicket, callUnderTicket } from './_world.ts'
import type { Cell } from './_world.ts'

interface World {
  stoppedEnd: string
  stoppedAnswer: RequestOutcome
  stoppedRuns: number
}

const stepTimeoutMs = 60_000

async function stop (cell: Cell, kind: string): Promise<() => Promise<string>> {
  const name = kind === 'entry' ? 'entry/entry-1' : `agent/${cell.targetBackend}`
  const item = cell.deployment.getProcess(name)
  item.signal('SIGTERM')
  return async () => {
    const end = await withTimeout(cell, `the end of ${name}`, item.waitForExit())
    await ensureRunning(cell, name)
    return end
  }
}

async function stopDuringAnswer (world: World, cell: Cell, kind: string): Promise<void> {
  const fromLine = cell.deployment.getProcess('entry/entry-1').readLines().length
  let text = ''
  const asked = startCompletion(cell, 0, cell.prompt, (part) => { text += part })
  cell.targetBackend = await stepTriggers[cell.step]?.(cell, fromLine, () => text) ?? ''
  const stopped = await stop(cell, kind)
  const done = await withTimeout(cell, 'the answer', asked)
  world.stoppedAnswer = await checkCompletion(cell, cell.prompt, done, false)
  world.stoppedRuns = await countPrefills(cell, cell.prompt)
  world.stoppedEnd = await stopped()
}

async function stopDuringCall (world: World, cell: Cell, kind: string): Promise<void> {
  cell.ticket = String((await requestTicket(cell, 0)).body.ticket)
  cell.targetBackend = getIssuingAgent(cell.ticket)
  const calling = callUnderTicket(cell, 0)
  await waitForCallStart(cell)
  const stopped = await stop(cell, kind)
  world.stoppedAnswer = await checkServiceCall(cell, await withTimeout(cell, 'the call', calling))
  world.stoppedRuns = 1
  world.stoppedEnd = await stopped()
}

When(/^the deployment's (entry|prefill agent|decode agent|service agent) is told to stop at "(.*)"$/,
  { timeout: stepTimeoutMs },
  async function (this: World, kind: string, step: Step) {
    const cell = createCell(await getSharedDeployment(), step)
    const run = serviceCallSteps.has(step) ? stopDuringCall : stopDuringAnswer
    await run(this, cell, kind)
    await cell.deployment.waitUntilServing(stepTimeoutMs)
  })

Then('the deployment answered the caller without a second run and the process ended with 0', function (this: World) {
  assert.equal(this.stoppedAnswer, RequestOutcome.Answered)
  assert.equal(this.stoppedRuns, 1)
  assert.equal(this.stoppedEnd, '0')
})
