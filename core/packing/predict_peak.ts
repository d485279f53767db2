/**
 * The highest sum of the memory of streams that grow together.
 */
import type { StreamMemory } from './_types.ts'

/**
 * Predicts the highest memory use of streams that all make tokens at the same speed and free their memory at their end.
 *
 * @param streams what each uses now and how much it still grows, in tokens
 * @returns the peak in tokens; 0 without streams
 *
 * @example
 * ```ts
 * import { predictPeak } from 'briarloom/core/packing'
 *
 * const streams = [{ usedTokens: 10, leftTokens: 5 }, { usedTokens: 10, leftTokens: 20 }]
 * console.assert(predictPeak(streams) === 30)
 * ```
 */
export function predictPeak (streams: readonly StreamMemory[]): number {
  const byEnd = [...streams].sort((a, b) => a.remainingTokens - b.remainingTokens)
  let used = byEnd.reduce((sum, stream) => sum + stream.usedTokens, 0)
  let peak = used
  byEnd.forEach((stream, ended) => {
    // All that have not ended have grown as much as this one does until its end.
    peak = Math.max(peak, used + stream.remainingTokens * (byEnd.length - ended))
    used -= stream.usedTokens
  })
  return peak
}
