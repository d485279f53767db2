/**
 * The HTTP handlers for calls of services.
 */
import { RecordKind } from '../core/records/mod.ts'
import { parseTicket } from '../core/ticket/mod.ts'
import { Outcome, RefusalCode } from '../core/types/mod.ts'
import { MessageKind } from '../wire/mod.ts'
import { identifyOrRefuse } from './_identify.ts'
import { createClientError, createRefusal, refuseUnrouted, sendRefusal } from './_refusals.ts'
import { readBody } from './_http_server.ts'
import { RpcFailure } from './_rpc.ts'
import type { Configuration } from '../core/configuration/mod.ts'
import type { ServiceRecord } from '../core/records/mod.ts'
import type { Result } from '../core/results/mod.ts'
import type { CallDone, CallMessage } from '../wire/mod.ts'
import type { Auth, Identity } from './_auth.ts'
import type { HttpCall, HttpRoute } from './_http_server.ts'
import type { Rpc, RpcReply } from './_rpc.ts'
import type { EntryStats } from './_stats.ts'

/** Configures the handlers. */
export interface ServicesOptions {
  config: Configuration
  auth: Auth
  rpc: Rpc
  maxBodyBytes: number
  /** True when the entry holds as many requests as its settings allow. */
  isFull: () => boolean
  /** Chooses a backend server of a service that is not in `exclude`, or returns why there is none. */
  chooseBackend (requestId: string, attempt: number, caller: Identity, service: string, exclude: string[]): Result<string, RefusalCode>
  /** Connects to the agent that issued a ticket; false when the connection is not open in time. */
  ensureConnected (agent: string): Promise<boolean>
  /** Takes one retry from the budget; false when the budget is exhausted. */
  consumeRetry: () => boolean
  stats: EntryStats
}

interface CallTarget {
  identity: Identity
  service: ServiceRecord
  /** Path and query at the service. */
  path: string
}

const servicesPrefix = '/services/'

/** Largest number of backend servers that one call or ticket request is sent to. */
export const maxCallAttempts = 3
/** Time in milliseconds that the exchange with the agent may take in addition to the timeout of the call itself. */
const callOverheadMs = 500
/** Hop-by-hop headers, credentials and headers of this system, which are forwarded in neither direction. */
const unforwardedHeaders = new Set(['connection', 'keep-alive', 'transfer-encoding', 'upgrade', 'te', 'trailer', 'host', 'content-length',
  'proxy-authorization', 'proxy-authenticate', 'authorization', 'x-ticket', 'x-call-id', 'expect'])

function selectForwardedHeaders (call: HttpCall, caller: string): Record<string, string> {
  const headers: Record<string, string> = {}
  for (const [name, value] of Object.entries(call.req.headers)) {
    if (unforwardedHeaders.has(name) || value === undefined) continue
    headers[name] = Array.isArray(value) ? value.join(', ') : value
  }
  headers['x-briarloom-caller'] = caller
  return headers
}

function isIdempotent (service: ServiceRecord, method: string, path: string): boolean {
  const rule = service.calls.find((item) => (item.method === '*' || item.method === method) && path.startsWith(item.path))
  return rule?.idempotent ?? false
}

/** Sends the reply of a service to the caller, or a refusal when there is none. */
function sendCallDone (call: HttpCall, done: CallDone): void {
  const reply = done.reply
  if (done.outcome !== Outcome.Done || reply === undefined) {
    // Suggests a retry only where the call is known not to have run.
    const retryAfterMs = done.outcome === Outcome.NotRun && done.code !== RefusalCode.TicketUnknown ? 1000 : undefined
    sendRefusal(call.res, createRefusal(done.code ?? RefusalCode.BackendError, done.outcome, retryAfterMs))
    return
  }
  for (const [name, value] of Object.entries(reply.headers)) {
    if (!unforwardedHeaders.has(name)) call.res.setHeader(name, value)
  }
  call.res.setHeader('x-briarloom-outcome', Outcome.Done)
  if (done.replayed) call.res.setHeader('x-briarloom-replayed', 'true')
  call.res.statusCode = reply.status
  call.res.end(reply.body)
}

/** Refusal codes of calls that got no reply from the agent. */
const failureCodes: { [F in RpcFailure]: RefusalCode } = {
  [RpcFailure.NotSent]: RefusalCode.Unreachable,
  [RpcFailure.Lost]: RefusalCode.Unreachable,
  [RpcFailure.TimedOut]: RefusalCode.DeadlineExceeded
}

/**
 * Creates the routes of services.
 */
export function createServiceRoutes (options: ServicesOptions): HttpRoute[] {
  const { config, rpc, stats } = options

  function findTarget (call: HttpCall): CallTarget | undefined {
    const identity = identifyOrRefuse(options.auth, call)
    if (identity === undefined) return undefined
    const rest = call.url.slice(servicesPrefix.length)
    const name = rest.split(/[/?]/, 1)[0] ?? ''
    const service = config.get(RecordKind.Service, decodePathSegment(name))
    if (service === undefined) {
      sendRefusal(call.res, refuseUnrouted(createClientError(404, 'service_not_found', `service "${name}" does not exist`), call.req))
      return undefined
    }
    const path = rest.slice(name.length)
    return { identity, service, path: path.startsWith('/') ? path : `/${path}` }
  }

  function sendOutcome (
    call: HttpCall, { identity, service }: CallTarget, done: Pick<CallDone, 'outcome' | 'code' | 'reply' | 'replayed'>
  ): void {
    stats.recordCall(identity.tier, service.name, done)
    sendCallDone(call, done as CallDone)
  }

  /** Sends a call with a ticket to the agent that issued the ticket. */
  async function callWithTicket (call: HttpCall, target: CallTarget, ticket: string, msg: CallMessage): Promise<void> {
    const parts = parseTicket(ticket)
    if (parts.err) {
      sendRefusal(call.res, createClientError(400, 'invalid_ticket', 'header "x-ticket" is not a ticket', 'x-ticket'))
      return
    }
    await options.ensureConnected(parts.val.agent)
    const done = await rpc.call(parts.val.agent, { ...msg, ticket }, msg.timeoutMs + callOverheadMs)
    // Another entry may have sent the call with this ticket before, so the outcome is unknown even when this entry sent nothing.
    if (done.err) sendOutcome(call, target, { outcome: Outcome.Unknown, code: failureCodes[done.val], replayed: false })
    else sendOutcome(call, target, toCallDone(done.val))
  }

  /** Sends an idempotent call, and retries it at other backend servers when one fails. */
  async function callIdempotent (call: HttpCall, target: CallTarget, msg: CallMessage): Promise<void> {
    const triedBackends: string[] = []
    let lastOutcome: Pick<CallDone, 'outcome' | 'code' | 'replayed'> = {
      outcome: Outcome.NotRun, code: RefusalCode.NoBackend, replayed: false
    }
    for (let attempt = 1; attempt <= maxCallAttempts; attempt++) {
      if (attempt > 1 && !options.consumeRetry()) break
      const chosen = options.chooseBackend(call.requestId, attempt, target.identity, target.service.name, triedBackends)
      if (chosen.err) break
      triedBackends.push(chosen.val)
      if (attempt > 1) stats.recordCallRetry(lastOutcome.code ?? RefusalCode.BackendError)
      const done = await rpc.call(chosen.val, { ...msg, attempt }, msg.timeoutMs + callOverheadMs)
      if (call.res.destroyed) return
      if (done.ok && done.val.kind === MessageKind.CallDone && done.val.outcome === Outcome.Done) {
        sendOutcome(call, target, done.val)
        return
      }
      const failed = done.ok ? toCallDone(done.val) : toFailure(done.val)
      const mayHaveRun = lastOutcome.outcome === Outcome.Unknown || failed.outcome === Outcome.Unknown
      lastOutcome = { ...failed, outcome: mayHaveRun ? Outcome.Unknown : Outcome.NotRun }
    }
    sendOutcome(call, target, lastOutcome)
  }

  async function callService (call: HttpCall): Promise<void> {
    const target = findTarget(call)
    if (target === undefined) return
    const method = call.req.method ?? 'GET'
    const ticket = call.req.headers['x-ticket']
    if (options.isFull()) {
      // With a ticket, the call may already have run through another entry.
      const outcome = typeof ticket === 'string' ? Outcome.Unknown : Outcome.NotRun
      sendRefusal(call.res, createRefusal(RefusalCode.NoCapacity, outcome, 1000))
      return
    }
    const idempotent = isIdempotent(target.service, method, target.path)
    if (!idempotent && typeof ticket !== 'string') {
      stats.recordRefusal(target.identity.tier, RefusalCode.TicketRequired)
      sendRefusal(call.res, createRefusal(RefusalCode.TicketRequired, Outcome.NotRun))
      return
    }
    const body = await readBody(call.bodies, call, options.maxBodyBytes)
    if (body.err) {
      sendRefusal(call.res, refuseUnrouted(body.val, call.req))
      return
    }
    const msg: CallMessage = {
      kind: MessageKind.Call,
      requestId: call.requestId,
      attempt: 1,
      service: target.service.name,
      caller: target.identity.caller.name,
      method,
      path: target.path,
      headers: selectForwardedHeaders(call, target.identity.caller.name),
      body: body.val,
      timeoutMs: target.service.timeoutMs
    }
    if (typeof ticket === 'string') await callWithTicket(call, target, ticket, msg)
    else await callIdempotent(call, target, msg)
  }

  return [{ method: '*', path: servicesPrefix, handle: callService }]
}

function toCallDone (reply: RpcReply): Pick<CallDone, 'outcome' | 'code' | 'reply' | 'replayed'> {
  if (reply.kind === MessageKind.CallDone) return reply
  if (reply.kind === MessageKind.Refused) return { outcome: Outcome.NotRun, code: reply.code, replayed: false }
  return { outcome: Outcome.Unknown, code: RefusalCode.BackendError, replayed: false }
}

function toFailure (failure: RpcFailure): Pick<CallDone, 'outcome' | 'code' | 'replayed'> {
  const outcome = failure === RpcFailure.NotSent ? Outcome.NotRun : Outcome.Unknown
  return { outcome, code: failureCodes[failure], replayed: false }
}

/** Decodes one percent-encoded segment of a path; an empty text when it is malformed. */
export function decodePathSegment (text: string): string {
  try {
    return decodeURIComponent(text)
  } catch {
    return ''
  }
}
