/**
 * Exponential smoothing of measurements.
 */

/** Weight of the newest sample; the value follows a change of a worker within about five requests. */
const newestWeight = 0.2

/**
 * Adds a sample to an exponential moving average.
 *
 * @param average the average so far; undefined before the first sample
 * @param sample the newest sample
 * @returns the new average, in the unit of the samples
 *
 * @example
 * ```ts
 * import { smooth } from 'briarloom/core/fleet'
 *
 * console.assert(smooth(undefined, 5) === 5)
 * ```
 */
export function smooth (average: number | undefined, sample: number): number {
  return average === undefined ? sample : average + newestWeight * (sample - average)
}
