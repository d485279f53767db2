/**
 * Types for the reservation table.
 */
import type { Result } from '../results/mod.ts'
import type { AttemptRef, RefusalCode } from '../types/mod.ts'

/** Names the states of a reservation. */
export enum ReservationState {
  /** A seat and memory are reserved; the engine does not hold the attempt yet. */
  Reserved = 'reserved',
  /** The engine runs the attempt. */
  Running = 'running',
  /** The engine was asked to cancel the attempt and has not confirmed it. */
  Cancelling = 'cancelling'
}

/** Names what the agent must do after a release. */
export enum ReleaseEffect {
  /** Nothing; the attempt was not reserved. */
  None = 'none',
  /** Nothing; the seat and the memory are free. */
  Freed = 'freed',
  /** Send a cancel to the engine and repeat it until the engine confirms. */
  CancelAtEngine = 'cancel_at_engine'
}

/** Names what the agent must do after a start. */
export enum StartEffect {
  /** Send the attempt to the engine. */
  RunAtEngine = 'run_at_engine',
  /** Nothing; the message was a repeat, and the engine already runs the attempt. */
  None = 'none'
}

/** Configures a reservation table. */
export interface ReservationTableOptions {
  /** Number of attempts that the engine can run at one time. */
  seats: number
  /** Engine memory, in pieces. */
  pieces: number
  /** Number of requests whose highest attempt is remembered after they end; 10,000 by default. */
  maxRemembered?: number
}

/** Describes the seat and memory to reserve. */
export interface ReservationRequest {
  ref: AttemptRef
  /** Entry that reserves, as `name#incarnation`. */
  owner: string
  /** Engine memory, in pieces. */
  pieces: number
}

/** Describes an attempt for which the engine holds memory. */
export interface HeldAttempt extends AttemptRef {
  /** Engine memory, in pieces. */
  pieces: number
}

/** Describes the release of one attempt of an owner. */
export interface OwnerRelease {
  ref: AttemptRef
  effect: ReleaseEffect
}

/** Describes one reservation. */
export interface ReservationSnapshot {
  ref: AttemptRef
  /** Entry as `name#incarnation`; undefined while the attempt is adopted from the engine and no entry has claimed it. */
  owner: string | undefined
  /** Engine memory, in pieces. */
  pieces: number
  state: ReservationState
  /** Time in milliseconds of the agent's clock at which the attempt was reserved; 0 when it was adopted. */
  sinceMs: number
}

/** Admits work to one backend server and accounts for its seats and memory. */
export interface ReservationTable {
  /**
   * Reserves a seat and memory. A repeated reservation of the same attempt by the same owner returns `Ok` again.
   *
   * Refuses with `NoCapacity` when no seat or memory is free, and with `Stale` when the attempt has ended or a higher
   * attempt of the request has been admitted. Release an attempt that is refused for good, so that a repeated message cannot
   * reserve for it later.
   */
  reserve (request: ReservationRequest, nowMs: number): Result<void, RefusalCode>
  /** Changes a reservation to running; refuses with `Stale` when the attempt is not reserved or a higher one of its request is known. */
  start (ref: AttemptRef): Result<StartEffect, RefusalCode>
  /** Releases an attempt; an unknown one is recorded as ended, so that a late message for it is refused. */
  release (ref: AttemptRef): ReleaseEffect
  /**
   * Frees an attempt whose cancel the engine has confirmed; false when the attempt was not being cancelled.
   *
   * Call it only when the engine had accepted or refused the start call before the cancel was sent: a start call that is still in
   * flight makes the engine hold memory after it has answered the cancel.
   */
  confirmCancel (ref: AttemptRef): boolean
  /** Frees an attempt that the engine has finished; false when the engine did not hold it. */
  finish (ref: AttemptRef): boolean
  /** Releases all attempts of an entry. */
  releaseOwner (owner: string): OwnerRelease[]
  /** Makes an entry the owner of an adopted attempt; refuses with `Stale` when it is unknown, being cancelled or owned by another. */
  claim (ref: AttemptRef, owner: string): Result<void, RefusalCode>
  /**
   * Adds attempts that the engine holds and the table does not know; those that have ended are added as being cancelled.
   *
   * Call it before the first reservation and then periodically, because a start call may reach the engine after the agent that
   * sent it has stopped.
   */
  adopt (held: HeldAttempt[]): void
  /** Lists adopted attempts that no entry has claimed. */
  listUnclaimed (): AttemptRef[]
  /** Lists the attempts whose cancel must be repeated until the engine confirms it. */
  listCancelling (): AttemptRef[]
  /** Marks an attempt as paused or not; a paused attempt keeps its memory and frees its seat. */
  setPaused (ref: AttemptRef, isPaused: boolean): void
  /** Returns the free seats and memory in pieces, neither below 0. */
  free (): { seats: number, pieces: number }
  /** Lists all reservations. */
  snapshot (): ReservationSnapshot[]
}
