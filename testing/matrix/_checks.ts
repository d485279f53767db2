/**
 * What must hold after each cell of the matrix.
 */
import assert from 'node:assert/strict'
import { request } from 'undici'
import { computeExpectedAnswer, hashPrompt } from '../engine/mod.ts'
import { Fault } from './_cells.ts'
import { listBackends, maxTokens, waitUntil } from './_world.ts'
import type { Completion, ServiceResponse } from '../caller/mod.ts'
import type { Cell } from './_world.ts'

/** Names how a caller's request ended. */
export enum RequestOutcome {
  Answered = 'answered',
  Refused = 'refused',
  FailedMidStream = 'broken with a stated outcome',
  ConnectionLost = 'connection lost'
}

/** Time in milliseconds after the heal within which every engine must be empty: the lease, the start, one round of cancels. */
export const releaseTimeoutMs = 3000
/** Time in milliseconds within which a change of configuration must be in force. */
const inForceMs = 6000

/** Reads counts from the stand-ins of some roles; those that do not run have none. */
async function readCounts (cell: Cell, roles: string[], path: string): Promise<Array<Record<string, unknown>>> {
  const names = listBackends(cell, roles).map((name) => `backend/${name}`)
  const running = names.filter((name) => cell.deployment.getProcess(name).isRunning())
  return await Promise.all(running.map((name) => cell.deployment.readControlPage(name, path)))
}

/** Counts the prefills of a prompt over all engines, also those of engines that were killed. */
export async function countPrefills (cell: Cell, prompt: string): Promise<number> {
  const key = String(hashPrompt(prompt))
  const pages = await readCounts(cell, ['prefill'], '/ran')
  return pages.reduce((sum, page) => sum + Number(page[key] ?? 0), cell.prefillsBeforeKill.get(key) ?? 0)
}

/** Counts the runs of a call over all services, also those of services that were killed. */
export async function countRuns (cell: Cell, callId: string): Promise<number> {
  const pages = await readCounts(cell, ['service'], '/runs')
  const counts = pages.map((page) => (page.runs as Record<string, number>)[callId] ?? 0)
  return counts.reduce((sum, count) => sum + count, cell.runsBeforeKill.get(callId) ?? 0)
}

/** Checks that a caller has its own whole answer once, or a truthful refusal. */
export async function checkCompletion (cell: Cell, prompt: string, done: Completion, mayLose: boolean): Promise<RequestOutcome> {
  const expected = computeExpectedAnswer(prompt, maxTokens)
  const whole = expected.tokens.join('')
  assert.ok(whole.startsWith(done.text), `text "${done.text}" does not begin the answer "${whole}"`)
  assert.ok(done.endCount <= 1, `the answer ended ${done.endCount} times`)
  if (done.endCount === 1 && done.code === undefined) {
    assert.equal(done.text, whole)
    assert.equal(done.finishReason, expected.reason)
    return RequestOutcome.Answered
  }
  if (done.connectionError !== undefined || done.code === undefined) {
    assert.ok(mayLose, `the connection broke: ${JSON.stringify(done)}`)
    return RequestOutcome.ConnectionLost
  }
  assert.ok(done.outcome === 'not_run' || done.outcome === 'unknown', `a refusal states the outcome "${done.outcome}"`)
  if (done.outcome === 'not_run') {
    assert.equal(done.text, '', 'not_run came after a part of the answer')
    assert.equal(await countPrefills(cell, prompt), 0, `not_run with code ${done.code}, but a prefill of the prompt ran`)
  }
  return done.status === 200 ? RequestOutcome.FailedMidStream : RequestOutcome.Refused
}

/** Checks what one call under a ticket was told against the runs at that moment. */
export async function checkServiceCall (cell: Cell, answer: ServiceResponse): Promise<RequestOutcome> {
  const runs = await countRuns(cell, cell.ticket)
  assert.ok(runs <= 1, `the call ran ${runs} times`)
  if (answer.connectionError !== undefined) return RequestOutcome.ConnectionLost
  if (answer.status === 200) {
    assert.equal(runs, 1)
    assert.equal(answer.body.call_id, cell.ticket)
    return RequestOutcome.Answered
  }
  assert.ok(answer.outcome === 'not_run' || answer.outcome === 'unknown', `a refusal states the outcome "${answer.outcome}"`)
  if (answer.outcome === 'not_run') assert.equal(runs, 0, 'not_run, but the call ran')
  return RequestOutcome.Refused
}

/** Names what the engines and the processes of the system still hold. */
async function leftovers (cell: Cell): Promise<string[]> {
  const engines = listBackends(cell, ['prefill', 'decode']).map(async (name) => {
    const { pieces_used: pieces, seats_used: seats } = await cell.deployment.readControlPage(`backend/${name}`, '/counters')
    if (pieces === 0 && seats === 0) return []
    const { streams } = await cell.deployment.readControlPage(`backend/${name}`, '/v1/held')
    return [`engine "${name}" holds ${JSON.stringify(streams)}`]
  })
  const { entries, backends } = cell.deployment.layout
  const daemons = [...entries, ...backends].map(async (host) => {
    const status = await cell.deployment.queryStatus(host)
    if (!status) return [`process "${host.name}" does not answer`]
    const held = heldFields.filter((field) => !isEmpty(status[field]))
    return held.map((field) => `process "${host.name}" has ${field} ${JSON.stringify(status[field])}`)
  })
  return (await Promise.all([...engines, ...daemons])).flat()
}

const heldFields = ['requests', 'calls', 'reservations', 'queued', 'running']

function isEmpty (value: unknown): boolean {
  return value === undefined || value === 0 || (Array.isArray(value) && value.length === 0)
}

/** Checks that engines, entries and agents hold nothing within the time; answers how long it took in milliseconds. */
export async function checkAllReleased (cell: Cell): Promise<number> {
  const startMs = cell.deployment.timer.now()
  let last: string[] = []
  try {
    await waitUntil(cell, 'nothing held', releaseTimeoutMs, async () => {
      last = await leftovers(cell)
      return last.length === 0 ? true : undefined
    })
  } catch {
    assert.fail(`after ${releaseTimeoutMs} ms: ${last.join('; ')}`)
  }
  return cell.deployment.timer.now() - startMs
}

/** Reads the revision in force at an entry; 0 when it does not answer. */
export async function readRevision (cell: Cell, entry: number): Promise<number> {
  try {
    const res = await request(`http://${cell.deployment.getEntryAddress(entry)}/readyz`, { reset: true })
    return (await res.body.json() as { revision: number }).revision
  } catch {
    return 0
  }
}

/** Checks that the newest revision of the configuration is in force at every entry within the time. */
export async function checkNewestRevisionInForce (cell: Cell): Promise<void> {
  const { revision } = await cell.deployment.readControlPage('config', '/v1/records') as { revision: number }
  for (const entry of cell.deployment.layout.entries.keys()) {
    await waitUntil(cell, `revision ${revision} in force at entry ${entry + 1}`, inForceMs, async () => {
      return await readRevision(cell, entry) >= revision ? true : undefined
    })
  }
}

/** Faults after which the caller may lose its connection without a word. */
export const connectionLossFaults = new Set([Fault.KillEntry, Fault.CallerDisconnects])
