/**
 * Plans a load run: derives arrival times and prompts from a seed.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { skipN } from 'pure-rand/utils/skipN'
import type { LoadOptions } from './_load_options.ts'

/** Describes one planned request. */
export interface PlannedRequest {
  /** Start time in milliseconds after the start of the run. */
  atMs: number
  prompt: string
}

/** Outputs of the generator that are skipped, because the first outputs of small seeds resemble each other. */
const skippedOutputs = 64

const vocabulary = ['rideau', 'velours', 'lettre', 'avis', 'notaire', 'ignifuge', 'couture', 'dossier', 'rapport', 'scène']

/**
 * Yields the requests of an open-loop run in the order of their start.
 *
 * The gaps between starts are exponentially distributed and fixed in advance, so a slow response delays no later request.
 * Every prompt starts with a word that is unique within the run.
 */
export function * planLoad (options: Pick<LoadOptions, 'seed' | 'ratePerS' | 'durationMs' | 'words'>): Generator<PlannedRequest> {
  const rng = xoroshiro128plus(options.seed)
  skipN(rng, skippedOutputs)
  let atMs = 0
  for (let index = 0; ; index++) {
    atMs += -Math.log(1 - uniformFloat64(rng)) * 1000 / options.ratePerS
    if (atMs >= options.durationMs) return
    const length = uniformInt(rng, options.words.low, options.words.high)
    const words = Array.from({ length: length - 1 }, () => vocabulary[uniformInt(rng, 0, vocabulary.length - 1)])
    yield { atMs, prompt: [`r${options.seed}-${index}`, ...words].join(' ') }
  }
}
