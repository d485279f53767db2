/**
 * A simulated agent with real lease, reservation and ticket tables, for an engine and a service.
 */
import { createLeaseTable } from '../lease/mod.ts'
import { createReservationTable, ReleaseEffect, StartEffect } from '../reservation/mod.ts'
import { createTicketTable, TicketAction } from '../ticket/mod.ts'
import { attemptKey, Outcome, RefusalCode } from '../types/mod.ts'
import { MessageKind } from '../../wire/mod.ts'
import type { AttemptRef } from '../types/mod.ts'
import type { AgentReply, RequestEffect } from '../request/mod.ts'
import { answerTokens } from './_engine.ts'
import type { Engine } from './_engine.ts'
import type { Network, Random } from './_network.ts'

/** Duration of a lease, in milliseconds. */
export const leaseMs = 300
const stepMs = 40
const ticketRetentionMs = 2000

/** A message that a request sends to an agent. */
export type AgentMessage = Extract<RequestEffect, { kind: 'send' }>['msg']

/** Sends a reply to an entry. */
export type SendReply = (msg: AgentReply) => void

/** One incarnation of an agent. */
export interface Agent {
  incarnation: number
  /** Handles a message of the entry incarnation `owner` (`name#incarnation`). */
  handleMessage (owner: string, msg: AgentMessage, reply: SendReply): void
  /** Handles a heartbeat and releases the attempts of the owner that are not in `live`. */
  handleHeartbeat (owner: string, live: AttemptRef[]): void
  /** Issues a ticket; does not reply when there is no capacity. */
  issueTicket (reply: (ticket: string) => void): void
  /** Calls the service under a ticket. */
  call (ticket: string, reply: (outcome: Outcome) => void): void
  /** Voids a ticket and returns its outcome. */
  voidTicket (ticket: string): Outcome
  /** Expires every lease, after a pause longer than a lease. */
  expireAllLeases (): void
  /** Ends this incarnation, as a crash does. */
  stop (): void
  /** The reservation table. */
  table: ReturnType<typeof createReservationTable>
}

/** Options of an agent. */
export interface AgentOptions {
  name: string
  incarnation: number
  seats: number
  engine: Engine
  network: Network
  random: Random
  now: () => number
  /** Number of calls that ran at the service, by ticket. */
  runs: Map<string, number>
}

/** Creates one incarnation of an agent. */
export function createAgent (options: AgentOptions): Agent {
  const { name, engine, network, now, random, runs } = options
  const leases = createLeaseTable({ leaseMs })
  const table = createReservationTable({ seats: options.seats, pieces: options.seats })
  const tickets = createTicketTable<string>({
    agent: name, incarnation: options.incarnation, retentionMs: ticketRetentionMs, maxTickets: 10
  })
  const streams = new Map<string, { ref: AttemptRef, sent: number, reply: SendReply }>()
  // Start calls that the engine has not answered. A cancel sent before the answer may reach the engine before the start call, so it
  // does not prove that the attempt holds no memory.
  const starting = new Set<string>()
  const waiting = new Map<string, Array<(outcome: Outcome) => void>>()
  const startMs = now()
  let stopped = false

  /** Returns a function that runs `fn` at the agent, after its pause if it is paused, unless this incarnation has stopped. */
  const whileRunning = (fn: () => void) => () => { if (!stopped) network.runAfter(name, 0, () => { if (!stopped) fn() }) }

  function cancelAtEngine (ref: AttemptRef): void {
    const key = attemptKey(ref)
    const isConfirmation = !starting.has(key)
    engine.cancel(ref, whileRunning(() => { if (isConfirmation) table.confirmCancel(ref) }))
  }

  function release (ref: AttemptRef): void {
    streams.delete(attemptKey(ref))
    if (table.release(ref) === ReleaseEffect.CancelAtEngine) cancelAtEngine(ref)
  }

  function releaseOwner (owner: string): void {
    for (const { ref, effect } of table.releaseOwner(owner)) {
      streams.delete(attemptKey(ref))
      if (effect === ReleaseEffect.CancelAtEngine) cancelAtEngine(ref)
    }
  }

  function refuse (ref: AttemptRef, code: RefusalCode, reply: SendReply): void {
    reply({ kind: MessageKind.Refused, ...ref, code, retryAfterMs: 0 })
  }

  function toAttemptRef (msg: AttemptRef): AttemptRef {
    return { requestId: msg.requestId, attempt: msg.attempt }
  }

  function onStarted (ref: AttemptRef, accepted: boolean, reply: SendReply): void {
    starting.delete(attemptKey(ref))
    if (accepted) return
    streams.delete(attemptKey(ref))
    if (table.finish(ref)) {
      reply({ kind: MessageKind.Failed, ...ref, code: RefusalCode.BackendError, outcome: Outcome.Unknown, message: 'no free seat' })
    }
  }

  const handlers: { [K in AgentMessage['kind']]: (owner: string, msg: Extract<AgentMessage, { kind: K }>, reply: SendReply) => void } = {
    [MessageKind.Reserve]: (owner, msg, reply) => {
      const ref = toAttemptRef(msg)
      const result = table.reserve({ ref, owner, pieces: 1 }, now())
      if (result.ok) {
        reply({ kind: MessageKind.Reserved, ...ref, pieces: 1 })
        return
      }
      if (result.val === RefusalCode.NoCapacity) table.release(ref)
      refuse(ref, result.val, reply)
    },
    [MessageKind.Prefill]: (owner, msg, reply) => {
      const ref = toAttemptRef(msg)
      const result = table.reserve({ ref, owner, pieces: 1 }, now())
      if (result.err) {
        refuse(ref, result.val, reply)
        return
      }
      if (table.start(ref).unwrapOr(StartEffect.None) !== StartEffect.RunAtEngine) return
      engine.prefill(ref, whileRunning(() => {
        table.finish(ref)
        reply({ kind: MessageKind.Prefilled, ...ref, handle: 'h', kvAddress: '', promptTokens: 1, cachedTokens: 0, keepsMs: 800 })
      }))
    },
    [MessageKind.Decode]: (_owner, msg, reply) => {
      const ref = toAttemptRef(msg)
      const result = table.start(ref)
      if (result.err) {
        refuse(ref, result.val, reply)
        return
      }
      if (result.val === StartEffect.None) return
      starting.add(attemptKey(ref))
      streams.set(attemptKey(ref), { ref, sent: msg.startOffset, reply })
      engine.start(ref, msg.startOffset, (accepted) => whileRunning(() => onStarted(ref, accepted, reply))())
    },
    [MessageKind.Resume]: (owner, msg, reply) => {
      const ref = toAttemptRef(msg)
      const result = table.claim(ref, owner)
      if (result.err) refuse(ref, result.val, reply)
      else streams.set(attemptKey(ref), { ref, sent: msg.offset, reply })
    },
    [MessageKind.Cancel]: (_owner, msg) => release(toAttemptRef(msg))
  }

  function sendTokens (item: { ref: AttemptRef, sent: number, reply: SendReply }): void {
    const generated = engine.countGenerated(item.ref)
    if (generated === undefined) return
    while (item.sent < generated) {
      item.reply({ kind: MessageKind.Tokens, ...item.ref, offset: item.sent, tokens: [`w${item.sent}`] })
      item.sent++
    }
    if (item.sent < answerTokens) return
    engine.release(item.ref)
    streams.delete(attemptKey(item.ref))
    table.finish(item.ref)
    item.reply({ kind: MessageKind.Finished, ...item.ref, tokens: answerTokens, reason: 'stop' })
  }

  function runStep (): void {
    if (stopped) return
    for (const owner of leases.removeExpired(now())) releaseOwner(owner)
    table.adopt(engine.listHeld())
    if (now() - startMs > leaseMs) table.listUnclaimed().forEach(release)
    table.listCancelling().forEach(cancelAtEngine)
    for (const item of [...streams.values()]) sendTokens(item)
    network.runAfter(name, stepMs, runStep)
  }

  function settleTicket (ticket: string, outcome: Outcome): void {
    tickets.recordOutcome(ticket, outcome, outcome === Outcome.Done ? 'reply' : undefined, now())
    for (const reply of waiting.get(ticket) ?? []) reply(outcome)
    waiting.delete(ticket)
  }

  function runCall (ticket: string): void {
    const isReached = random() < 0.9
    const isAnswered = random() < 0.9
    network.runAfter('service', 1 + Math.floor(random() * 100), () => {
      if (isReached) runs.set(ticket, (runs.get(ticket) ?? 0) + 1)
      whileRunning(() => settleTicket(ticket, isReached && isAnswered ? Outcome.Done : Outcome.Unknown))()
    })
  }

  runStep()
  return {
    incarnation: options.incarnation,
    table,
    handleMessage (owner, msg, reply) {
      if (stopped) return
      leases.open(owner, now())
      const handler = handlers[msg.kind] as (owner: string, msg: AgentMessage, reply: SendReply) => void
      handler(owner, msg, reply)
    },
    handleHeartbeat (owner, live) {
      if (stopped) return
      leases.open(owner, now())
      const keys = new Set(live.map(attemptKey))
      const unneeded = table.snapshot().filter((entry) => entry.owner === owner && !keys.has(attemptKey(entry.ref)))
      for (const entry of unneeded) release(entry.ref)
    },
    issueTicket: (reply) => {
      const result = tickets.issue('registre', 'notaires', now())
      if (!stopped && result.ok) reply(result.val)
    },
    call (ticket, reply) {
      if (stopped) return
      const decision = tickets.beginCall(ticket, 'registre', 'notaires', now())
      if (decision.action === TicketAction.Run || decision.action === TicketAction.Wait) {
        waiting.set(ticket, [...waiting.get(ticket) ?? [], reply])
        if (decision.action === TicketAction.Run) runCall(ticket)
      } else {
        reply(decision.outcome)
      }
    },
    voidTicket: (ticket) => tickets.void(ticket, now()),
    expireAllLeases () {
      for (const owner of leases.expireAll()) releaseOwner(owner)
    },
    stop () { stopped = true }
  }
}
