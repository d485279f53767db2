/**
 * The reservation table of one agent.
 */
import { Err, Ok } from '../results/mod.ts'
import { attemptKey, RefusalCode } from '../types/mod.ts'
import type { Result } from '../results/mod.ts'
import type { AttemptRef } from '../types/mod.ts'
import { createAttemptHistory } from './_attempt_history.ts'
import { ReleaseEffect, ReservationState, StartEffect } from './_types.ts'
import type {
  HeldAttempt, OwnerRelease, ReservationRequest, ReservationSnapshot, ReservationTable, ReservationTableOptions
} from './_types.ts'

const defaultMaxRemembered = 10_000

/**
 * Creates an empty reservation table.
 *
 * @param options the engine's seats and memory in pieces
 * @returns the table
 *
 * @example
 * ```ts
 * import { createReservationTable, ReleaseEffect } from 'briarloom/core/reservation'
 *
 * const table = createReservationTable({ seats: 2, pieces: 100 })
 * const ref = { requestId: 'r1', attempt: 1 }
 * console.assert(table.reserve({ ref, owner: 'entry-1#7', pieces: 40 }, 0).ok)
 * table.start(ref)
 * console.assert(table.release(ref) === ReleaseEffect.CancelAtEngine)
 * console.assert(table.free().pieces === 60)
 * table.confirmCancel(ref)
 * console.assert(table.free().pieces === 100)
 * ```
 */
export function createReservationTable (options: ReservationTableOptions): ReservationTable {
  const reservations = new Map<string, ReservationSnapshot>()
  const history = createAttemptHistory(options.maxRemembered ?? defaultMaxRemembered)
  const paused = new Set<string>()
  let usedPieces = 0

  function free (): { seats: number, pieces: number } {
    return {
      seats: Math.max(0, options.seats - reservations.size + paused.size),
      pieces: Math.max(0, options.pieces - usedPieces)
    }
  }

  function add (reservation: ReservationSnapshot): void {
    reservations.set(attemptKey(reservation.ref), reservation)
    usedPieces += reservation.pieces
  }

  function remove (reservation: ReservationSnapshot): void {
    reservations.delete(attemptKey(reservation.ref))
    paused.delete(attemptKey(reservation.ref))
    usedPieces -= reservation.pieces
    history.recordEnded(reservation.ref)
  }

  function hasCapacityFor (pieces: number): boolean {
    const capacity = free()
    return capacity.seats > 0 && pieces >= 0 && pieces <= capacity.pieces
  }

  function reserve (request: ReservationRequest, nowMs: number): Result<void, RefusalCode> {
    const { ref, owner, pieces } = request
    const known = reservations.get(attemptKey(ref))
    if (known !== undefined) {
      const isRepeat = known.owner === owner && known.state !== ReservationState.Cancelling
      return isRepeat ? Ok.EMPTY : Err(RefusalCode.Stale)
    }
    if (history.isStale(ref)) return Err(RefusalCode.Stale)
    if (!hasCapacityFor(pieces)) return Err(RefusalCode.NoCapacity)
    add({ ref: { requestId: ref.requestId, attempt: ref.attempt }, owner, pieces, state: ReservationState.Reserved, sinceMs: nowMs })
    history.recordAdmitted(ref)
    return Ok.EMPTY
  }

  function start (ref: AttemptRef): Result<StartEffect, RefusalCode> {
    const reservation = reservations.get(attemptKey(ref))
    if (reservation === undefined || reservation.state === ReservationState.Cancelling) return Err(RefusalCode.Stale)
    if (reservation.state === ReservationState.Running) return Ok(StartEffect.None)
    if (history.isSuperseded(ref)) return Err(RefusalCode.Stale)
    reservation.state = ReservationState.Running
    return Ok(StartEffect.RunAtEngine)
  }

  function releaseReservation (reservation: ReservationSnapshot): ReleaseEffect {
    if (reservation.state === ReservationState.Reserved) {
      remove(reservation)
      return ReleaseEffect.Freed
    }
    reservation.state = ReservationState.Cancelling
    history.recordEnded(reservation.ref)
    return ReleaseEffect.CancelAtEngine
  }

  function release (ref: AttemptRef): ReleaseEffect {
    const reservation = reservations.get(attemptKey(ref))
    if (reservation !== undefined) return releaseReservation(reservation)
    history.recordEnded(ref)
    return ReleaseEffect.None
  }

  function removeIf (ref: AttemptRef, states: ReservationState[]): boolean {
    const reservation = reservations.get(attemptKey(ref))
    if (reservation === undefined || !states.includes(reservation.state)) return false
    remove(reservation)
    return true
  }

  function releaseOwner (owner: string): OwnerRelease[] {
    const owned = [...reservations.values()].filter((reservation) => reservation.owner === owner)
    return owned.map((reservation) => ({ ref: reservation.ref, effect: releaseReservation(reservation) }))
  }

  function claim (ref: AttemptRef, owner: string): Result<void, RefusalCode> {
    const reservation = reservations.get(attemptKey(ref))
    if (reservation === undefined || reservation.state === ReservationState.Cancelling) return Err(RefusalCode.Stale)
    if (reservation.owner !== undefined && reservation.owner !== owner) return Err(RefusalCode.Stale)
    reservation.owner = owner
    return Ok.EMPTY
  }

  function adoptAttempt (attempt: HeldAttempt): void {
    const ref = { requestId: attempt.requestId, attempt: attempt.attempt }
    if (reservations.has(attemptKey(ref))) return
    // The attempt may have been released before the engine listed it.
    const state = history.hasEnded(ref) ? ReservationState.Cancelling : ReservationState.Running
    add({ ref, owner: undefined, pieces: attempt.pieces, state, sinceMs: 0 })
    history.recordAdmitted(ref)
  }

  function listRefs (matches: (reservation: ReservationSnapshot) => boolean): AttemptRef[] {
    return [...reservations.values()].filter(matches).map((reservation) => reservation.ref)
  }

  return {
    reserve,
    start,
    release,
    confirmCancel: (ref) => removeIf(ref, [ReservationState.Cancelling]),
    finish: (ref) => removeIf(ref, [ReservationState.Running, ReservationState.Cancelling]),
    releaseOwner,
    claim,
    adopt (attempts) {
      for (const attempt of attempts) adoptAttempt(attempt)
    },
    listUnclaimed: () => listRefs((reservation) => reservation.owner === undefined && reservation.state === ReservationState.Running),
    listCancelling: () => listRefs((reservation) => reservation.state === ReservationState.Cancelling),
    setPaused (ref, isPaused) {
      const key = attemptKey(ref)
      if (isPaused && reservations.has(key)) paused.add(key)
      else paused.delete(key)
    },
    free,
    snapshot: () => [...reservations.values()].map((reservation) => ({ ...reservation }))
  }
}
