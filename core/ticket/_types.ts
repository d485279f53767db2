/**
 * Types of the ticket table.
 */
import type { Result } from '../results/mod.ts'
import type { Outcome, RefusalCode } from '../types/mod.ts'

/** What an agent does with a call under a ticket. */
export enum TicketAction {
  /** Runs the call, which has not run yet. */
  Run = 'run',
  /** Waits for the call that is running under the same ticket. */
  Wait = 'wait',
  /** Answers with the recorded outcome. */
  Replay = 'replay',
  /** Refuses the call: no call ran under the ticket, and none can run any more. */
  Refuse = 'refuse',
  /** Answers that this agent does not know the outcome. */
  Unknown = 'unknown'
}

/** Decision about a call under a ticket. */
export type TicketDecision<Reply> =
  | { action: TicketAction.Run }
  | { action: TicketAction.Wait }
  | { action: TicketAction.Replay, outcome: Outcome, reply: Reply | undefined }
  | { action: TicketAction.Refuse, outcome: Outcome.NotRun, code: RefusalCode }
  | { action: TicketAction.Unknown, outcome: Outcome.Unknown, code: RefusalCode }

/** Options of a ticket table. */
export interface TicketTableOptions {
  /** Name of the agent. */
  agent: string
  /** Incarnation of the agent. */
  incarnation: number
  /** Time in milliseconds after which an unused ticket expires, and after which a settled one is removed. */
  retentionMs: number
  /** Maximum number of tickets in the table. */
  maxTickets: number
  /** Returns random letters and digits that make tickets hard to guess, from a secure source; a constant by default. */
  createNonce?: () => string
}

/** Tickets of one agent incarnation. */
export interface TicketTable<Reply> {
  /** Issues a ticket for one call of a caller to a service; returns `NoCapacity` when the table is full. */
  issue (service: string, caller: string, nowMs: number): Result<string, RefusalCode>
  /** Decides what to do with a call under a ticket; returns `Run` at most once for each ticket. */
  beginCall (ticket: string, service: string, caller: string, nowMs: number): TicketDecision<Reply>
  /** Records the outcome of the running call: `NotRun` only when no byte of it was sent. Further outcomes are ignored. */
  recordOutcome (ticket: string, outcome: Outcome, reply: Reply | undefined, nowMs: number): void
  /** Voids an unused ticket. Returns `NotRun` when no call ran and none will, otherwise the outcome as far as it is known. */
  void (ticket: string, nowMs: number): Outcome
  /** Returns the number of tickets in the table. */
  size (): number
}
