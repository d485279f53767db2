/**
 * An estimate of a delay that most samples stay below.
 */

const smoothing = 0.1
const deviations = 2
const halfLifeMs = 1000

/** Learns a delay. */
export interface DelayEstimate {
  /** Takes in a delay in milliseconds at time `nowMs`. */
  observe (ms: number, nowMs: number): void
  /** Returns the mean plus two mean deviations, in milliseconds; 0 before the first sample. */
  estimateMs (nowMs: number): number
}

/**
 * Creates an estimate that knows nothing. It halves for every second without a sample: work that is refused for a high
 * estimate brings no sample that could correct it.
 *
 * @returns the estimate
 *
 * @example
 * ```ts
 * import { createDelayEstimate } from 'briarloom/core/routing'
 *
 * const delay = createDelayEstimate()
 * delay.observe(40, 0)
 * console.assert(delay.ms(0) === 40)
 * console.assert(delay.ms(1000) === 20)
 * ```
 */
export function createDelayEstimate (): DelayEstimate {
  let mean: number | undefined
  let deviation = 0
  let lastMs = 0
  return {
    observe (ms, nowMs) {
      lastMs = nowMs
      if (mean === undefined) mean = ms
      deviation += smoothing * (Math.abs(ms - mean) - deviation)
      mean += smoothing * (ms - mean)
    },
    estimateMs: (nowMs) => ((mean ?? 0) + deviations * deviation) * 0.5 ** (Math.max(0, nowMs - lastMs) / halfLifeMs)
  }
}
