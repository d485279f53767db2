/**
 * An estimate of a delay that most samples stay below.
 */

const smoothing = 0.1
const deviations = 2

/** Learns a delay. */
export interface DelayEstimate {
  /** Takes in a delay in milliseconds. */
  observe (ms: number): void
  /** Returns the mean plus two mean deviations, in milliseconds; 0 before the first sample. */
  ms (): number
}

/**
 * Creates an estimate that knows nothing.
 *
 * @returns the estimate
 *
 * @example
 * ```ts
 * import { createDelayEstimate } from 'briarloom/core/routing'
 *
 * const delay = createDelayEstimate()
 * delay.observe(40)
 * console.assert(delay.ms() === 40)
 * ```
 */
export function createDelayEstimate (): DelayEstimate {
  let mean: number | undefined
  let deviation = 0
  return {
    observe (ms) {
      if (mean === undefined) mean = ms
      deviation += smoothing * (Math.abs(ms - mean) - deviation)
      mean += smoothing * (ms - mean)
    },
    ms: () => (mean ?? 0) + deviations * deviation
  }
}
