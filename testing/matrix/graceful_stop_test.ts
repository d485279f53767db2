/**
 * Steps for processes that are told to stop while work is in flight.
 */
import assert from 'node:assert/strict'
import { Then, When } from '@cucumber/cucumber'
import { callSteps } from './_cells.ts'
import type { Step } from './_cells.ts'
import { checkCall, checkCompletion, Ended, prefillsOf } from './_checks.ts'
import { ensureRunning } from './_faults.ts'
import { makeCell } from './_run_cell.ts'
import { sharedDeployment } from './_shared_deployment.ts'
import { callBegan, homeOf, triggers } from './_triggers.ts'
import { ask, bounded, getTicket, write } from './_world.ts'
import type { Cell } from './_world.ts'

interface World {
  stoppedEnd: string
  stoppedAnswer: Ended
  stoppedRuns: number
}

const stepTimeoutMs = 60_000

async function stop (cell: Cell, kind: string): Promise<() => Promise<string>> {
  const name = kind === 'entry' ? 'entry/entry-1' : `agent/${cell.target}`
  const item = cell.deployment.process(name)
  item.signal('SIGTERM')
  return async () => {
    const end = await bounded(cell, `the end of ${name}`, item.ended())
    await ensureRunning(cell, name)
    return end
  }
}

async function stopDuringAnswer (world: World, cell: Cell, kind: string): Promise<void> {
  const fromLine = cell.deployment.process('entry/entry-1').lines().length
  let text = ''
  const asked = ask(cell, 0, cell.prompt, (part) => { text += part })
  cell.target = await triggers[cell.step]?.(cell, fromLine, () => text) ?? ''
  const stopped = await stop(cell, kind)
  const done = await bounded(cell, 'the answer', asked)
  world.stoppedAnswer = await checkCompletion(cell, cell.prompt, done, false)
  world.stoppedRuns = await prefillsOf(cell, cell.prompt)
  world.stoppedEnd = await stopped()
}

async function stopDuringCall (world: World, cell: Cell, kind: string): Promise<void> {
  cell.ticket = String((await getTicket(cell, 0)).body.ticket)
  cell.target = homeOf(cell.ticket)
  const calling = write(cell, 0)
  await callBegan(cell)
  const stopped = await stop(cell, kind)
  world.stoppedAnswer = await checkCall(cell, await bounded(cell, 'the call', calling))
  world.stoppedRuns = 1
  world.stoppedEnd = await stopped()
}

When(/^the deployment's (entry|prefill agent|decode agent|service agent) is told to stop at "(.*)"$/,
  { timeout: stepTimeoutMs },
  async function (this: World, kind: string, step: Step) {
    const cell = makeCell(await sharedDeployment(), step)
    const run = callSteps.has(step) ? stopDuringCall : stopDuringAnswer
    await run(this, cell, kind)
    await cell.deployment.waitUntilServing(stepTimeoutMs)
  })

Then('the deployment answered the caller without a second run and the process ended with 0', function (this: World) {
  assert.equal(this.stoppedAnswer, Ended.Answered)
  assert.equal(this.stoppedRuns, 1)
  assert.equal(this.stoppedEnd, '0')
})
