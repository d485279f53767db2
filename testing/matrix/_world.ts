/**
 * What one cell of the matrix knows while it runs.
 */
import { callService, requestCompletion, issueTicket } from '../caller/mod.ts'
import type { Completion, ServiceResponse } from '../caller/mod.ts'
import type { Deployment } from '../deployment/mod.ts'
import type { Step } from './_cells.ts'

/** The state of a cell. */
export interface Cell {
  deployment: Deployment
  step: Step
  prompt: string
  /** Name of the backend server that the fault hits; the agent beside it has the same name. */
  targetBackend: string
  callerAbort: AbortController
  ticket: string
  isTicketVoided: boolean
  /** Runs by call id that a killed service had counted. */
  runsBeforeKill: Map<string, number>
  /** Prefills by prompt hash that a killed engine had counted. */
  prefillsBeforeKill: Map<string, number>
  /** Undoes the fault and starts again what died. */
  undoActions: Array<() => Promise<void>>
}

/** Highest number of tokens that a caller of the matrix asks for. */
export const maxTokens = 40
const pollMs = 4
const answerLimitMs = 25_000

/** Waits for a number of milliseconds. */
export function sleep (cell: Cell, ms: number): Promise<void> {
  return new Promise((resolve) => cell.deployment.timer.after(ms, resolve))
}

/** Waits until a check answers a value, and fails after the time in milliseconds. */
export async function waitUntil<T> (cell: Cell, what: string, limitMs: number, check: () => Promise<T | undefined>): Promise<T> {
  const { timer } = cell.deployment
  const endMs = timer.now() + limitMs
  for (;;) {
    const value = await check()
    if (value !== undefined) return value
    if (timer.now() > endMs) throw new Error(`${what}: not within ${limitMs} ms`)
    await sleep(cell, pollMs)
  }
}

/** Fails when work takes longer than any deadline of the system allows. */
export async function withTimeout<T> (cell: Cell, what: string, work: Promise<T>): Promise<T> {
  let limit = { cancel: (): void => {} }
  const late = new Promise<never>((_resolve, reject) => {
    limit = cell.deployment.timer.after(answerLimitMs, () => reject(new Error(`${what}: no end after ${answerLimitMs} ms`)))
  })
  try {
    return await Promise.race([work, late])
  } finally {
    limit.cancel()
  }
}

/** Sends the model request of a caller through an entry. */
export function startCompletion (cell: Cell, entry: number, prompt: string, onText: (text: string) => void): Promise<Completion> {
  const { firm } = cell.deployment
  const signal = entry === 0 ? cell.callerAbort.signal : undefined
  const address = cell.deployment.getEntryAddress(entry)
  return requestCompletion({ address, key: firm.paidKey, model: firm.model, prompt, maxTokens, signal, onText })
}

/** Asks for a ticket through an entry. */
export function requestTicket (cell: Cell, entry: number): Promise<ServiceResponse> {
  const { firm } = cell.deployment
  return issueTicket({ address: cell.deployment.getEntryAddress(entry), key: firm.paidKey, service: firm.service })
}

/** Makes the call under the cell's ticket through an entry. */
export function callUnderTicket (cell: Cell, entry: number): Promise<ServiceResponse> {
  const { firm } = cell.deployment
  return callService({
    address: cell.deployment.getEntryAddress(entry),
    key: firm.paidKey,
    service: firm.service,
    method: 'POST',
    path: firm.writePath,
    ticket: cell.ticket,
    body: '{"letter":"RN 1"}',
    signal: entry === 0 ? cell.callerAbort.signal : undefined
  })
}

/** Names the backend servers of a role. */
export function listBackends (cell: Cell, roles: string[]): string[] {
  return cell.deployment.layout.backends.filter((item) => roles.includes(item.role)).map((item) => item.name)
}
