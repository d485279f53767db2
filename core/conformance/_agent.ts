/**
 * An agent made of the real lease, reservation and ticket tables, around an engine and a plain service.
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

/** Length of a lease, in milliseconds. */
export const leaseMs = 300
const stepMs = 40
const keepTicketMs = 2000

/** A message that a request sends to an agent. */
export type ToAgent = Extract<RequestEffect, { kind: 'send' }>['msg']

/** Where an agent answers an entry. */
export type ReplyTo = (msg: AgentReply) => void

/** Runs the parts of one agent incarnation. */
export interface Agent {
  incarnation: number
  receive (owner: string, msg: ToAgent, reply: ReplyTo): void
  heartbeat (owner: string, live: AttemptRef[]): void
  issueTicket (reply: (ticket: string) => void): void
  call (ticket: string, reply: (outcome: Outcome) => void): void
  voidTicket (ticket: string): Outcome
  /** Expires every lease after a pause. */
  wokeLate (): void
  stop (): void
  table: ReturnType<typeof createReservationTable>
}

/** What an agent is made of. */
export interface AgentOptions {
  name: string
  incarnation: number
  seats: number
  engine: Engine
  network: Network
  random: Random
  now: () => number
  /** Runs per ticket at the plain service. */
  runs: Map<string, number>
}

/** Creates one incarnation of an agent. */
export function createAgent (options: AgentOptions): Agent {
  const { name, engine, network, now, random, runs } = options
  const leases = createLeaseTable({ leaseMs })
  const table = createReservationTable({ seats: options.seats, pieces: options.seats })
  const tickets = createTicketTable<string>({ agent: name, incarnation: options.incarnation, retentionMs: keepTicketMs, maxTickets: 10 })
  const streams = new Map<string, { ref: AttemptRef, sent: number, reply: ReplyTo }>()
  // Start calls that the engine has not answered; a cancel before the answer proves nothing.
  const starting = new Set<string>()
  const waiting = new Map<string, Array<(outcome: Outcome) => void>>()
  const startMs = now()
  let stopped = false

  const alive = (fn: () => void) => () => { if (!stopped) network.after(name, 0, () => { if (!stopped) fn() }) }

  function cancelAtEngine (ref: AttemptRef): void {
    const key = attemptKey(ref)
    const counts = !starting.has(key)
    engine.cancel(ref, alive(() => { if (counts) table.confirmCancel(ref) }))
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

  function refuse (ref: AttemptRef, code: RefusalCode, reply: ReplyTo): void {
    reply({ kind: MessageKind.Refused, ...ref, code, retryAfterMs: 0 })
  }

  function refOf (msg: AttemptRef): AttemptRef {
    return { requestId: msg.requestId, attempt: msg.attempt }
  }

  function onStarted (ref: AttemptRef, accepted: boolean, reply: ReplyTo): void {
    starting.delete(attemptKey(ref))
    if (accepted) return
    streams.delete(attemptKey(ref))
    if (table.finish(ref)) {
      reply({ kind: MessageKind.Failed, ...ref, code: RefusalCode.BackendError, outcome: Outcome.Unknown, message: 'full' })
    }
  }

  const handlers: { [K in ToAgent['kind']]: (owner: string, msg: Extract<ToAgent, { kind: K }>, reply: ReplyTo) => void } = {
    [MessageKind.Reserve]: (owner, msg, reply) => {
      const ref = refOf(msg)
      const result = table.reserve({ ref, owner, pieces: 1 }, now())
      if (result.ok) {
        reply({ kind: MessageKind.Reserved, ...ref, pieces: 1 })
        return
      }
      if (result.val === RefusalCode.NoCapacity) table.release(ref)
      refuse(ref, result.val, reply)
    },
    [MessageKind.Prefill]: (owner, msg, reply) => {
      const ref = refOf(msg)
      const result = table.reserve({ ref, owner, pieces: 1 }, now())
      if (result.err) {
        refuse(ref, result.val, reply)
        return
      }
      if (table.start(ref).unwrapOr(StartEffect.None) !== StartEffect.RunAtEngine) return
      engine.prefill(ref, alive(() => {
        table.finish(ref)
        reply({ kind: MessageKind.Prefilled, ...ref, handle: 'h', kvAddress: '', promptTokens: 1, cachedTokens: 0, keepsMs: 800 })
      }))
    },
    [MessageKind.Decode]: (_owner, msg, reply) => {
      const ref = refOf(msg)
      const result = table.start(ref)
      if (result.err) {
        refuse(ref, result.val, reply)
        return
      }
      if (result.val === StartEffect.None) return
      starting.add(attemptKey(ref))
      streams.set(attemptKey(ref), { ref, sent: msg.startOffset, reply })
      engine.start(ref, msg.startOffset, (accepted) => alive(() => onStarted(ref, accepted, reply))())
    },
    [MessageKind.Resume]: (owner, msg, reply) => {
      const ref = refOf(msg)
      const result = table.claim(ref, owner)
      if (result.err) refuse(ref, result.val, reply)
      else streams.set(attemptKey(ref), { ref, sent: msg.offset, reply })
    },
    [MessageKind.Cancel]: (_owner, msg) => release(refOf(msg))
  }

  function stream (item: { ref: AttemptRef, sent: number, reply: ReplyTo }): void {
    const generated = engine.generated(item.ref)
    if (generated === undefined) return
    while (item.sent < generated) {
      item.reply({ kind: MessageKind.Tokens, ...item.ref, offset: item.sent, tokens: [`w${item.sent}`] })
      item.sent++
    }
    if (item.sent < answerTokens) return
    engine.readOut(item.ref)
    streams.delete(attemptKey(item.ref))
    table.finish(item.ref)
    item.reply({ kind: MessageKind.Finished, ...item.ref, tokens: answerTokens, reason: 'stop' })
  }

  function step (): void {
    if (stopped) return
    for (const owner of leases.removeExpired(now())) releaseOwner(owner)
    table.adopt(engine.held())
    if (now() - startMs > leaseMs) table.listUnclaimed().forEach(release)
    table.listCancelling().forEach(cancelAtEngine)
    for (const item of [...streams.values()]) stream(item)
    network.after(name, stepMs, step)
  }

  function settle (ticket: string, outcome: Outcome): void {
    tickets.recordOutcome(ticket, outcome, outcome === Outcome.Done ? 'reply' : undefined, now())
    for (const reply of waiting.get(ticket) ?? []) reply(outcome)
    waiting.delete(ticket)
  }

  function runCall (ticket: string): void {
    const reached = random() < 0.9
    const answered = random() < 0.9
    network.after('service', 1 + Math.floor(random() * 100), () => {
      if (reached) runs.set(ticket, (runs.get(ticket) ?? 0) + 1)
      alive(() => settle(ticket, reached && answered ? Outcome.Done : Outcome.Unknown))()
    })
  }

  step()
  return {
    incarnation: options.incarnation,
    table,
    receive (owner, msg, reply) {
      if (stopped) return
      leases.open(owner, now())
      const handler = handlers[msg.kind] as (owner: string, msg: ToAgent, reply: ReplyTo) => void
      handler(owner, msg, reply)
    },
    heartbeat (owner, live) {
      if (stopped) return
      leases.open(owner, now())
      const keys = new Set(live.map(attemptKey))
      const dead = table.snapshot().filter((entry) => entry.owner === owner && !keys.has(attemptKey(entry.ref)))
      for (const entry of dead) release(entry.ref)
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
    wokeLate () {
      for (const owner of leases.expireAll()) releaseOwner(owner)
    },
    stop () { stopped = true }
  }
}
