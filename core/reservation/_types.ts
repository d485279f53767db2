/**
 * Types of the reservation table.
 */
import type { Result } from '../results/mod.ts'
import type { AttemptRef, RefusalCode } from '../types/mod.ts'

/** Names the states of a reservation. */
export enum ReservationState {
  /** Seat and memory are set aside; the engine holds nothing yet. */
  Reserved = 'reserved',
  /** The engine works on the attempt. */
  Running = 'running',
  /** The engine was asked to end the attempt and has not confirmed it. */
  Cancelling = 'cancelling'
}

/** Names what the agent does after a release. */
export enum ReleaseEffect {
  /** Nothing was held. */
  None = 'none',
  /** Seat and memory are free at once. */
  Freed = 'freed',
  /** The agent cancels at the engine and repeats it until the engine confirms. */
  CancelAtEngine = 'cancel_at_engine'
}

/** Names what the agent does after a start. */
export enum StartEffect {
  /** The agent gives the attempt to the engine. */
  RunAtEngine = 'run_at_engine',
  /** The engine works on the attempt already, so the message was a repeat. */
  None = 'none'
}

/** Configures a reservation table. */
export interface ReservationTableOptions {
  /** Number of attempts that the engine holds at one time. */
  seats: number
  /** Engine memory, in pieces. */
  pieces: number
  /** Number of requests whose highest attempt is remembered after their end; 10,000 by default. */
  maxRemembered?: number
}

/** Asks for a seat and memory. */
export interface ReservationRequest {
  ref: AttemptRef
  /** Entry that asks, as `name#incarnation`. */
  owner: string
  /** Engine memory, in pieces. */
  pieces: number
}

/** Describes an attempt that the engine holds memory for. */
export interface HeldAttempt extends AttemptRef {
  pieces: number
}

/** Tells the effect of the release of one attempt. */
export interface OwnerRelease {
  ref: AttemptRef
  effect: ReleaseEffect
}

/** Describes one reservation. */
export interface ReservationSnapshot {
  ref: AttemptRef
  /** Absent when the engine held the attempt at the agent's start and no entry has claimed it. */
  owner: string | undefined
  pieces: number
  state: ReservationState
  /** Time in milliseconds of the agent's clock at which the reservation was made; 0 when it was adopted. */
  sinceMs: number
}

/** Admits work to one backend server and accounts for its seats and memory. */
export interface ReservationTable {
  /**
   * Sets a seat and memory aside. The same attempt of the same owner is answered `Ok` again.
   *
   * Refuses with `NoCapacity` when no seat or memory is free, and with `Stale` when the attempt has ended or the request has
   * been seen with a higher attempt. An attempt that is refused for good is to be released, so that a repeated
   * message cannot reserve for it later.
   */
  reserve (request: ReservationRequest, nowMs: number): Result<void, RefusalCode>
  /** Moves a reservation to running; refuses with `Stale` what is not reserved or is older than another attempt. */
  start (ref: AttemptRef): Result<StartEffect, RefusalCode>
  /** Ends an attempt; one that is not known is remembered as ended, so that a late message for it is refused. */
  release (ref: AttemptRef): ReleaseEffect
  /**
   * Frees what the engine confirmed to hold no longer; answers false when the attempt was not being cancelled.
   *
   * A cancel counts as confirmed only when the engine had taken or refused the start call before the cancel was sent: a start
   * call that is still on its way makes the engine hold memory after it answered the cancel.
   */
  confirmCancel (ref: AttemptRef): boolean
  /** Frees an attempt that the engine brought to its end; answers false when the engine did not hold it. */
  finish (ref: AttemptRef): boolean
  /** Releases every attempt of an entry. */
  releaseOwner (owner: string): OwnerRelease[]
  /** Gives an adopted attempt to an entry; refuses with `Stale` what is unknown, ending or owned by another entry. */
  claim (ref: AttemptRef, owner: string): Result<void, RefusalCode>
  /**
   * Accounts for what the engine holds and the table does not know; an attempt that has ended goes to be cancelled.
   *
   * It is to be called before the first reservation and then periodically, because a start call may outlive the agent that sent it.
   */
  adopt (held: HeldAttempt[]): void
  /** Lists adopted attempts that no entry has claimed. */
  listUnclaimed (): AttemptRef[]
  /** Lists the attempts whose cancel is to be repeated until the engine confirms it. */
  listCancelling (): AttemptRef[]
  /** Marks an attempt as paused or not; a paused attempt keeps its memory and gives up its seat. */
  setPaused (ref: AttemptRef, isPaused: boolean): void
  /** Returns the free seats and memory in pieces, neither below 0. */
  free (): { seats: number, pieces: number }
  /** Lists all reservations. */
  snapshot (): ReservationSnapshot[]
}
