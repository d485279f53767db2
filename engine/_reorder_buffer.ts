/**
 * Puts the token batches of a stream in order and drops repeats.
 */
import type { TokenBatch } from './_types.ts'

/** Orders the batches of one stream. */
export interface ReorderBuffer {
  /** Takes a batch as it arrived. */
  add (batch: TokenBatch): void
  /** Returns the offset after the last token that was handed on. */
  nextOffset (): number
}

/** Creates the order of a stream from an offset; `onTokens` gets each token once, in order. */
export function createReorderBuffer (offset: number, onTokens: (batch: TokenBatch) => void): ReorderBuffer {
  let next = offset
  const early = new Map<number, string[]>()

  function add (batch: TokenBatch): void {
    const end = batch.offset + batch.tokens.length
    if (end <= next) return
    if (batch.offset > next) {
      early.set(batch.offset, batch.tokens)
      return
    }
    const tokens = batch.tokens.slice(next - batch.offset)
    const from = next
    next = end
    onTokens({ offset: from, tokens })
    addEarly()
  }

  function addEarly (): void {
    for (const [from, tokens] of early) {
      if (from > next) continue
      early.delete(from)
      add({ offset: from, tokens })
      return
    }
  }

  return { add, nextOffset: () => next }
}
