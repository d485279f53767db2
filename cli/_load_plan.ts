/**
 * Arrival times and prompts of a run of load, from a seed.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { skipN } from 'pure-rand/utils/skipN'
import type { LoadOptions } from './_load_options.ts'

/** One planned request. */
export interface PlannedRequest {
  /** Start in milliseconds after the start of the run. */
  atMs: number
  prompt: string
}

/** Outputs to skip: the first ones of small seeds resemble each other. */
const warmUpOutputs = 64

const vocabulary = ['rideau', 'velours', 'lettre', 'avis', 'notaire', 'ignifuge', 'couture', 'dossier', 'rapport', 'scène']

/** Yields the requests of an open loop: gaps are exponential, so that a slow answer delays no later request. */
export function * planLoad (options: Pick<LoadOptions, 'seed' | 'ratePerS' | 'durationMs' | 'words'>): Generator<PlannedRequest> {
  const rng = xoroshiro128plus(options.seed)
  skipN(rng, warmUpOutputs)
  let atMs = 0
  for (let number = 0; ; number++) {
    atMs += -Math.log(1 - uniformFloat64(rng)) * 1000 / options.ratePerS
    if (atMs >= options.durationMs) return
    const length = uniformInt(rng, options.words.low, options.words.high)
    const words = Array.from({ length: length - 1 }, () => vocabulary[uniformInt(rng, 0, vocabulary.length - 1)])
    yield { atMs, prompt: [`r${options.seed}-${number}`, ...words].join(' ') }
  }
}
