/**
 * The ticket table of one agent incarnation.
 */
import { Err, Ok } from '../results/mod.ts'
import { Outcome, RefusalCode } from '../types/mod.ts'
import type { Result } from '../results/mod.ts'
import { formatTicket } from './parse_ticket.ts'
import { TicketAction } from './_types.ts'
import type { TicketDecision, TicketTable, TicketTableOptions } from './_types.ts'

/** The service and caller for which a ticket was issued. */
interface TicketOwner {
  service: string
  caller: string
}

interface UnusedTicket extends TicketOwner {
  expiresMs: number
}

interface SettledTicket<Reply> extends TicketOwner {
  outcome: Outcome
  reply: Reply | undefined
  removeMs: number
}

/**
 * Creates the ticket table of one agent incarnation.
 *
 * A ticket is unused, running or settled. It leaves the unused state once, so a call under it runs at most once. For a ticket
 * that was removed, or that another incarnation issued, the decision is `Unknown` and no call runs.
 *
 * @param options the agent, its incarnation, the retention time in milliseconds, and the maximum number of tickets
 * @returns the table
 *
 * @example
 * ```ts
 * import { createTicketTable, TicketAction } from 'briarloom/core/ticket'
 *
 * const tickets = createTicketTable<string>({ agent: 'registre-1', incarnation: 7, retentionMs: 60_000, maxTickets: 1000 })
 * const ticket = tickets.issue('registre', 'notaires', 0).unwrap()
 * console.assert(tickets.beginCall(ticket, 'registre', 'notaires', 1).action === TicketAction.Run)
 * console.assert(tickets.beginCall(ticket, 'registre', 'notaires', 2).action === TicketAction.Wait)
 * ```
 */
export function createTicketTable<Reply> (options: TicketTableOptions): TicketTable<Reply> {
  const createNonce = options.createNonce ?? (() => '0')
  // Both maps are roughly in order of expiry, so the removal stops at the first ticket that has not expired.
  const unused = new Map<string, UnusedTicket>()
  const settled = new Map<string, SettledTicket<Reply>>()
  const running = new Map<string, TicketOwner>()
  let seq = 0

  function settle (ticket: string, owner: TicketOwner, outcome: Outcome, reply: Reply | undefined, nowMs: number): void {
    const { service, caller } = owner
    settled.set(ticket, { service, caller, outcome, reply, removeMs: nowMs + options.retentionMs })
  }

  function expireUnused (nowMs: number): void {
    for (const [ticket, entry] of unused) {
      if (nowMs < entry.expiresMs) return
      unused.delete(ticket)
      settle(ticket, entry, Outcome.NotRun, undefined, entry.expiresMs)
    }
  }

  function removeSettled (nowMs: number): void {
    for (const [ticket, entry] of settled) {
      if (nowMs < entry.removeMs) return
      settled.delete(ticket)
    }
  }

  function removeExpired (nowMs: number): void {
    expireUnused(nowMs)
    removeSettled(nowMs)
  }

  const size = () => unused.size + running.size + settled.size

  function issue (service: string, caller: string, nowMs: number): Result<string, RefusalCode> {
    removeExpired(nowMs)
    if (size() >= options.maxTickets) return Err(RefusalCode.NoCapacity)
    seq++
    const ticket = formatTicket({ agent: options.agent, incarnation: options.incarnation, seq }, createNonce())
    unused.set(ticket, { service, caller, expiresMs: nowMs + options.retentionMs })
    return Ok(ticket)
  }

  function decideSettled (entry: SettledTicket<Reply>): TicketDecision<Reply> {
    if (entry.outcome === Outcome.NotRun) {
      return { action: TicketAction.Refuse, outcome: Outcome.NotRun, code: RefusalCode.Stale }
    }
    return { action: TicketAction.Replay, outcome: entry.outcome, reply: entry.reply }
  }

  function beginCall (ticket: string, service: string, caller: string, nowMs: number): TicketDecision<Reply> {
    removeExpired(nowMs)
    const owner = unused.get(ticket) ?? running.get(ticket) ?? settled.get(ticket)
    if (owner === undefined || owner.service !== service || owner.caller !== caller) {
      return { action: TicketAction.Unknown, outcome: Outcome.Unknown, code: RefusalCode.TicketUnknown }
    }
    const settledTicket = settled.get(ticket)
    if (settledTicket !== undefined) return decideSettled(settledTicket)
    if (running.has(ticket)) return { action: TicketAction.Wait }
    unused.delete(ticket)
    running.set(ticket, { service, caller })
    return { action: TicketAction.Run }
  }

  function recordOutcome (ticket: string, outcome: Outcome, reply: Reply | undefined, nowMs: number): void {
    const owner = running.get(ticket)
    if (owner === undefined) return
    running.delete(ticket)
    settle(ticket, owner, outcome, reply, nowMs)
  }

  function voidTicket (ticket: string, nowMs: number): Outcome {
    removeExpired(nowMs)
    const entry = unused.get(ticket)
    if (entry === undefined) return settled.get(ticket)?.outcome ?? Outcome.Unknown
    unused.delete(ticket)
    settle(ticket, entry, Outcome.NotRun, undefined, nowMs)
    return Outcome.NotRun
  }

  return { issue, beginCall, recordOutcome, void: voidTicket, size }
}
