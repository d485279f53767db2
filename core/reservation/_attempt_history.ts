/**
 * A bounded memory of the highest attempt seen for each request and of whether it ended.
 */
import type { AttemptRef } from '../types/mod.ts'

/** Remembers attempts. */
export interface AttemptHistory {
  /** Notes that an attempt was admitted. */
  recordAdmitted (ref: AttemptRef): void
  /** Notes that an attempt ended. */
  recordEnded (ref: AttemptRef): void
  /** Tells whether an attempt was admitted before, has ended, or is older than one that was. */
  isStale (ref: AttemptRef): boolean
  /** Tells whether a higher attempt of the same request was seen. */
  isSuperseded (ref: AttemptRef): boolean
  /** Tells whether an attempt, or a later one of its request, has ended. */
  hasEnded (ref: AttemptRef): boolean
}

interface Highest {
  seen: number
  ended: number
}

/** Creates a memory of at most `maxRequests` requests that forgets the one changed longest ago first. */
export function createAttemptHistory (maxRequests: number): AttemptHistory {
  const requests = new Map<string, Highest>()

  function put (requestId: string, seen: number, ended: number): void {
    const old = requests.get(requestId)
    requests.delete(requestId)
    requests.set(requestId, { seen: Math.max(old?.seen ?? 0, seen), ended: Math.max(old?.ended ?? 0, ended) })
    if (requests.size <= maxRequests) return
    const oldest = requests.keys().next().value
    if (oldest !== undefined) requests.delete(oldest)
  }

  const seenOf = (ref: AttemptRef) => requests.get(ref.requestId)?.seen ?? 0

  return {
    recordAdmitted: (ref) => put(ref.requestId, ref.attempt, 0),
    recordEnded: (ref) => put(ref.requestId, ref.attempt, ref.attempt),
    isStale: (ref) => ref.attempt <= seenOf(ref),
    isSuperseded: (ref) => ref.attempt < seenOf(ref),
    hasEnded: (ref) => ref.attempt <= (requests.get(ref.requestId)?.ended ?? 0)
  }
}
