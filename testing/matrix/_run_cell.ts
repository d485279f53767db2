/**
 * Runs one cell of the matrix: the work of the callers, the fault at the step, the heal and the checks.
 */
import assert from 'node:assert/strict'
import { callService } from '../caller/mod.ts'
import type { ServiceResponse } from '../caller/mod.ts'
import type { Deployment } from '../deployment/mod.ts'
import { serviceCallSteps, Fault, Step } from './_cells.ts'
import {
  checkServiceCall, checkCompletion, checkAllReleased, checkNewestRevisionInForce, RequestOutcome, connectionLossFaults, countPrefills, readRevision, countRuns
} from './_checks.ts'
import { faultInjectors, ensureRunning } from './_faults.ts'
import { waitForCallStart, getIssuingAgent, stepTriggers } from './_triggers.ts'
import { startCompletion, withTimeout, requestTicket, sleep, callUnderTicket } from './_world.ts'
import type { Cell } from './_world.ts'

/** Describes how a cell went. */
export interface CellResult {
  fault: Fault
  step: Step
  /** How the callers' requests ended: the caller of the fault, then the other one. */
  ended: string[]
  /** Time in milliseconds from the heal until every engine was empty. */
  freeMs: number
}

const settleMs = 300
const servingMs = 15_000
const entryFaults = new Set([
  Fault.KillEntry, Fault.FreezeEntry, Fault.CallerDisconnects, Fault.FreezeEntryKillAgent
])
/** Faults that end or cut a process that the request depends on; without one of these a drain must lose nothing. */
const hardFaults = new Set([
  Fault.KillEntry, Fault.KillAgent, Fault.RestartAgent, Fault.KillBackend, Fault.FreezeEntry, Fault.FreezeAgent,
  Fault.FreezeBackend, Fault.StallTransfer, Fault.CallerDisconnects, Fault.CloseBackendPort, Fault.RestartAgentTwice,
  Fault.CloseBackendPortTwice, Fault.FreezeEntryKillAgent
])
let cells = 0

/** Prepares a cell with a prompt of its own. */
export function createCell (deployment: Deployment, step: Step): Cell {
  cells += 1
  const words = Array.from({ length: 200 }, (_, i) => `letter${cells}-${process.pid}-${i}`)
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

async function heal (cell: Cell): Promise<void> {
  for (const undo of cell.undoActions.toReversed()) await undo()
}

/** Tells a process to stop; the heal waits for its graceful end. */
function drain (cell: Cell, fault: Fault): void {
  const name = entryFaults.has(fault) ? 'entry/entry-1' : `agent/${cell.targetBackend}`
  const item = cell.deployment.getProcess(name)
  const ended = item.waitForExit()
  item.signal('SIGTERM')
  cell.undoActions.push(async () => {
    const end = await withTimeout(cell, `the end of ${name}`, ended)
    if (!hardFaults.has(fault)) assert.equal(end, '0', `process "${name}" ended with ${end} after SIGTERM`)
    await ensureRunning(cell, name)
  })
}

async function runModelCell (cell: Cell, fault: Fault): Promise<string[]> {
  const trigger = stepTriggers[cell.step]
  if (!trigger) throw new Error(`step "${cell.step}" has no trigger`)
  const fromLine = cell.deployment.getProcess('entry/entry-1').readLines().length
  let text = ''
  const asked = startCompletion(cell, 0, cell.prompt, (part) => { text += part })
  cell.targetBackend = await trigger(cell, fromLine, () => text)
  if (cell.step === Step.Draining) drain(cell, fault)
  await faultInjectors[fault](cell)
  const otherPrompt = `${cell.prompt} other`
  const [done, other] = await withTimeout(cell, 'the answers', Promise.all([asked, startCompletion(cell, 1, otherPrompt, () => {})]))
  await heal(cell)
  const ended = await checkCompletion(cell, cell.prompt, done, connectionLossFaults.has(fault))
  const otherEnded = await checkCompletion(cell, otherPrompt, other, false)
  if (!hardFaults.has(fault)) assert.equal(ended, RequestOutcome.Answered, JSON.stringify(done))
  if (!hardFaults.has(fault) && cell.step === Step.Draining) {
    // A second prefill means that the stop cut the answer and another engine went on with it.
    assert.equal(await countPrefills(cell, cell.prompt), 1, 'the graceful stop cut the answer off')
  }
  return [withCode(ended, done.code), withCode(otherEnded, other.code)]
}

/** Adds the code of a refusal. */
function withCode (ended: string, code: unknown): string {
  return code === undefined ? ended : `${ended}: ${String(code)}`
}

function codeOf (answer: ServiceResponse): unknown {
  return (answer.body.error as { code?: string } | undefined)?.code
}

/** Reads through the other entry, as a caller who has no part in the fault. */
async function read (cell: Cell): Promise<string> {
  const { deployment } = cell
  const { firm } = deployment
  const path = `${firm.readPath}/1`
  const options = { address: deployment.getEntryAddress(1), key: firm.paidKey, service: firm.service, method: 'GET', path }
  const answer = await withTimeout(cell, 'a read', callService(options))
  assert.equal(answer.connectionError, undefined)
  assert.ok(answer.status === 200 || answer.outcome !== undefined, `a read was answered with status ${answer.status}`)
  return withCode(answer.status === 200 ? RequestOutcome.Answered : RequestOutcome.Refused, codeOf(answer))
}

/** Checks that late runs don't belie what the callers were told last. */
async function checkRuns (cell: Cell, first: ServiceResponse, second: ServiceResponse): Promise<void> {
  await sleep(cell, settleMs)
  const runs = await countRuns(cell, cell.ticket)
  const isCertain = second.outcome === 'not_run' || cell.isTicketVoided
  assert.ok(runs <= (isCertain ? 0 : 1), `the call ran ${runs} times after "${first.outcome}" and "${second.outcome}"`)
}

async function runCallCell (cell: Cell, fault: Fault): Promise<string[]> {
  const issued = await withTimeout(cell, 'a ticket', requestTicket(cell, 0))
  assert.equal(issued.status, 201, JSON.stringify(issued))
  cell.ticket = String(issued.body.ticket)
  cell.targetBackend = getIssuingAgent(cell.ticket)
  if (cell.step === Step.TicketIssued) await faultInjectors[fault](cell)
  const calling = callUnderTicket(cell, 0)
  if (cell.step === Step.CallSent) {
    await waitForCallStart(cell)
    await faultInjectors[fault](cell)
  }
  const first = await withTimeout(cell, 'the call', calling)
  const ended = await checkServiceCall(cell, first)
  if (ended === RequestOutcome.ConnectionLost) assert.ok(connectionLossFaults.has(fault), `the connection broke: ${first.connectionError}`)
  if (cell.step === Step.CallAnswered) await faultInjectors[fault](cell)
  const second = await withTimeout(cell, 'the repeat of the call', callUnderTicket(cell, 1))
  const repeated = await checkServiceCall(cell, second)
  const other = await read(cell)
  await heal(cell)
  await checkRuns(cell, first, second)
  return [withCode(ended, codeOf(first)), `repeat ${withCode(repeated, codeOf(second))}`, `read ${other}`]
}

/**
 * Runs one cell.
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
    assert.ok(await readRevision(cell, entry) >= before, `entry ${entry + 1} went back from revision ${before}`)
  }
  await deployment.waitUntilServing(servingMs)
  return { fault, step, ended, freeMs: Math.round(freeMs) }
}
