/**
 * Refusals as callers see them: the HTTP status of each code, and the body in the OpenAI error format.
 */
import { Outcome, RefusalCode } from '../core/types/mod.ts'
import { BodyFault } from '../http/mod.ts'
import type { IncomingMessage, ServerResponse } from 'node:http'

/** A refusal that is sent to a caller. */
export interface HttpRefusal {
  status: number
  /** Stable code: a `RefusalCode`, or the name of an error in the request. */
  code: string
  message: string
  outcome: Outcome
  /** Name of the invalid field of the request. */
  param?: string
  retryAfterMs?: number
}

const statusByCode: { [C in RefusalCode]: number } = {
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

const messageByCode: { [C in RefusalCode]: string } = {
  [RefusalCode.NoCapacity]: 'no backend server has a free seat and memory for this tier',
  [RefusalCode.Draining]: 'the backend server is draining and takes no new work',
  [RefusalCode.LeaseExpired]: 'the lease with the backend server expired',
  [RefusalCode.Stale]: 'the attempt was superseded',
  [RefusalCode.Unreachable]: 'the backend server cannot be reached',
  [RefusalCode.BackendError]: 'the backend server failed',
  [RefusalCode.PrefillExpired]: 'the prefill result expired before its transfer',
  [RefusalCode.ModelNotServed]: 'no backend server serves this model and version now',
  [RefusalCode.TargetMissed]: 'the latency target cannot be met now',
  [RefusalCode.LimitExceeded]: 'the rate or concurrency limit of this caller is reached',
  [RefusalCode.DeadlineExceeded]: 'the deadline passed',
  [RefusalCode.NoBackend]: 'no live backend server is known',
  [RefusalCode.TicketUnknown]: 'the ticket cannot be used',
  [RefusalCode.TicketRequired]: 'this call is not idempotent and needs a ticket: POST /tickets, then send it as x-ticket',
  [RefusalCode.Cancelled]: 'the request was cancelled',
  [RefusalCode.RetryBudgetExhausted]: 'the retry budget is exhausted'
}

/**
 * Creates the refusal for a code, with its HTTP status and message.
 */
export function createRefusal (code: RefusalCode, outcome: Outcome, retryAfterMs?: number): HttpRefusal {
  return { status: statusByCode[code], code, message: messageByCode[code], outcome, retryAfterMs }
}

/**
 * Creates a refusal for an error in the request itself; its outcome is `NotRun`.
 */
export function createClientError (status: number, code: string, message: string, param?: string): HttpRefusal {
  return { status, code, message, outcome: Outcome.NotRun, param }
}

/** Delay in milliseconds after which a caller may retry whose body the process had no memory for. */
const crowdedRetryMs = 1_000

/**
 * Creates the refusal of a request whose body is not read to its end; `maxBytes` is the limit on bodies.
 */
export function createBodyRefusal (fault: BodyFault, maxBytes: number): HttpRefusal {
  switch (fault) {
    case BodyFault.TooLong: return createClientError(413, fault, `body is larger than ${maxBytes} bytes`)
    case BodyFault.Stalled: return createClientError(408, fault, 'body came too slowly while memory was short')
    case BodyFault.Crowded: return { ...createClientError(503, fault, 'no memory for the body now'), retryAfterMs: crowdedRetryMs }
    case BodyFault.Broken: return createClientError(400, fault, 'body ended early')
  }
}

/**
 * Returns the refusal of a call with its true outcome: under a ticket, an earlier call may have run, whatever is wrong with this one.
 */
export function refuseUnrouted (refusal: HttpRefusal, req: IncomingMessage): HttpRefusal {
  return req.headers['x-ticket'] === undefined ? refusal : { ...refusal, outcome: Outcome.Unknown }
}

/**
 * Creates the refusal of a call whose handling met an error of this process; whether it has run is unknown.
 */
export function createHandlerError (): HttpRefusal {
  return { status: 500, code: 'internal_error', message: 'the call met an error in this process', outcome: Outcome.Unknown }
}

/**
 * Builds the OpenAI error body of a refusal.
 */
export function buildErrorBody (refusal: HttpRefusal): Record<string, unknown> {
  const { code, message, outcome, param, status } = refusal
  const type = status < 500 ? 'invalid_request_error' : 'server_error'
  return { error: { message, type, code, param: param ?? null, outcome } }
}

/**
 * Sends a refusal as the response; does nothing once headers were sent or the connection is closed.
 */
export function sendRefusal (res: ServerResponse, refusal: HttpRefusal): void {
  if (res.headersSent || res.destroyed) return
  res.statusCode = refusal.status
  res.setHeader('content-type', 'application/json')
  res.setHeader('x-briarloom-outcome', refusal.outcome)
  if (!res.req.complete) res.setHeader('connection', 'close')
  if (refusal.retryAfterMs !== undefined && refusal.retryAfterMs > 0) {
    res.setHeader('retry-after', String(Math.ceil(refusal.retryAfterMs / 1000)))
  }
  res.end(JSON.stringify(buildErrorBody(refusal)))
}
