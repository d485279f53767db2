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

/** Bounds the bytes of all open accounts together. */
export interface ByteBudget {
  /** Opens an account. `onEvicted` is called when the account holds the most while all together hold too much; it is closed by then. */
  open (onEvicted: () => void): ByteAccount
  /** Returns the number of bytes that all open accounts hold. */
  heldBytes (): number
}

/** Configures a budget. */
export interface ByteBudgetOptions {
  /** Largest number of bytes that all accounts may hold together. */
  maxBytes: number
}

/**
 * Creates a budget without accounts. When the accounts together exceed it, those that hold the most are evicted until they do not, so
 * that a stream that holds little goes on whatever the others hold.
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
  interface Entry { bytes: number, onEvicted: () => void }
  const { maxBytes } = options
  const entries = new Set<Entry>()
  let heldBytes = 0

  function isExceeded (): boolean { return heldBytes > maxBytes }

  function close (entry: Entry): void {
    if (entries.delete(entry)) heldBytes -= entry.bytes
  }

  function evictLargest (): void {
    let largest: Entry | undefined
    for (const entry of entries) if (largest === undefined || entry.bytes > largest.bytes) largest = entry
    if (largest === undefined) return
    close(largest)
    largest.onEvicted()
  }

  return {
    open (onEvicted) {
      const entry: Entry = { bytes: 0, onEvicted }
      entries.add(entry)
      return {
        set (bytes) {
          if (!entries.has(entry)) return
          heldBytes += bytes - entry.bytes
          entry.bytes = bytes
          while (isExceeded()) evictLargest()
        },
        close: () => close(entry)
      }
    },
    heldBytes: () => heldBytes
  }
}
