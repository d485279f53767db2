/**
 * Learned speeds: the time that a worker takes for a unit of work when nothing is ahead of it.
 */

/** What is known of a worker's speed. */
export interface Speed {
  /** Time in milliseconds for a unit of work. */
  msPerUnit: number
  /** Number of recent samples behind it; older ones count less. */
  samples: number
}

/** Knows the speeds of workers. */
export interface SpeedEstimates {
  record (worker: string, msPerUnit: number, nowMs: number): void
  /** Returns what is known of a worker; undefined when nothing is, or too little of late. */
  get (worker: string, nowMs: number): Speed | undefined
  /** Returns the workers of which something is known. */
  workers (): string[]
}

/** Time in milliseconds after which a sample counts half; a worker that is asked rarely is measured again after about twice that. */
const halfMs = 30_000
const minSamples = 0.3
const maxWorkers = 1_024
/** Weights of a sample that is shorter than what is known, and of one that is longer: what was ahead lengthens it, and nothing shortens it. */
const shorterGain = 0.5
const longerGain = 0.15
/** Largest factor by which one sample changes what is known. */
const maxFactor = 3

/**
 * Creates empty estimates. They follow the shorter samples, since other work in front of a sample lengthens it.
 *
 * @returns the estimates
 *
 * @example
 * ```ts
 * import { createSpeedEstimates } from 'briarloom/core/cost'
 *
 * const speeds = createSpeedEstimates()
 * speeds.record('w', 30, 0)
 * console.assert(speeds.get('w', 10)?.msPerUnit === 30 && speeds.get('w', 120_000) === undefined)
 * ```
 */
export function createSpeedEstimates (): SpeedEstimates {
  const known = new Map<string, { log: number, samples: number, atMs: number }>()

  return {
    record (worker, msPerUnit, nowMs) {
      const sample = Math.log(Math.max(1e-3, msPerUnit))
      const old = known.get(worker)
      known.delete(worker)
      if (old === undefined) known.set(worker, { log: sample, samples: 1, atMs: nowMs })
      else {
        const change = Math.max(-Math.log(maxFactor), Math.min(Math.log(maxFactor), sample - old.log))
        const samples = 1 + old.samples * 0.5 ** ((nowMs - old.atMs) / halfMs)
        known.set(worker, { log: old.log + change * (change < 0 ? shorterGain : longerGain), samples, atMs: nowMs })
      }
      if (known.size > maxWorkers) known.delete(known.keys().next().value as string)
    },
    get (worker, nowMs) {
      const value = known.get(worker)
      if (value === undefined) return undefined
      const samples = value.samples * 0.5 ** ((nowMs - value.atMs) / halfMs)
      return samples < minSamples ? undefined : { msPerUnit: Math.exp(value.log), samples }
    },
    workers: () => [...known.keys()]
  }
}
