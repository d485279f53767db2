/**
 * The task that manages the service of an agent: tickets and calls.
 */
import { randomBytes } from 'node:crypto'
import { Err } from '../core/results/mod.ts'
import { createTicketTable, TicketAction } from '../core/ticket/mod.ts'
import { Outcome, RefusalCode, Role } from '../core/types/mod.ts'
import { Metric } from '../metrics/mod.ts'
import { MessageKind } from '../wire/mod.ts'
import type { TicketDecision } from '../core/ticket/mod.ts'
import type { ServiceAdapter, ServiceReply } from '../engine/mod.ts'
import type { CallDone, CallMessage, LoadReport, Message, MessageOf } from '../wire/mod.ts'
import type { BackendTask, TaskPorts } from './_types.ts'

/** Configures the task. */
export interface ServiceTaskOptions {
  backend: string
  /** Returns the name of the service by the record of the backend server. */
  serviceName: () => string
  adapter: ServiceAdapter
  incarnation: number
  heartbeatMs: number
  seats: number
  publish: (report: LoadReport) => void
}

/** Time in milliseconds for which a ticket and its outcome are kept. */
const ticketRetentionMs = 600_000
const maxTickets = 20_000
const nonceBytes = 12

type CallOutcome = Pick<CallDone, 'outcome' | 'reply' | 'code' | 'replayed'>
type OnOutcome = (result: CallOutcome) => void
type Handlers = { [K in MessageKind]?: (owner: string, msg: MessageOf<K>) => void }

/**
 * Creates the task.
 */
export function createServiceTask (ports: TaskPorts, options: ServiceTaskOptions): BackendTask {
  const { timer } = ports
  const tickets = createTicketTable<ServiceReply>({
    agent: options.backend,
    incarnation: options.incarnation,
    retentionMs: ticketRetentionMs,
    maxTickets,
    createNonce: () => randomBytes(nonceBytes).toString('hex')
  })
  const waiters = new Map<string, OnOutcome[]>()
  let running = 0
  let seq = options.incarnation

  /** Calls the service and returns the outcome. */
  async function callService (msg: CallMessage): Promise<CallOutcome> {
    running += 1
    const { method, path, headers, body, timeoutMs } = msg
    const callId = msg.ticket ?? msg.requestId
    const done = await options.adapter.call({ callId, method, path, headers, body, timeoutMs })
    running -= 1
    if (done.ok) return { outcome: Outcome.Done, reply: done.val, replayed: false }
    const code = done.val.sent ? RefusalCode.BackendError : RefusalCode.Unreachable
    return { outcome: done.val.sent ? Outcome.Unknown : Outcome.NotRun, code, replayed: false }
  }

  async function runOnce (ticket: string, msg: CallMessage, respond: OnOutcome): Promise<void> {
    const result = await callService(msg)
    tickets.recordOutcome(ticket, result.outcome, result.reply, timer.now())
    respond(result)
    const waiting = waiters.get(ticket) ?? []
    waiters.delete(ticket)
    for (const waiter of waiting) waiter({ ...result, replayed: true })
  }

  type TicketHandler = (decision: TicketDecision<ServiceReply>, ticket: string, msg: CallMessage, respond: OnOutcome) => void

  const ticketHandlers: { [A in TicketAction]: TicketHandler } = {
    [TicketAction.Run]: (_decision, ticket, msg, respond) => { runOnce(ticket, msg, respond) },
    [TicketAction.Wait]: (_decision, ticket, _msg, respond) => {
      waiters.set(ticket, [...waiters.get(ticket) ?? [], respond])
    },
    [TicketAction.Replay]: (decision, _ticket, _msg, respond) => {
      if (decision.action !== TicketAction.Replay) return
      respond({ outcome: decision.outcome, reply: decision.reply, replayed: true })
    },
    [TicketAction.Refuse]: (_decision, _ticket, _msg, respond) => {
      respond({ outcome: Outcome.NotRun, code: RefusalCode.TicketUnknown, replayed: false })
    },
    [TicketAction.Unknown]: (_decision, _ticket, _msg, respond) => {
      respond({ outcome: Outcome.Unknown, code: RefusalCode.TicketUnknown, replayed: false })
    }
  }

  function onCall (owner: string, msg: CallMessage): void {
    const { requestId, attempt } = msg
    const respond: OnOutcome = (result) => {
      ports.send(owner, { kind: MessageKind.CallDone, requestId, attempt, ...result })
    }
    if (msg.ticket === undefined && ports.isDraining()) {
      respond({ outcome: Outcome.NotRun, code: RefusalCode.Draining, replayed: false })
    } else if (msg.ticket === undefined) {
      callService(msg).then(respond)
    } else if (ports.isDraining() && tickets.void(msg.ticket, timer.now()) === Outcome.NotRun) {
      // Voiding the ticket first makes the refusal final: the ticket was not used and can't be used later.
      respond({ outcome: Outcome.NotRun, code: RefusalCode.Draining, replayed: false })
    } else {
      const decision = tickets.beginCall(msg.ticket, msg.service, msg.caller, timer.now())
      ticketHandlers[decision.action](decision, msg.ticket, msg, respond)
    }
  }

  function onIssue (owner: string, msg: MessageOf<MessageKind.TicketIssue>): void {
    const { requestId, attempt, service, caller } = msg
    const issued = ports.isDraining() ? Err(RefusalCode.Draining) : tickets.issue(service, caller, timer.now())
    if (issued.err) {
      ports.send(owner, { kind: MessageKind.Refused, requestId, attempt, code: issued.val, retryAfterMs: 0 })
      return
    }
    ports.send(owner, { kind: MessageKind.TicketIssued, requestId, attempt, ticket: issued.val, keepsMs: ticketRetentionMs })
  }

  function publish (): void {
    options.publish({
      kind: MessageKind.Load,
      backend: options.backend,
      role: Role.Service,
      model: options.serviceName(),
      version: '',
      seats: options.seats,
      seatsUsed: running,
      pieces: 0,
      piecesUsed: 0,
      queuedTokens: 0,
      waitMs: 0,
      draining: ports.isDraining(),
      seq: seq++,
      tokensPerPiece: 1,
      prefixes: [],
      stalledMs: 0
    })
  }

  const reports = timer.every(options.heartbeatMs, () => {
    publish()
    ports.metrics.gauge(Metric.TicketsHeld, tickets.size())
  })

  const handlers: Handlers = {
    [MessageKind.Call]: onCall,
    [MessageKind.TicketIssue]: onIssue,
    [MessageKind.TicketVoid]: (owner, msg) => {
      const { requestId, attempt, ticket } = msg
      const outcome = tickets.void(ticket, timer.now())
      ports.send(owner, { kind: MessageKind.TicketVoided, requestId, attempt, outcome })
    },
    [MessageKind.Heartbeat]: () => {},
    [MessageKind.Cancel]: () => {}
  }

  return {
    handle (owner: string, msg: Message) {
      const handler = handlers[msg.kind] as ((owner: string, msg: Message) => void) | undefined
      handler?.(owner, msg)
      return handler !== undefined
    },
    onAgentLoad: () => {},
    onOwnerConnected: publish,
    onOwnerDisconnected: () => {},
    countInFlight: () => running,
    failInFlight: () => {},
    status: () => ({ tickets: tickets.size(), running }),
    publish,
    async close () {
      reports.cancel()
      await options.adapter.close()
    }
  }
}
