/**
 * The HTTP handlers that issue and void tickets.
 */
import { RecordKind } from '../core/records/mod.ts'
import { parseTicket } from '../core/ticket/mod.ts'
import { Outcome, RefusalCode } from '../core/types/mod.ts'
import { MessageKind } from '../wire/mod.ts'
import { readBody } from './_http_server.ts'
import { identifyOrRefuse } from './_identify.ts'
import { createClientError, createRefusal, sendRefusal } from './_refusals.ts'
import { decodePathSegment, maxCallAttempts } from './_services.ts'
import type { HttpCall, HttpRoute } from './_http_server.ts'
import type { ServicesOptions } from './_services.ts'

const ticketsPrefix = '/tickets/'
const ticketTimeoutMs = 2000

/**
 * Creates the routes of tickets.
 */
export function createTicketRoutes (options: ServicesOptions): HttpRoute[] {
  const { config, rpc, stats } = options

  async function issueTicket (call: HttpCall): Promise<void> {
    const identity = identifyOrRefuse(options.auth, call)
    if (identity === undefined) return
    const body = await readBody(call.bodies, call, options.maxBodyBytes)
    if (body.err) {
      sendRefusal(call.res, body.val)
      return
    }
    const service = parseServiceName(body.val)
    if (service === undefined || config.get(RecordKind.Service, service) === undefined) {
      sendRefusal(call.res, createClientError(400, 'invalid_request', 'field "service" must name a service', 'service'))
      return
    }
    const triedBackends: string[] = []
    for (let attempt = 1; attempt <= maxCallAttempts; attempt++) {
      const chosen = options.chooseBackend(call.requestId, attempt, identity, service, triedBackends)
      if (chosen.err) break
      triedBackends.push(chosen.val)
      const { requestId } = call
      const msg = { kind: MessageKind.TicketIssue as const, requestId, attempt, service, caller: identity.caller.name }
      const issued = await rpc.call(chosen.val, msg, ticketTimeoutMs)
      if (issued.err || issued.val.kind !== MessageKind.TicketIssued) continue
      stats.recordTicketIssued(service)
      call.res.writeHead(201, { 'content-type': 'application/json' })
      call.res.end(JSON.stringify({ ticket: issued.val.ticket, keeps_ms: issued.val.keepsMs }))
      return
    }
    stats.recordRefusal(identity.tier, RefusalCode.NoBackend)
    sendRefusal(call.res, createRefusal(RefusalCode.NoBackend, Outcome.NotRun, 1000))
  }

  async function voidTicket (call: HttpCall): Promise<void> {
    if (identifyOrRefuse(options.auth, call) === undefined) return
    const ticket = decodePathSegment(call.path.slice(ticketsPrefix.length))
    const parts = parseTicket(ticket)
    if (parts.err) {
      sendRefusal(call.res, createClientError(400, 'invalid_ticket', 'the path does not end in a ticket', 'ticket'))
      return
    }
    const msg = { kind: MessageKind.TicketVoid as const, requestId: call.requestId, attempt: 1, ticket }
    await options.ensureConnected(parts.val.agent)
    const done = await rpc.call(parts.val.agent, msg, ticketTimeoutMs)
    const outcome = done.ok && done.val.kind === MessageKind.TicketVoided ? done.val.outcome : Outcome.Unknown
    call.res.writeHead(200, { 'content-type': 'application/json', 'x-briarloom-outcome': outcome })
    call.res.end(JSON.stringify({ ticket, outcome }))
  }

  return [
    { method: 'POST', path: '/tickets', handle: issueTicket },
    { method: 'DELETE', path: ticketsPrefix, handle: voidTicket }
  ]
}

/** Returns the name of the service in the body of a ticket request; undefined when the body is malformed. */
function parseServiceName (body: Buffer): string | undefined {
  try {
    const parsed: unknown = JSON.parse(body.toString('utf8'))
    const service = (parsed as { service?: unknown } | null)?.service
    return typeof service === 'string' ? service : undefined
  } catch {
    return undefined
  }
}
