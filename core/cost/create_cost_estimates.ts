/**
 * Learned costs: the work of requests that look alike, and the speed of workers.
 */

/** One answered request. */
export interface CostSample {
  /** Names of what the request looks like, the most general first, as in `stamp` and `stamp/POST`. */
  keys: readonly string[]
  /** Incarnation of the worker that answered. */
  worker: string
  /** Time in milliseconds that the worker took, without the round trip. */
  tookMs: number
  /** Time in milliseconds for which requests ahead of it were worked off, if the worker had mean speed. */
  queueMs: number
}

/** Knows what requests are likely to cost and how fast workers are. */
export interface CostEstimates {
  /** Returns the expected work of a request, in milliseconds of a worker of mean speed. */
  workMs (keys: readonly string[]): number
  /** Returns how long a worker takes relative to others, and the number of recent samples behind that. */
  slowness (worker: string, nowMs: number): { slowness: number, samples: number }
  record (sample: CostSample, nowMs: number): void
  /** Returns the number of values that are kept. */
  size (): number
}

/** Configures what is kept. */
export interface CostEstimatesOptions {
  /** Highest number of kinds of requests, and of workers; 512 by default. */
  maxKeys?: number
}

/** Work in milliseconds of a request of which nothing is known. */
const defaultWorkMs = 20
/** Samples after which a more specific name of a request is used. */
const minSamples = 8
/** Lowest weight of the newest sample of a kind of request; the work of one kind varies by half and a hundredth of them take five times as long. */
const minWorkGain = 0.02
/** Weight of the newest sample of a worker: a phase of 600 ms in which it is slow shows after a few answers. */
const slownessGain = 0.15
/** Largest deviation of a sample from the expectation that counts, as a factor. */
const maxDeviation = 4
/** Bounds of the slowness, so that a worker whose answers came late is still asked at times. */
const maxSlowness = 8
/** Time in milliseconds after which half of what is known of a worker's speed is forgotten, so that one that has recovered is asked again. */
const slownessHalfMs = 3_000

/** Time in milliseconds for which a slowness is told again without a new sample. */
const tellAgainMs = 20
/** What is told of a worker of which nothing is known. */
const unknown = { slowness: 1, samples: 0 }

interface Work { logMs: number, samples: number }
/** `log` is the logarithm of the slowness at `atMs`. */
interface Slowness { log: number, samples: number, atMs: number, toldMs: number, told: { slowness: number, samples: number } }

/**
 * Creates empty estimates. Each answer is compared with the expectation in its logarithm, which bounds what a single slow one changes,
 * and the difference is divided between the kind of request and the worker.
 *
 * @param options the bounds
 * @returns the estimates
 *
 * @example
 * ```ts
 * import { createCostEstimates } from 'briarloom/core/cost'
 *
 * const costs = createCostEstimates()
 * for (let i = 0; i < 50; i++) costs.record({ keys: ['read'], worker: 'w', tookMs: 90, queueMs: 0 }, i)
 * console.assert(Math.round(costs.workMs(['read'])) > 60)
 * ```
 */
export function createCostEstimates (options: CostEstimatesOptions = {}): CostEstimates {
  const { maxKeys = 512 } = options
  const works = new Map<string, Work>()
  const workers = new Map<string, Slowness>()

  /** Returns the value of a key as the newest of its map; the one that was used last before all others goes when there are too many. */
  function touch<T> (map: Map<string, T>, key: string, create: () => T): T {
    const value = map.get(key) ?? create()
    map.delete(key)
    map.set(key, value)
    if (map.size > maxKeys) map.delete(map.keys().next().value as string)
    return value
  }

  function findWork (keys: readonly string[]): Work | undefined {
    const known = keys.flatMap((key) => works.get(key) ?? [])
    return known.findLast(({ samples }) => samples >= minSamples) ?? known[0]
  }

  function workMs (keys: readonly string[]): number {
    const work = findWork(keys)
    return work === undefined ? defaultWorkMs : Math.exp(work.logMs)
  }

  /** Lets old knowledge fade toward the mean speed. */
  function age (known: Slowness, nowMs: number): void {
    const share = 0.5 ** (Math.max(0, nowMs - known.atMs) / slownessHalfMs)
    known.log *= share
    known.samples *= share
    known.atMs = nowMs
  }

  return {
    workMs,
    slowness (worker, nowMs) {
      const known = workers.get(worker)
      if (known === undefined) return unknown
      // A value is told again for a moment, since each choice asks for those of all workers.
      if (nowMs - known.toldMs < tellAgainMs) return known.told
      age(known, nowMs)
      known.toldMs = nowMs
      known.told = { slowness: Math.exp(known.log), samples: known.samples }
      return known.told
    },
    record ({ keys, worker, tookMs, queueMs }, nowMs) {
      const known = touch(workers, worker, (): Slowness => ({ log: 0, samples: 0, atMs: nowMs, toldMs: -Infinity, told: unknown }))
      age(known, nowMs)
      const usualMs = workMs(keys)
      const deviation = Math.log(Math.max(1, tookMs) / (usualMs + queueMs)) - known.log
      for (const key of keys) {
        const work = touch(works, key, (): Work => ({ logMs: Math.log(usualMs), samples: 0 }))
        const gain = Math.max(minWorkGain, 1 / (2 + work.samples))
        // A kind of request that is new is learned from its first samples without a bound.
        const bound = work.samples < minSamples ? Infinity : Math.log(maxDeviation)
        work.logMs += gain * Math.max(-bound, Math.min(bound, deviation))
        work.samples++
      }
      if (known.samples === 0 && works.get(keys[0] ?? '')?.samples === 1) return
      known.log += slownessGain * Math.max(-Math.log(maxDeviation), Math.min(Math.log(maxDeviation), deviation))
      known.log = Math.max(-Math.log(maxSlowness), Math.min(Math.log(maxSlowness), known.log))
      known.samples++
      known.toldMs = -Infinity
    },
    size: () => works.size + workers.size
  }
}
