/**
 * Memory of the engine, counted in pieces, and the counters of its work since the start.
 */

/** Counts the work of the engine since its start. The names are served as JSON. */
export interface Counters {
  prefills: number
  prefilled_tokens: number
  tokens_decoded: number
  prefills_expired: number
  kv_bytes_exported: number
  cancels: number
  orders_refused: number
  streams_dropped: number
  /** Prefilled tokens whose result expired before an export began. */
  wasted_expired: number
  /** Prefilled tokens whose attempt was cancelled before its export ended. */
  wasted_cancelled: number
  /** Prefilled tokens that were dropped because an order replaced the weights. */
  wasted_dropped: number
  /** Tokens of imported prompts whose stream was cancelled before it generated a token. */
  wasted_undecoded: number
}

/** Tracks the memory of the engine in pieces. */
export interface Memory {
  /** Returns the number of reserved pieces. */
  countUsed (): number
  /** Reserves pieces; returns false and reserves nothing when too few are free. */
  reserve (pieces: number): boolean
  /** Releases reserved pieces; throws when fewer are reserved. */
  release (pieces: number): void
}

/** Creates memory of `pieces` pieces, all free. */
export function createMemory (pieces: number): Memory {
  let used = 0
  return {
    countUsed: () => used,
    reserve (count) {
      if (used + count > pieces) return false
      used += count
      return true
    },
    release (count) {
      if (count > used) throw new Error(`cannot release ${count} pieces, because only ${used} are reserved`)
      used -= count
    }
  }
}

/** Creates counters at zero. */
export function createCounters (): Counters {
  return {
    prefills: 0,
    prefilled_tokens: 0,
    tokens_decoded: 0,
    prefills_expired: 0,
    kv_bytes_exported: 0,
    cancels: 0,
    orders_refused: 0,
    streams_dropped: 0,
    wasted_expired: 0,
    wasted_cancelled: 0,
    wasted_dropped: 0,
    wasted_undecoded: 0
  }
}
