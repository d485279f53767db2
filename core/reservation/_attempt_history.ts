/**
 * A bounded record of the highest attempt of each request that was admitted and that has ended.
 */
import type { AttemptRef } from '../types/mod.ts'

/** Records which attempts were admitted and which have ended. */
export interface AttemptHistory {
  /** Records that an attempt was admitted. */
  recordAdmitted (ref: AttemptRef): void
  /** Records that an attempt has ended. */
  recordEnded (ref: AttemptRef): void
  /** Tells whether this or a higher attempt of the request was admitted or has ended. */
  isStale (ref: AttemptRef): boolean
  /** Tells whether a higher attempt of the request was admitted or has ended. */
  isSuperseded (ref: AttemptRef): boolean
  /** Tells whether this or a higher attempt of the request has ended. */
  hasEnded (ref: AttemptRef): boolean
}

/** Highest attempt numbers of a request; 0 for none. */
interface HighestAttempts {
  seen: number
  ended: number
}

/** Creates a history of at most `maxRequests` requests; it removes the one that was updated least recently first. */
export function createAttemptHistory (maxRequests: number): AttemptHistory {
  const requests = new Map<string, HighestAttempts>()

  function update (requestId: string, seen: number, ended: number): void {
    const previous = requests.get(requestId)
    requests.delete(requestId)
    requests.set(requestId, { seen: Math.max(previous?.seen ?? 0, seen), ended: Math.max(previous?.ended ?? 0, ended) })
    if (requests.size <= maxRequests) return
    const oldest = requests.keys().next().value
    if (oldest !== undefined) requests.delete(oldest)
  }

  const highestSeen = (ref: AttemptRef) => requests.get(ref.requestId)?.seen ?? 0

  return {
    recordAdmitted: (ref) => update(ref.requestId, ref.attempt, 0),
    recordEnded: (ref) => update(ref.requestId, ref.attempt, ref.attempt),
    isStale: (ref) => ref.attempt <= highestSeen(ref),
    isSuperseded: (ref) => ref.attempt < highestSeen(ref),
    hasEnded: (ref) => ref.attempt <= (requests.get(ref.requestId)?.ended ?? 0)
  }
}
