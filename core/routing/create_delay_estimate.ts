/**
 * An upper estimate of a delay, above most of its samples.
 */

/** Weight of the newest sample in the mean and in the mean deviation. */
const newestWeight = 0.1
/** Number of mean deviations that the estimate lies above the mean. */
const deviationFactor = 2
/** Time in milliseconds without a sample after which the estimate has halved. */
const halfLifeMs = 1000

/** Estimates a delay from samples. */
export interface DelayEstimate {
  /** Adds a sample in milliseconds, taken at time `nowMs`. */
  observe (sampleMs: number, nowMs: number): void
  /** Returns the mean plus two mean deviations, decayed since the last sample, in milliseconds; 0 before the first sample. */
  estimateMs (nowMs: number): number
}

/**
 * Creates an estimate without samples.
 *
 * The estimate halves with every second without a sample, because work that is refused for a high estimate brings no sample that
 * could correct it.
 *
 * @returns the estimate
 *
 * @example
 * ```ts
 * import { createDelayEstimate } from 'briarloom/core/routing'
 *
 * const delay = createDelayEstimate()
 * delay.observe(40, 0)
 * console.assert(delay.estimateMs(0) === 40)
 * console.assert(delay.estimateMs(1000) === 20)
 * ```
 */
export function createDelayEstimate (): DelayEstimate {
  let meanMs: number | undefined
  let deviationMs = 0
  let lastMs = 0
  return {
    observe (sampleMs, nowMs) {
      lastMs = nowMs
      if (meanMs === undefined) meanMs = sampleMs
      deviationMs += newestWeight * (Math.abs(sampleMs - meanMs) - deviationMs)
      meanMs += newestWeight * (sampleMs - meanMs)
    },
    estimateMs: (nowMs) => ((meanMs ?? 0) + deviationFactor * deviationMs) * 0.5 ** (Math.max(0, nowMs - lastMs) / halfLifeMs)
  }
}
