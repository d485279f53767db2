/**
 * The expected remaining output of a stream that has generated some of it.
 */

/** Slope at which the logistic function differs from the normal distribution function by less than 0.01. */
const logisticSlope = 1.702

/** Approximates the standard normal distribution function at `x` by a logistic function. */
function approximateNormalCdf (x: number): number {
  return 1 / (1 + Math.exp(-logisticSlope * x))
}

/**
 * Estimates the remaining tokens of an output whose length is log-normally distributed and exceeds the tokens generated so far.
 *
 * @param medianTokens the median of the whole output, in tokens
 * @param logDeviation the standard deviation of the logarithm of the whole output; positive
 * @param generatedTokens the output generated so far, in tokens
 * @returns the expected remaining output in tokens, not below 0
 *
 * @example
 * ```ts
 * import { estimateRemainingTokens } from 'briarloom/core/packing'
 *
 * console.assert(estimateRemainingTokens(1000, 0.35, 0) > 1000)
 * console.assert(estimateRemainingTokens(1000, 0.35, 2000) > 0)
 * ```
 */
export function estimateRemainingTokens (medianTokens: number, logDeviation: number, generatedTokens: number): number {
  if (medianTokens <= 0) return 0
  const mean = medianTokens * Math.exp(logDeviation * logDeviation / 2)
  if (generatedTokens <= 0) return mean
  const z = Math.log(generatedTokens / medianTokens) / logDeviation
  return Math.max(0, mean * approximateNormalCdf(logDeviation - z) / approximateNormalCdf(-z) - generatedTokens)
}
