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
 * table.confirmed(ref)
 * console.assert(table.free().pieces === 100)
 * ```
 */
export function createReservationTable (options: ReservationTableOptions): ReservationTable {
  const held = new Map<string, ReservationSnapshot>()
  const memory = createAttemptHistory(options.maxRemembered ?? defaultMaxRemembered)
  const paused = new Set<string>()
  let usedPieces = 0

  function free (): { seats: number, pieces: number } {
    return {
      seats: Math.max(0, options.seats - held.size + paused.size),
      pieces: Math.max(0, options.pieces - usedPieces)
    }
  }

  function put (entry: ReservationSnapshot): void {
    held.set(attemptKey(entry.ref), entry)
    usedPieces += entry.pieces
  }

  function remove (entry: ReservationSnapshot): void {
    held.delete(attemptKey(entry.ref))
    paused.delete(attemptKey(entry.ref))
    usedPieces -= entry.pieces
    memory.recordEnded(entry.ref)
  }

  function fits (pieces: number): boolean {
    const room = free()
    return room.seats > 0 && pieces >= 0 && pieces <= room.pieces
  }

  function reserve (request: ReservationRequest, nowMs: number): Result<void, RefusalCode> {
    const { ref, owner, pieces } = request
    const known = held.get(attemptKey(ref))
    if (known !== undefined) {
      const isRepeat = known.owner === owner && known.state !== ReservationState.Cancelling
      return isRepeat ? Ok.EMPTY : Err(RefusalCode.Stale)
    }
    if (memory.isStale(ref)) return Err(RefusalCode.Stale)
    if (!fits(pieces)) return Err(RefusalCode.NoCapacity)
    put({ ref: { requestId: ref.requestId, attempt: ref.attempt }, owner, pieces, state: ReservationState.Reserved, sinceMs: nowMs })
    memory.recordAdmitted(ref)
    return Ok.EMPTY
  }

  function start (ref: AttemptRef): Result<StartEffect, RefusalCode> {
    const entry = held.get(attemptKey(ref))
    if (entry === undefined || entry.state === ReservationState.Cancelling) return Err(RefusalCode.Stale)
    if (entry.state === ReservationState.Running) return Ok(StartEffect.None)
    if (memory.isSuperseded(ref)) return Err(RefusalCode.Stale)
    entry.state = ReservationState.Running
    return Ok(StartEffect.RunAtEngine)
  }

  function releaseEntry (entry: ReservationSnapshot): ReleaseEffect {
    if (entry.state === ReservationState.Reserved) {
      remove(entry)
      return ReleaseEffect.Freed
    }
    entry.state = ReservationState.Cancelling
    memory.recordEnded(entry.ref)
    return ReleaseEffect.CancelAtEngine
  }

  function release (ref: AttemptRef): ReleaseEffect {
    const entry = held.get(attemptKey(ref))
    if (entry !== undefined) return releaseEntry(entry)
    memory.recordEnded(ref)
    return ReleaseEffect.None
  }

  function removeIf (ref: AttemptRef, states: ReservationState[]): boolean {
    const entry = held.get(attemptKey(ref))
    if (entry === undefined || !states.includes(entry.state)) return false
    remove(entry)
    return true
  }

  function releaseOwner (owner: string): OwnerRelease[] {
    const owned = [...held.values()].filter((entry) => entry.owner === owner)
    return owned.map((entry) => ({ ref: entry.ref, effect: releaseEntry(entry) }))
  }

  function claim (ref: AttemptRef, owner: string): Result<void, RefusalCode> {
    const entry = held.get(attemptKey(ref))
    if (entry === undefined || entry.state === ReservationState.Cancelling) return Err(RefusalCode.Stale)
    if (entry.owner !== undefined && entry.owner !== owner) return Err(RefusalCode.Stale)
    entry.owner = owner
    return Ok.EMPTY
  }

  function adoptOne (attempt: HeldAttempt): void {
    const ref = { requestId: attempt.requestId, attempt: attempt.attempt }
    if (held.has(attemptKey(ref))) return
    // A cancel that came before the engine listed the attempt has ended it already.
    const state = memory.hasEnded(ref) ? ReservationState.Cancelling : ReservationState.Running
    put({ ref, owner: undefined, pieces: attempt.pieces, state, sinceMs: 0 })
    memory.recordAdmitted(ref)
  }

  function refsWhere (matches: (entry: ReservationSnapshot) => boolean): AttemptRef[] {
    return [...held.values()].filter(matches).map((entry) => entry.ref)
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
      for (const attempt of attempts) adoptOne(attempt)
    },
    listUnclaimed: () => refsWhere((entry) => entry.owner === undefined && entry.state === ReservationState.Running),
    listCancelling: () => refsWhere((entry) => entry.state === ReservationState.Cancelling),
    setPaused (ref, isPaused) {
      const key = attemptKey(ref)
      if (isPaused && held.has(key)) paused.add(key)
      else paused.delete(key)
    },
    free,
    snapshot: () => [...held.values()].map((entry) => ({ ...entry }))
  }
}
