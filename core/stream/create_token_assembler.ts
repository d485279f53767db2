/**
 * Assembles an answer without gaps from batches of tokens that arrive late, repeatedly or out of order.
 */

/** Options of a token assembler. */
export interface TokenAssemblerOptions {
  /** Offset of the first token to accept; 0 by default. */
  startOffset?: number
  /** Maximum number of batches kept that arrived before the tokens in front of them; 256 by default. */
  maxPendingBatches?: number
}

/** Assembles the tokens of one answer in order. */
export interface TokenAssembler {
  /** Adds a batch that begins at `offset` and returns the tokens that now continue the answer, which may be none. */
  addBatch (offset: number, tokens: string[]): string[]
  /** Returns the offset of the next missing token. */
  nextOffset (): number
  /** Returns the assembled tokens from `offset` on. */
  getTokensFrom (offset: number): string[]
  /** Discards the batches that wait for tokens in front of them. */
  dropPendingBatches (): void
}

const defaultMaxPendingBatches = 256

/**
 * Creates a token assembler for one answer.
 *
 * @param options the first offset and the maximum number of pending batches
 * @returns the assembler
 *
 * @example
 * ```ts
 * import { createTokenAssembler } from 'briarloom/core/stream'
 *
 * const answer = createTokenAssembler()
 * console.assert(answer.addBatch(1, ['b']).length === 0)
 * console.assert(answer.addBatch(0, ['a']).join('') === 'ab')
 * console.assert(answer.addBatch(0, ['a', 'b']).length === 0)
 * ```
 */
export function createTokenAssembler (options: TokenAssemblerOptions = {}): TokenAssembler {
  const startOffset = options.startOffset ?? 0
  const maxPendingBatches = options.maxPendingBatches ?? defaultMaxPendingBatches
  const assembled: string[] = []
  const pending = new Map<number, string[]>()

  const nextOffset = (): number => startOffset + assembled.length

  function addPending (offset: number, tokens: string[]): void {
    if (pending.size < maxPendingBatches) pending.set(offset, tokens)
  }

  /** Appends the part of a batch that continues the answer. */
  function append (offset: number, tokens: string[]): void {
    const newTokens = tokens.slice(nextOffset() - offset)
    for (const token of newTokens) assembled.push(token)
  }

  function appendPending (): void {
    let hasAppended = true
    while (hasAppended) {
      hasAppended = false
      for (const [offset, tokens] of pending) {
        if (offset > nextOffset()) continue
        pending.delete(offset)
        append(offset, tokens)
        hasAppended = true
      }
    }
  }

  return {
    addBatch (offset, tokens) {
      const before = assembled.length
      if (offset > nextOffset()) addPending(offset, tokens)
      else append(offset, tokens)
      if (pending.size > 0) appendPending()
      return assembled.slice(before)
    },
    nextOffset,
    getTokensFrom: (offset) => assembled.slice(Math.max(0, offset - startOffset)),
    dropPendingBatches: () => pending.clear()
  }
}
