/**
 * Puts batches of tokens that come late, twice or out of order into one gapless answer.
 */

/** Configures an assembler. */
export interface TokenAssemblerOptions {
  /** Offset of the first token to accept; 0 by default. */
  startOffset?: number
  /** Largest number of batches kept that came before the tokens in front of them; 256 by default. */
  maxPendingBatches?: number
}

/** Puts the tokens of one answer in order. */
export interface TokenAssembler {
  /** Takes a batch and returns the tokens that now continue the answer, perhaps none. */
  addBatch (offset: number, tokens: string[]): string[]
  /** Offset of the next token that is missing. */
  nextOffset (): number
  /** The tokens assembled so far, from `offset` on. */
  getTokensFrom (offset: number): string[]
  /** Drops the batches that wait for tokens in front of them. */
  dropPendingBatches (): void
}

const defaultMaxEarly = 256

/**
 * Creates an assembler for one answer.
 *
 * @param options the first offset and the bound on early batches
 * @returns the assembler
 *
 * @example
 * ```ts
 * import { createTokenAssembler } from 'briarloom/core/stream'
 *
 * const answer = createTokenAssembler()
 * console.assert(answer.take(1, ['b']).length === 0)
 * console.assert(answer.take(0, ['a']).join('') === 'ab')
 * console.assert(answer.take(0, ['a', 'b']).length === 0)
 * ```
 */
export function createTokenAssembler (options: TokenAssemblerOptions = {}): TokenAssembler {
  const startOffset = options.startOffset ?? 0
  const maxEarly = options.maxPendingBatches ?? defaultMaxEarly
  const assembled: string[] = []
  const early = new Map<number, string[]>()

  const next = (): number => startOffset + assembled.length

  function keep (offset: number, tokens: string[]): void {
    if (early.size < maxEarly) early.set(offset, tokens)
  }

  /** Appends the part of a batch that continues the answer. */
  function append (offset: number, tokens: string[]): void {
    const fresh = tokens.slice(next() - offset)
    for (const token of fresh) assembled.push(token)
  }

  function appendEarly (): void {
    let moved = true
    while (moved) {
      moved = false
      for (const [offset, tokens] of early) {
        if (offset > next()) continue
        early.delete(offset)
        append(offset, tokens)
        moved = true
      }
    }
  }

  return {
    addBatch (offset, tokens) {
      const before = assembled.length
      if (offset > next()) keep(offset, tokens)
      else append(offset, tokens)
      if (early.size > 0) appendEarly()
      return assembled.slice(before)
    },
    nextOffset: next,
    getTokensFrom: (offset) => assembled.slice(Math.max(0, offset - startOffset)),
    dropPendingBatches: () => early.clear()
  }
}
