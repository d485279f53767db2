/**
 * Runs one cell of the matrix: sends requests, causes the fault at the step, undoes it and checks the results.
 */
import assert from 'node:assert/strict'
import { callService } from '../caller/mod.ts'
import type { ServiceResponse } from '../caller/mod.ts'
import type { Deployment } from '../deployment/mod.ts'
import { Fault, serviceCallSteps, Step } from './_cells.ts'
import {
  checkAllReleased, checkCompletion, checkNewestRevisionInForce, checkServiceCall, connectionLossFaults, countPrefills, countRuns,
  readRevision, RequestOutcome
} from './_checks.ts'
import { ensureRunning, faultInjectors } from './_faults.ts'
import { getIssuingAgent, stepTriggers, waitForCallStart } from './_triggers.ts'
import { callUnderTicket, requestTicket, sleep, startCompletion, withTimeout } from './_world.ts'
import type { Cell } from './_world.ts'

/** The result of a cell whose checks passed. */
export interface CellResult {
  fault: Fault
  step: Step
  /** How each request ended, with the error code if there is one; first the request at whose step the fault occurred. */
  ended: string[]
  /** Time in milliseconds from the undoing of the fault until engines, entries and agents had released all work. */
  freeMs: number
}

/** Time in milliseconds in which a late run of a call becomes visible. */
const lateRunMs = 300
const servingTimeoutMs = 15_000
/** Faults at which the step `draining` stops the entry; at the others it stops the agent. */
const entryDrainFaults = new Set([
  Fault.KillEntry, Fault.FreezeEntry, Fault.CallerDisconnects, Fault.FreezeEntryKillAgent
])
/**
 * Faults that end or cut off a process that the request depends on. Under all others a model request must be answered, and a
 * drain must not abort its stream.
 */
const disruptiveFaults = new Set([
  Fault.KillEntry, Fault.KillAgent, Fault.RestartAgent, Fault.KillBackend, Fault.FreezeEntry, Fault.FreezeAgent,
  Fault.FreezeBackend, Fault.StallTransfer, Fault.CallerDisconnects, Fault.CloseBackendPort, Fault.RestartAgentTwice,
  Fault.CloseBackendPortTwice, Fault.FreezeEntryKillAgent
])
let cellCount = 0

/** Creates the state of a cell, with a prompt that no other cell has. */
export function createCell (deployment: Deployment, step: Step): Cell {
  cellCount += 1
  const words = Array.from({ length: 200 }, (_, i) => `letter${cellCount}-${process.pid}-${i}`)
  return {
    deployment,
    step,
    prompt: words.join(' '),
    targetBackend: '',
    callerAbort: new AbortController(),
    ticket: '',
    isTicketVoided: false,
    runsBeforeKill: new Map(),
    prefillsBeforeKill: new Map(),
    undoActions: []
  }
}

/** Undoes the faults of a cell in reverse order. */
async function undoFaults (cell: Cell): Promise<void> {
  for (const undo of cell.undoActions.toReversed()) await undo()
}

/** Sends SIGTERM to the entry or the agent; the undo action waits for its exit and checks the exit code. */
function startDrain (cell: Cell, fault: Fault): void {
  const name = entryDrainFaults.has(fault) ? 'entry/entry-1' : `agent/${cell.targetBackend}`
  const item = cell.deployment.getProcess(name)
  const exited = item.waitForExit()
  item.signal('SIGTERM')
  cell.undoActions.push(async () => {
    const exit = await withTimeout(cell, `the exit of ${name}`, exited)
    if (!disruptiveFaults.has(fault)) assert.equal(exit, '0', `process "${name}" exited with ${exit} after SIGTERM`)
    await ensureRunning(cell, name)
  })
}

async function runModelCell (cell: Cell, fault: Fault): Promise<string[]> {
  const trigger = stepTriggers[cell.step]
  if (!trigger) throw new Error(`step "${cell.step}" has no trigger`)
  const fromLine = cell.deployment.getProcess('entry/entry-1').readLines().length
  let text = ''
  const pending = startCompletion(cell, 0, cell.prompt, (part) => { text += part })
  cell.targetBackend = await trigger(cell, fromLine, () => text)
  if (cell.step === Step.Draining) startDrain(cell, fault)
  await faultInjectors[fault](cell)
  const otherPrompt = `${cell.prompt} other`
  const [completion, other] = await withTimeout(
    cell, 'the completions', Promise.all([pending, startCompletion(cell, 1, otherPrompt, () => {})])
  )
  await undoFaults(cell)
  const ended = await checkCompletion(cell, cell.prompt, completion, connectionLossFaults.has(fault))
  const otherEnded = await checkCompletion(cell, otherPrompt, other, false)
  if (!disruptiveFaults.has(fault)) assert.equal(ended, RequestOutcome.Answered, JSON.stringify(completion))
  if (!disruptiveFaults.has(fault) && cell.step === Step.Draining) {
    // A second prefill means that the stop aborted the stream and that another engine continued it.
    assert.equal(await countPrefills(cell, cell.prompt), 1, 'the graceful stop aborted the stream')
  }
  return [formatOutcome(ended, completion.code), formatOutcome(otherEnded, other.code)]
}

/** Returns the outcome of a request, followed by the error code if there is one. */
function formatOutcome (ended: string, code: unknown): string {
  return code === undefined ? ended : `${ended}: ${String(code)}`
}

function getErrorCode (response: ServiceResponse): unknown {
  return (response.body.error as { code?: string } | undefined)?.code
}

/** Sends an idempotent call through the other entry, as a caller that the fault does not concern. */
async function sendRead (cell: Cell): Promise<string> {
  const { deployment } = cell
  const { firm } = deployment
  const path = `${firm.readPath}/1`
  const options = { address: deployment.getEntryAddress(1), key: firm.paidKey, service: firm.service, method: 'GET', path }
  const response = await withTimeout(cell, 'the read', callService(options))
  assert.equal(response.connectionError, undefined)
  assert.ok(response.status === 200 || response.outcome !== undefined, `the read has status ${response.status} and no outcome`)
  return formatOutcome(response.status === 200 ? RequestOutcome.Answered : RequestOutcome.Refused, getErrorCode(response))
}

/** Checks that late runs of the call don't contradict the outcomes that the callers received. */
async function checkLateRuns (cell: Cell, first: ServiceResponse, second: ServiceResponse): Promise<void> {
  await sleep(cell, lateRunMs)
  const runs = await countRuns(cell, cell.ticket)
  const isKnownNotRun = second.outcome === 'not_run' || cell.isTicketVoided
  assert.ok(runs <= (isKnownNotRun ? 0 : 1), `the call ran ${runs} times after the outcomes "${first.outcome}" and "${second.outcome}"`)
}

async function runCallCell (cell: Cell, fault: Fault): Promise<string[]> {
  const issued = await withTimeout(cell, 'a ticket', requestTicket(cell, 0))
  assert.equal(issued.status, 201, JSON.stringify(issued))
  cell.ticket = String(issued.body.ticket)
  cell.targetBackend = getIssuingAgent(cell.ticket)
  if (cell.step === Step.TicketIssued) await faultInjectors[fault](cell)
  const pending = callUnderTicket(cell, 0)
  if (cell.step === Step.CallSent) {
    await waitForCallStart(cell)
    await faultInjectors[fault](cell)
  }
  const first = await withTimeout(cell, 'the call', pending)
  const ended = await checkServiceCall(cell, first)
  if (ended === RequestOutcome.ConnectionLost) assert.ok(connectionLossFaults.has(fault), `connection lost: ${first.connectionError}`)
  if (cell.step === Step.CallAnswered) await faultInjectors[fault](cell)
  const second = await withTimeout(cell, 'the repeat of the call', callUnderTicket(cell, 1))
  const repeated = await checkServiceCall(cell, second)
  const other = await sendRead(cell)
  await undoFaults(cell)
  await checkLateRuns(cell, first, second)
  return [formatOutcome(ended, getErrorCode(first)), `repeat ${formatOutcome(repeated, getErrorCode(second))}`, `read ${other}`]
}

/**
 * Runs one cell: causes the fault when the request reaches the step, undoes it, and waits until the deployment serves again.
 *
 * @throws when a check fails
 */
export async function runCell (deployment: Deployment, fault: Fault, step: Step): Promise<CellResult> {
  const cell = createCell(deployment, step)
  const revisions = await Promise.all([0, 1].map((entry) => readRevision(cell, entry)))
  const run = serviceCallSteps.has(step) ? runCallCell : runModelCell
  const ended = await run(cell, fault)
  const freeMs = await checkAllReleased(cell)
  await checkNewestRevisionInForce(cell)
  for (const [entry, before] of revisions.entries()) {
    assert.ok(await readRevision(cell, entry) >= before, `entry ${entry + 1} has a lower revision than ${before}`)
  }
  await deployment.waitUntilServing(servingTimeoutMs)
  return { fault, step, ended, freeMs: Math.round(freeMs) }
}
