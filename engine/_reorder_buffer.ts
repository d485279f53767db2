/**
 * Puts the token batches of a stream in order and drops repeated tokens.
 */
import type { TokenBatch } from './_types.ts'

/** Reorders the batches of one stream. */
export interface ReorderBuffer {
  /** Adds a batch as it arrives, and emits what is then consecutive. */
  add (batch: TokenBatch): void
  /** Returns the offset after the last token that was emitted. */
  nextOffset (): number
}

/** Creates a buffer for a stream that starts at `offset`; `onTokens` gets each token once, in order. */
export function createReorderBuffer (offset: number, onTokens: (batch: TokenBatch) => void): ReorderBuffer {
  let nextOffset = offset
  const pendingBatches = new Map<number, string[]>()

  function add (batch: TokenBatch): void {
    const end = batch.offset + batch.tokens.length
    if (end <= nextOffset) return
    if (batch.offset > nextOffset) {
      pendingBatches.set(batch.offset, batch.tokens)
      return
    }
    const tokens = batch.tokens.slice(nextOffset - batch.offset)
    const from = nextOffset
    nextOffset = end
    onTokens({ offset: from, tokens })
    addPending()
  }

  function addPending (): void {
    for (const [from, tokens] of pendingBatches) {
      if (from > nextOffset) continue
      pendingBatches.delete(from)
      add({ offset: from, tokens })
      return
    }
  }

  return { add, nextOffset: () => nextOffset }
}
