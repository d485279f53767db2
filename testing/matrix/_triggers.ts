/**
 * Waits until a request reaches a step of the matrix and finds the backend server that is processing it.
 */
import { parseTicket } from '../../core/ticket/mod.ts'
import { Step } from './_cells.ts'
import { listBackends, maxTokens, waitUntil } from './_world.ts'
import type { Cell } from './_world.ts'
import { computeExpectedAnswer } from '../engine/mod.ts'

/** A stream that an engine holds, and the name of its backend server. */
interface HeldStream {
  backend: string
  offset: number
  phase: string
}

const stepTimeoutMs = 6000
const midStreamTokens = 8

async function readHeldStreams (cell: Cell): Promise<HeldStream[]> {
  const backends = listBackends(cell, ['prefill', 'decode'])
  const pages = await Promise.all(backends.map((name) => cell.deployment.readControlPage(`backend/${name}`, '/v1/held')))
  return pages.flatMap((page, i) => {
    return (page.streams as HeldStream[]).map((stream) => ({ ...stream, backend: backends[i] ?? '' }))
  })
}

/** Returns the first backend server that holds a stream in a phase. */
async function findBackendInPhase (cell: Cell, phase: string): Promise<string | undefined> {
  return (await readHeldStreams(cell)).find((item) => item.phase === phase)?.backend
}

/** Returns the decode backend server that the entry has logged as chosen since line `fromLine` of its output. */
async function findChosenDecode (cell: Cell, fromLine: number): Promise<string | undefined> {
  const decodes = listBackends(cell, ['decode'])
  const lines = cell.deployment.getProcess('entry/entry-1').readLines().slice(fromLine)
  return decodes.find((name) => lines.some((line) => line.includes(`"chosen":"${name}"`)))
}

/** Counts the tokens of a generated text; each token begins with a space. */
export function countTokens (text: string): number {
  return text.split(' ').length - 1
}

/** Waits until the caller has received `count` tokens; returns the backend server that decodes them. */
async function waitForTokens (cell: Cell, count: number, text: () => string): Promise<string> {
  await waitUntil(cell, `${count} tokens`, stepTimeoutMs, async () => countTokens(text()) >= count ? true : undefined)
  return await findBackendInPhase(cell, 'decode') ?? listBackends(cell, ['decode'])[0] ?? ''
}

/** Waits for a step; `text` returns what the caller has received so far. */
type Trigger = (cell: Cell, fromLine: number, text: () => string) => Promise<string>

/** The trigger of each step of a model request: waits for the step and returns the name of the backend server that processes it. */
export const stepTriggers: { [S in Step]?: Trigger } = {
  [Step.Reserving]: (cell, fromLine) => waitUntil(
    cell, 'the choice of a decode backend', stepTimeoutMs, () => findChosenDecode(cell, fromLine)
  ),
  [Step.Prefilling]: (cell) => waitUntil(cell, 'a prefill', stepTimeoutMs, () => findBackendInPhase(cell, 'prefill')),
  [Step.Transferring]: (cell) => waitUntil(cell, 'a transfer', stepTimeoutMs, () => findBackendInPhase(cell, 'decode')),
  [Step.FirstToken]: (cell, _fromLine, text) => waitForTokens(cell, 1, text),
  [Step.MidStream]: (cell, _fromLine, text) => waitForTokens(cell, midStreamTokens, text),
  [Step.LastToken]: (cell, _fromLine, text) => {
    return waitForTokens(cell, computeExpectedAnswer(cell.prompt, maxTokens).tokens.length - 1, text)
  },
  [Step.Draining]: (cell, _fromLine, text) => waitForTokens(cell, midStreamTokens, text)
}

/** Returns the name of the service agent that issued a ticket. */
export function getIssuingAgent (ticket: string): string {
  return parseTicket(ticket).unwrap().agent
}

/** Waits until the service has begun to run the call under the cell's ticket. */
export async function waitForCallStart (cell: Cell): Promise<void> {
  await waitUntil(cell, 'the start of the call', stepTimeoutMs, async () => {
    const { runs } = await cell.deployment.readControlPage(`backend/${cell.targetBackend}`, '/runs') as { runs: Record<string, number> }
    return runs[cell.ticket] === undefined ? undefined : true
  })
}
