/**
 * Waits for the moment at which a step of the matrix is reached and finds the backend server that it happens at.
 */
import { parseTicket } from '../../core/ticket/mod.ts'
import { Step } from './_cells.ts'
import { listBackends, maxTokens, waitUntil } from './_world.ts'
import type { Cell } from './_world.ts'
import { computeExpectedAnswer } from '../engine/mod.ts'

interface Held {
  backend: string
  offset: number
  phase: string
}

const stepLimitMs = 6000
const midTokens = 8

async function held (cell: Cell): Promise<Held[]> {
  const backends = listBackends(cell, ['prefill', 'decode'])
  const pages = await Promise.all(backends.map((name) => cell.deployment.readControlPage(`backend/${name}`, '/v1/held')))
  return pages.flatMap((page, i) => {
    return (page.streams as Held[]).map((stream) => ({ ...stream, backend: backends[i] ?? '' }))
  })
}

async function holderOf (cell: Cell, phase: string): Promise<string | undefined> {
  return (await held(cell)).find((item) => item.phase === phase)?.backend
}

/** Finds the decode backend server that the entry chose last, in its decision log. */
async function chosenDecode (cell: Cell, fromLine: number): Promise<string | undefined> {
  const decodes = listBackends(cell, ['decode'])
  const lines = cell.deployment.getProcess('entry/entry-1').readLines().slice(fromLine)
  return decodes.find((name) => lines.some((line) => line.includes(`"chosen":"${name}"`)))
}

/** Counts the tokens of a text. */
export function countTokens (text: string): number {
  return text.split(' ').length - 1
}

async function afterTokens (cell: Cell, count: number, text: () => string): Promise<string> {
  await waitUntil(cell, `${count} tokens`, stepLimitMs, async () => countTokens(text()) >= count ? true : undefined)
  return await holderOf(cell, 'decode') ?? listBackends(cell, ['decode'])[0] ?? ''
}

type Trigger = (cell: Cell, fromLine: number, text: () => string) => Promise<string>

/** Waits for each step of a model request; answers the name of the backend server that it happens at. */
export const stepTriggers: { [S in Step]?: Trigger } = {
  [Step.Reserving]: (cell, fromLine) => waitUntil(cell, 'the choice of a decode backend', stepLimitMs, () => chosenDecode(cell, fromLine)),
  [Step.Prefilling]: (cell) => waitUntil(cell, 'a prefill', stepLimitMs, () => holderOf(cell, 'prefill')),
  [Step.Transferring]: (cell) => waitUntil(cell, 'a transfer', stepLimitMs, () => holderOf(cell, 'decode')),
  [Step.FirstToken]: (cell, _fromLine, text) => afterTokens(cell, 1, text),
  [Step.MidStream]: (cell, _fromLine, text) => afterTokens(cell, midTokens, text),
  [Step.LastToken]: (cell, _fromLine, text) => {
    return afterTokens(cell, computeExpectedAnswer(cell.prompt, maxTokens).tokens.length - 1, text)
  },
  [Step.Draining]: (cell, _fromLine, text) => afterTokens(cell, midTokens, text)
}

/** Names the service host that issued a ticket. */
export function getIssuingAgent (ticket: string): string {
  return parseTicket(ticket).unwrap().agent
}

/** Waits until the service began to run the call under the cell's ticket. */
export async function waitForCallStart (cell: Cell): Promise<void> {
  await waitUntil(cell, 'the run of the call', stepLimitMs, async () => {
    const { runs } = await cell.deployment.readControlPage(`backend/${cell.targetBackend}`, '/runs') as { runs: Record<string, number> }
    return runs[cell.ticket] === undefined ? undefined : true
  })
}
