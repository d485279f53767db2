/**
 * How refusals look to callers: the HTTP status for each code and the body in the OpenAI error shape.
 */
import { Outcome, RefusalCode } from '../core/types/mod.ts'
import type { ServerResponse } from 'node:http'

/** Describes a refusal towards a caller. */
export interface HttpRefusal {
  status: number
  /** Stable code: a `RefusalCode` or the name of a fault in the request. */
  code: string
  message: string
  outcome: Outcome
  /** Field of the request that is at fault. */
  param?: string
  retryAfterMs?: number
}

const statuses: { [C in RefusalCode]: number } = {
  [RefusalCode.NoCapacity]: 503,
  [RefusalCode.Draining]: 503,
  [RefusalCode.LeaseExpired]: 503,
  [RefusalCode.Stale]: 503,
  [RefusalCode.Unreachable]: 502,
  [RefusalCode.BackendError]: 502,
  [RefusalCode.PrefillExpired]: 503,
  [RefusalCode.ModelNotServed]: 503,
  [RefusalCode.TargetMissed]: 503,
  [RefusalCode.LimitExceeded]: 429,
  [RefusalCode.DeadlineExceeded]: 504,
  [RefusalCode.NoBackend]: 503,
  [RefusalCode.TicketUnknown]: 409,
  [RefusalCode.TicketRequired]: 428,
  [RefusalCode.Cancelled]: 499,
  [RefusalCode.RetryBudgetExhausted]: 503
}

const messages: { [C in RefusalCode]: string } = {
  [RefusalCode.NoCapacity]: 'no backend server has a free seat and memory for this tier',
  [RefusalCode.Draining]: 'the backend server is leaving',
  [RefusalCode.LeaseExpired]: 'the lease with the backend server expired',
  [RefusalCode.Stale]: 'the attempt was superseded',
  [RefusalCode.Unreachable]: 'the backend server can not be reached',
  [RefusalCode.BackendError]: 'the backend server failed',
  [RefusalCode.PrefillExpired]: 'the prefill result expired before its transfer',
  [RefusalCode.ModelNotServed]: 'no backend server serves this model and version now',
  [RefusalCode.TargetMissed]: 'the latency target can not be met now',
  [RefusalCode.LimitExceeded]: 'the limit of this caller is used up',
  [RefusalCode.DeadlineExceeded]: 'the deadline passed',
  [RefusalCode.NoBackend]: 'no live backend server is known',
  [RefusalCode.TicketUnknown]: 'the ticket is not usable',
  [RefusalCode.TicketRequired]: 'this call is not idempotent and needs a ticket: POST /tickets, then send it as x-ticket',
  [RefusalCode.Cancelled]: 'the request was cancelled',
  [RefusalCode.RetryBudgetExhausted]: 'the retry budget is used up'
}

/**
 * Describes a refusal by its code.
 */
export function createRefusal (code: RefusalCode, outcome: Outcome, retryAfterMs?: number): HttpRefusal {
  return { status: statuses[code], code, message: messages[code], outcome, retryAfterMs }
}

/**
 * Describes a fault in the request itself.
 */
export function createClientError (status: number, code: string, message: string, param?: string): HttpRefusal {
  return { status, code, message, outcome: Outcome.NotRun, param }
}

/**
 * Builds the error body of a refusal.
 */
export function buildErrorBody (refused: HttpRefusal): Record<string, unknown> {
  const { code, message, outcome, param, status } = refused
  const type = status < 500 ? 'invalid_request_error' : 'server_error'
  return { error: { message, type, code, param: param ?? null, outcome } }
}

/**
 * Answers with a refusal; does nothing once headers were sent.
 */
export function sendRefusal (res: ServerResponse, refused: HttpRefusal): void {
  if (res.headersSent || res.destroyed) return
  res.statusCode = refused.status
  res.setHeader('content-type', 'application/json')
  res.setHeader('x-briarloom-outcome', refused.outcome)
  if (refused.status === 413) res.setHeader('connection', 'close')
  if (refused.retryAfterMs !== undefined && refused.retryAfterMs > 0) {
    res.setHeader('retry-after', String(Math.ceil(refused.retryAfterMs / 1000)))
  }
  res.end(JSON.stringify(buildErrorBody(refused)))
}
