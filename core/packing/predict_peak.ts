/**
 * The highest memory use of streams that run together.
 */
import type { StreamMemory } from './_types.ts'

/**
 * Predicts the highest memory use of streams that generate tokens at the same speed and free their memory when they end.
 *
 * @param streams the memory that each stream uses now and its remaining output, in tokens
 * @returns the peak in tokens; 0 without streams
 *
 * @example
 * ```ts
 * import { predictPeak } from 'briarloom/core/packing'
 *
 * const streams = [{ usedTokens: 10, remainingTokens: 5 }, { usedTokens: 10, remainingTokens: 20 }]
 * console.assert(predictPeak(streams) === 30)
 * ```
 */
export function predictPeak (streams: readonly StreamMemory[]): number {
  const byRemaining = [...streams].sort((a, b) => a.remainingTokens - b.remainingTokens)
  let usedTokens = byRemaining.reduce((sum, stream) => sum + stream.usedTokens, 0)
  let peak = usedTokens
  byRemaining.forEach((stream, endedCount) => {
    // When this stream ends, every stream that still runs has grown by the same number of tokens.
    peak = Math.max(peak, usedTokens + stream.remainingTokens * (byRemaining.length - endedCount))
    usedTokens -= stream.usedTokens
  })
  return peak
}
