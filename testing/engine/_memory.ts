/**
 * Memory of the engine in pieces, and its totals since the start.
 */

/** Counts work since the start of the engine. */
export interface Counters {
  prefills: number
  prefilled_tokens: number
  tokens_decoded: number
  prefills_expired: number
  kv_bytes_exported: number
  cancels: number
  orders_refused: number
  streams_dropped: number
  /** Prefilled tokens whose result nobody fetched in time. */
  wasted_expired: number
  /** Prefilled tokens whose attempt was cancelled before its export ended. */
  wasted_cancelled: number
  /** Prefilled tokens that an order dropped. */
  wasted_dropped: number
  /** Tokens of imported prompts whose stream ended without a generated token. */
  wasted_undecoded: number
}

/** Holds the memory of the engine. */
export interface Memory {
  countUsed (): number
  /** Takes pieces; answers false when too few are free. */
  reserve (pieces: number): boolean
  release (pieces: number): void
}

/** Creates memory of a size in pieces, all free. */
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
      if (count > used) throw new Error(`${count} pieces given back while ${used} are in use`)
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
