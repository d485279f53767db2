/**
 * What is left of an output of which some is made.
 */

/** Slope of the logistic curve that comes within 0.01 of the normal distribution. */
const logisticSlope = 1.702

/** Approximates the share of a standard normal distribution that lies below `x`. */
function normalShare (x: number): number {
  return 1 / (1 + Math.exp(-logisticSlope * x))
}

/**
 * Returns the expected rest of an output whose logarithm is normally distributed, given that it is longer than what is made.
 *
 * @param medianTokens the median of the whole output in tokens
 * @param spread the standard deviation of its logarithm
 * @param madeTokens what is made already, in tokens
 * @returns the expected rest in tokens
 *
 * @example
 * ```ts
 * import { expectedLeft } from 'briarloom/core/packing'
 *
 * console.assert(expectedLeft(1000, 0.35, 0) > 1000)
 * console.assert(expectedLeft(1000, 0.35, 2000) > 0)
 * ```
 */
export function estimateRemainingTokens (medianTokens: number, spread: number, madeTokens: number): number {
  if (medianTokens <= 0) return 0
  const mean = medianTokens * Math.exp(spread * spread / 2)
  if (madeTokens <= 0) return mean
  const z = Math.log(madeTokens / medianTokens) / spread
  return Math.max(0, mean * normalShare(spread - z) / normalShare(-z) - madeTokens)
}
