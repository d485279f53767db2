/**
 * A bound on the bytes that a process holds for several streams together.
 */

/** The bytes that one stream holds. */
export interface ByteAccount {
  /** Sets the number of bytes that the stream holds now. */
  set (bytes: number): void
  /** Ends the account; the stream holds nothing any more. */
  close (): void
}

/** Configures an account. */
export interface ByteAccountOptions {
  /**
   * Returns how readily the account is evicted, when the budget is exceeded: a higher rank before a lower one, whatever they hold; 0 by
   * default. Of accounts of one rank, the one that holds the most is evicted; one without a rank is not evicted.
   */
  rank?: () => number | undefined
  /** Number of bytes up to which the account is evicted only when no other is left; 0 by default. */
  floorBytes?: number
}

/** Bounds the bytes of all open accounts together. */
export interface ByteBudget {
  /** Largest number of bytes that all accounts may hold together. */
  readonly maxBytes: number
  /** Opens an account. `onEvicted` is called when all accounts together hold too much and this one is the first to go; it is closed by then. */
  open (onEvicted: () => void, options?: ByteAccountOptions): ByteAccount
  /** Returns the number of bytes that all open accounts hold. */
  heldBytes (): number
  /** Tells whether more than half of the budget is held, so that accounts without progress should end. */
  isTight (): boolean
}

/** Configures a budget. */
export interface ByteBudgetOptions {
  /** Largest number of bytes that all accounts may hold together. */
  maxBytes: number
}

/**
 * Creates a budget without accounts. When the accounts together exceed it, those that hold the most are evicted until they do not, so
 * that a stream that holds little goes on whatever the others hold. Options of the accounts refine that order.
 *
 * @param options the bound
 * @returns the budget
 *
 * @example
 * ```ts
 * import { createByteBudget } from 'briarloom/core/stream'
 *
 * const budget = createByteBudget({ maxBytes: 100 })
 * let isEvicted = false
 * budget.open(() => { isEvicted = true }).set(80)
 * budget.open(() => {}).set(30)
 * console.assert(isEvicted && budget.heldBytes() === 30)
 * ```
 */
export function createByteBudget (options: ByteBudgetOptions): ByteBudget {
  interface Entry { bytes: number, rank: () => number | undefined, floorBytes: number, onEvicted: () => void }
  const { maxBytes } = options
  const entries = new Set<Entry>()
  let heldBytes = 0

  function isExceeded (): boolean { return heldBytes > maxBytes }

  function close (entry: Entry): void {
    if (entries.delete(entry)) heldBytes -= entry.bytes
  }

  /** Evicts one account; returns false when there is none that may be evicted. */
  function evictFirst (): boolean {
    let first: Entry | undefined
    let firstRank = 0
    for (const entry of entries) {
      const ownRank = entry.rank()
      if (ownRank === undefined) continue
      const rank = entry.bytes <= entry.floorBytes ? -Infinity : ownRank
      if (first !== undefined && (rank < firstRank || (rank === firstRank && entry.bytes <= first.bytes))) continue
      first = entry
      firstRank = rank
    }
    if (first === undefined) return false
    close(first)
    first.onEvicted()
    return true
  }

  return {
    maxBytes,
    open (onEvicted, { rank = () => 0, floorBytes = 0 } = {}) {
      const entry: Entry = { bytes: 0, rank, floorBytes, onEvicted }
      entries.add(entry)
      return {
        set (bytes) {
          if (!entries.has(entry)) return
          heldBytes += bytes - entry.bytes
          entry.bytes = bytes
          while (isExceeded() && evictFirst());
        },
        close: () => close(entry)
      }
    },
    heldBytes: () => heldBytes,
    isTight: () => heldBytes > maxBytes / 2
  }
}
