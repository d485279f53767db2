/**
 * The ticket table of one agent incarnation.
 */
import { Err, Ok } from '../results/mod.ts'
import { Outcome, RefusalCode } from '../types/mod.ts'
import type { Result } from '../results/mod.ts'
import { formatTicket } from './parse_ticket.ts'
import { TicketAction } from './_types.ts'
import type { TicketDecision, TicketTable, TicketTableOptions } from './_types.ts'

interface Binding {
  service: string
  caller: string
}

interface Unused extends Binding {
  deadlineMs: number
}

interface Settled<Reply> extends Binding {
  outcome: Outcome
  reply: Reply | undefined
  forgetMs: number
}

/**
 * Creates the ticket table of one agent incarnation.
 *
 * A ticket is unused, running or settled. It leaves the unused state once, so it runs at most once. A ticket whose record
 * was forgotten, or that another incarnation issued, is answered `Unknown` and never run.
 *
 * @param options the agent, its incarnation, how long in milliseconds tickets are kept, and how many
 * @returns the table
 *
 * @example
 * ```ts
 * import { createTicketTable, TicketAction } from 'briarloom/core/ticket'
 *
 * const tickets = createTicketTable<string>({ agent: 'registre-1', incarnation: 7, keepMs: 60_000, maxTickets: 1000 })
 * const ticket = tickets.issue('registre', 'notaires', 0).unwrap()
 * console.assert(tickets.begin(ticket, 'registre', 'notaires', 1).action === TicketAction.Run)
 * console.assert(tickets.begin(ticket, 'registre', 'notaires', 2).action === TicketAction.Wait)
 * ```
 */
export function createTicketTable<Reply> (options: TicketTableOptions): TicketTable<Reply> {
  const nonce = options.createNonce ?? (() => '0')
  // Both maps are about in the order in which their tickets fall due, so a sweep looks only at the front.
  const unused = new Map<string, Unused>()
  const settled = new Map<string, Settled<Reply>>()
  const running = new Map<string, Binding>()
  let seq = 0

  function settle (ticket: string, binding: Binding, outcome: Outcome, reply: Reply | undefined, nowMs: number): void {
    const { service, caller } = binding
    settled.set(ticket, { service, caller, outcome, reply, forgetMs: nowMs + options.retentionMs })
  }

  function sweepUnused (nowMs: number): void {
    for (const [ticket, entry] of unused) {
      if (nowMs < entry.deadlineMs) return
      unused.delete(ticket)
      settle(ticket, entry, Outcome.NotRun, undefined, entry.deadlineMs)
    }
  }

  function sweepSettled (nowMs: number): void {
    for (const [ticket, entry] of settled) {
      if (nowMs < entry.forgetMs) return
      settled.delete(ticket)
    }
  }

  function sweep (nowMs: number): void {
    sweepUnused(nowMs)
    sweepSettled(nowMs)
  }

  const size = () => unused.size + running.size + settled.size

  function issue (service: string, caller: string, nowMs: number): Result<string, RefusalCode> {
    sweep(nowMs)
    if (size() >= options.maxTickets) return Err(RefusalCode.NoCapacity)
    seq++
    const ticket = formatTicket({ agent: options.agent, incarnation: options.incarnation, seq }, nonce())
    unused.set(ticket, { service, caller, deadlineMs: nowMs + options.retentionMs })
    return Ok(ticket)
  }

  function decideSettled (entry: Settled<Reply>): TicketDecision<Reply> {
    if (entry.outcome === Outcome.NotRun) {
      return { action: TicketAction.Refuse, outcome: Outcome.NotRun, code: RefusalCode.Stale }
    }
    return { action: TicketAction.Replay, outcome: entry.outcome, reply: entry.reply }
  }

  function begin (ticket: string, service: string, caller: string, nowMs: number): TicketDecision<Reply> {
    sweep(nowMs)
    const binding = unused.get(ticket) ?? running.get(ticket) ?? settled.get(ticket)
    if (binding === undefined || binding.service !== service || binding.caller !== caller) {
      return { action: TicketAction.Unknown, outcome: Outcome.Unknown, code: RefusalCode.TicketUnknown }
    }
    const done = settled.get(ticket)
    if (done !== undefined) return decideSettled(done)
    if (running.has(ticket)) return { action: TicketAction.Wait }
    unused.delete(ticket)
    running.set(ticket, { service, caller })
    return { action: TicketAction.Run }
  }

  function record (ticket: string, outcome: Outcome, reply: Reply | undefined, nowMs: number): void {
    const binding = running.get(ticket)
    if (binding === undefined) return
    running.delete(ticket)
    settle(ticket, binding, outcome, reply, nowMs)
  }

  function voidTicket (ticket: string, nowMs: number): Outcome {
    sweep(nowMs)
    const entry = unused.get(ticket)
    if (entry === undefined) return settled.get(ticket)?.outcome ?? Outcome.Unknown
    unused.delete(ticket)
    settle(ticket, entry, Outcome.NotRun, undefined, nowMs)
    return Outcome.NotRun
  }

  return { issue, beginCall: begin, recordOutcome: record, void: voidTicket, size }
}
