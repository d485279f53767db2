/**
 * State of one cell of the matrix, and the requests and waits that cells have in common.
 */
import { callService, requestCompletion, issueTicket } from '../caller/mod.ts'
import type { Completion, ServiceResponse } from '../caller/mod.ts'
import type { Deployment } from '../deployment/mod.ts'
import type { Step } from './_cells.ts'

/** The state of a cell while it runs. */
export interface Cell {
  deployment: Deployment
  step: Step
  /** Prompt of the request at whose step the fault occurs. */
  prompt: string
  /** Name of the backend server that the fault concerns; the agent beside it has the same name. */
  targetBackend: string
  /** Cancels the requests through the first entry. */
  callerAbort: AbortController
  /** Ticket of the service call, which is also its call id. */
  ticket: string
  /** Whether the caller voided the ticket before the call ran. */
  isTicketVoided: boolean
  /** Runs by call id that a service had counted before it was killed. */
  runsBeforeKill: Map<string, number>
  /** Prefills by prompt hash that an engine had counted before it was killed. */
  prefillsBeforeKill: Map<string, number>
  /** Actions that undo the fault and restart processes that ended; they run in reverse order. */
  undoActions: Array<() => Promise<void>>
}

/** Maximum number of output tokens of each model request. */
export const maxTokens = 40
const pollMs = 4
/** Longer than any deadline of the system; a request that takes more is stuck. */
const requestTimeoutMs = 25_000

/** Waits for a number of milliseconds. */
export function sleep (cell: Cell, ms: number): Promise<void> {
  return new Promise((resolve) => cell.deployment.timer.after(ms, resolve))
}

/** Waits until a check returns a value other than undefined; throws after `timeoutMs` milliseconds. */
export async function waitUntil<T> (cell: Cell, condition: string, timeoutMs: number, check: () => Promise<T | undefined>): Promise<T> {
  const { timer } = cell.deployment
  const deadlineMs = timer.now() + timeoutMs
  for (;;) {
    const value = await check()
    if (value !== undefined) return value
    if (timer.now() > deadlineMs) throw new Error(`${condition} not seen within ${timeoutMs} ms`)
    await sleep(cell, pollMs)
  }
}

/** Waits for work and returns its result; throws after 25 s, which is longer than any deadline of the system. */
export async function withTimeout<T> (cell: Cell, what: string, work: Promise<T>): Promise<T> {
  let timeout = { cancel: (): void => {} }
  const timedOut = new Promise<never>((_resolve, reject) => {
    timeout = cell.deployment.timer.after(requestTimeoutMs, () => reject(new Error(`${what} not finished after ${requestTimeoutMs} ms`)))
  })
  try {
    return await Promise.race([work, timedOut])
  } finally {
    timeout.cancel()
  }
}

/** Sends a model request through an entry; `entry` is its index. */
export function startCompletion (cell: Cell, entry: number, prompt: string, onText: (text: string) => void): Promise<Completion> {
  const { firm } = cell.deployment
  const signal = entry === 0 ? cell.callerAbort.signal : undefined
  const address = cell.deployment.getEntryAddress(entry)
  return requestCompletion({ address, key: firm.paidKey, model: firm.model, prompt, maxTokens, signal, onText })
}

/** Requests a ticket through an entry; `entry` is its index. */
export function requestTicket (cell: Cell, entry: number): Promise<ServiceResponse> {
  const { firm } = cell.deployment
  return issueTicket({ address: cell.deployment.getEntryAddress(entry), key: firm.paidKey, service: firm.service })
}

/** Sends the non-idempotent service call under the cell's ticket through an entry; `entry` is its index. */
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

/** Lists the names of the backend servers of some roles. */
export function listBackends (cell: Cell, roles: string[]): string[] {
  return cell.deployment.layout.backends.filter((item) => roles.includes(item.role)).map((item) => item.name)
}
