/**
 * Types of the ticket table.
 */
import type { Result } from '../results/mod.ts'
import type { Outcome, RefusalCode } from '../types/mod.ts'

/** Names what an agent does with a call under a ticket. */
export enum TicketAction {
  /** Runs the call: this is its first time. */
  Run = 'run',
  /** Waits for the call that runs now under the same ticket. */
  Wait = 'wait',
  /** Answers with the outcome that was recorded. */
  Replay = 'replay',
  /** Refuses: the ticket was never used and can never be. */
  Refuse = 'refuse',
  /** Answers that the outcome is not known here. */
  Unknown = 'unknown'
}

/** Describes what an agent does with a call under a ticket. */
export type TicketDecision<Reply> =
  | { action: TicketAction.Run }
  | { action: TicketAction.Wait }
  | { action: TicketAction.Replay, outcome: Outcome, reply: Reply | undefined }
  | { action: TicketAction.Refuse, outcome: Outcome.NotRun, code: RefusalCode }
  | { action: TicketAction.Unknown, outcome: Outcome.Unknown, code: RefusalCode }

/** Configures a ticket table. */
export interface TicketTableOptions {
  /** Name of the agent. */
  agent: string
  /** Incarnation of the agent. */
  incarnation: number
  /** Time in milliseconds for which an unused ticket can be used and a settled one is remembered. */
  retentionMs: number
  /** Highest number of tickets held at one time. */
  maxTickets: number
  /** Returns random text of letters and digits that makes tickets hard to guess; a daemon passes a secure source. */
  createNonce?: () => string
}

/** Holds the tickets of one agent incarnation. */
export interface TicketTable<Reply> {
  /** Issues a ticket for one call of a caller to a service; refuses with `NoCapacity` when the table is full. */
  issue (service: string, caller: string, nowMs: number): Result<string, RefusalCode>
  /** Decides about a call under a ticket; `Run` is answered at most once for each ticket. */
  beginCall (ticket: string, service: string, caller: string, nowMs: number): TicketDecision<Reply>
  /** Records the outcome of the call that runs; `NotRun` only when no byte of it was sent. Later records are ignored. */
  recordOutcome (ticket: string, outcome: Outcome, reply: Reply | undefined, nowMs: number): void
  /** Makes an unused ticket unusable; `NotRun` is certain and final, any other answer tells what is known. */
  void (ticket: string, nowMs: number): Outcome
  /** Returns the number of tickets held. */
  size (): number
}
