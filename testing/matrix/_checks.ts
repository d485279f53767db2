/**
 * Checks that must pass in each cell of the matrix.
 */
import assert from 'node:assert/strict'
import { request } from 'undici'
import { computeExpectedAnswer, hashPrompt } from '../engine/mod.ts'
import { Fault } from './_cells.ts'
import { listBackends, maxTokens, waitUntil } from './_world.ts'
import type { Completion, ServiceResponse } from '../caller/mod.ts'
import type { Cell } from './_world.ts'

/** How a caller's request ended. */
export enum RequestOutcome {
  /** The caller received the whole answer. */
  Answered = 'answered',
  /** The entry refused the request with an HTTP error that states an outcome. */
  Refused = 'refused',
  /** The stream had begun and ended with an error that states an outcome. */
  FailedMidStream = 'broken with a stated outcome',
  /** The connection was lost without an error from the entry. */
  ConnectionLost = 'connection lost'
}

/** Time in milliseconds from the undoing of the fault to the release of all work: the lease, a process start, one round of cancels. */
export const releaseTimeoutMs = 3000
/** Time in milliseconds within which a configuration change must be in force. */
const revisionTimeoutMs = 6000

/** Reads a page of counts from each running backend server of some roles; those that are not running keep no counts. */
async function readCounts (cell: Cell, roles: string[], path: string): Promise<Array<Record<string, unknown>>> {
  const names = listBackends(cell, roles).map((name) => `backend/${name}`)
  const running = names.filter((name) => cell.deployment.getProcess(name).isRunning())
  return await Promise.all(running.map((name) => cell.deployment.readControlPage(name, path)))
}

/** Counts the prefills of a prompt at all engines, including those that were killed. */
export async function countPrefills (cell: Cell, prompt: string): Promise<number> {
  const key = String(hashPrompt(prompt))
  const pages = await readCounts(cell, ['prefill'], '/ran')
  return pages.reduce((sum, page) => sum + Number(page[key] ?? 0), cell.prefillsBeforeKill.get(key) ?? 0)
}

/** Counts the runs of a call at all service backend servers, including those that were killed. */
export async function countRuns (cell: Cell, callId: string): Promise<number> {
  const pages = await readCounts(cell, ['service'], '/runs')
  const counts = pages.map((page) => (page.runs as Record<string, number>)[callId] ?? 0)
  return counts.reduce((sum, count) => sum + count, cell.runsBeforeKill.get(callId) ?? 0)
}

/**
 * Checks that a caller received its own whole answer once, or an error whose outcome is true.
 *
 * @param mayLoseConnection whether the fault allows that the caller loses its connection without an error response
 * @returns how the request ended
 */
export async function checkCompletion (
  cell: Cell, prompt: string, completion: Completion, mayLoseConnection: boolean
): Promise<RequestOutcome> {
  const expected = computeExpectedAnswer(prompt, maxTokens)
  const wholeText = expected.tokens.join('')
  assert.ok(wholeText.startsWith(completion.text), `text "${completion.text}" is not a prefix of the answer "${wholeText}"`)
  assert.ok(completion.endCount <= 1, `the answer ended ${completion.endCount} times`)
  if (completion.endCount === 1 && completion.code === undefined) {
    assert.equal(completion.text, wholeText)
    assert.equal(completion.finishReason, expected.reason)
    return RequestOutcome.Answered
  }
  if (completion.connectionError !== undefined || completion.code === undefined) {
    assert.ok(mayLoseConnection, `connection lost: ${JSON.stringify(completion)}`)
    return RequestOutcome.ConnectionLost
  }
  assert.ok(completion.outcome === 'not_run' || completion.outcome === 'unknown', `an error has the outcome "${completion.outcome}"`)
  if (completion.outcome === 'not_run') {
    assert.equal(completion.text, '', 'not_run, but part of the answer was sent')
    assert.equal(await countPrefills(cell, prompt), 0, `not_run with code ${completion.code}, but a prefill of the prompt ran`)
  }
  return completion.status === 200 ? RequestOutcome.FailedMidStream : RequestOutcome.Refused
}

/** Checks the response to one call under a ticket against the number of runs so far; returns how the call ended. */
export async function checkServiceCall (cell: Cell, response: ServiceResponse): Promise<RequestOutcome> {
  const runs = await countRuns(cell, cell.ticket)
  assert.ok(runs <= 1, `the call ran ${runs} times`)
  if (response.connectionError !== undefined) return RequestOutcome.ConnectionLost
  if (response.status === 200) {
    assert.equal(runs, 1)
    assert.equal(response.body.call_id, cell.ticket)
    return RequestOutcome.Answered
  }
  assert.ok(response.outcome === 'not_run' || response.outcome === 'unknown', `an error has the outcome "${response.outcome}"`)
  if (response.outcome === 'not_run') assert.equal(runs, 0, 'not_run, but the call ran')
  return RequestOutcome.Refused
}

/** Describes the work that engines, entries and agents still hold, one text for each. */
async function listHeldWork (cell: Cell): Promise<string[]> {
  const engines = listBackends(cell, ['prefill', 'decode']).map(async (name) => {
    const { pieces_used: pieces, seats_used: seats } = await cell.deployment.readControlPage(`backend/${name}`, '/counters')
    if (pieces === 0 && seats === 0) return []
    const { streams } = await cell.deployment.readControlPage(`backend/${name}`, '/v1/held')
    return [`engine "${name}" holds ${JSON.stringify(streams)}`]
  })
  const { entries, backends } = cell.deployment.layout
  const daemons = [...entries, ...backends].map(async (host) => {
    const status = await cell.deployment.queryStatus(host)
    if (!status) return [`process "${host.name}" does not reply`]
    const held = heldFields.filter((field) => !isEmpty(status[field]))
    return held.map((field) => `process "${host.name}" has ${field} ${JSON.stringify(status[field])}`)
  })
  return (await Promise.all([...engines, ...daemons])).flat()
}

/** Status fields that are empty or 0 at an entry or agent without work. */
const heldFields = ['requests', 'calls', 'reservations', 'queued', 'running']

function isEmpty (value: unknown): boolean {
  return value === undefined || value === 0 || (Array.isArray(value) && value.length === 0)
}

/** Checks that engines, entries and agents release all work within `releaseTimeoutMs`; returns the time that they took in milliseconds. */
export async function checkAllReleased (cell: Cell): Promise<number> {
  const startMs = cell.deployment.timer.now()
  let heldWork: string[] = []
  try {
    await waitUntil(cell, 'release of all work', releaseTimeoutMs, async () => {
      heldWork = await listHeldWork(cell)
      return heldWork.length === 0 ? true : undefined
    })
  } catch {
    assert.fail(`work still held after ${releaseTimeoutMs} ms: ${heldWork.join('; ')}`)
  }
  return cell.deployment.timer.now() - startMs
}

/** Returns the configuration revision in force at an entry; 0 when the entry does not respond. */
export async function readRevision (cell: Cell, entry: number): Promise<number> {
  try {
    const res = await request(`http://${cell.deployment.getEntryAddress(entry)}/readyz`, { reset: true })
    return (await res.body.json() as { revision: number }).revision
  } catch {
    return 0
  }
}

/** Checks that the newest configuration revision comes into force at every entry within 6 s. */
export async function checkNewestRevisionInForce (cell: Cell): Promise<void> {
  const { revision } = await cell.deployment.readControlPage('config', '/v1/records') as { revision: number }
  for (const entry of cell.deployment.layout.entries.keys()) {
    await waitUntil(cell, `revision ${revision} in force at entry ${entry + 1}`, revisionTimeoutMs, async () => {
      return await readRevision(cell, entry) >= revision ? true : undefined
    })
  }
}

/** Faults that may lose the connection of the caller without an error response. */
export const connectionLossFaults = new Set([Fault.KillEntry, Fault.CallerDisconnects])
