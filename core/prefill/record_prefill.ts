/**
 * The measurement of the speed of a prefill engine.
 */
import type { Worker } from '../fleet/mod.ts'

/** Number of the newest samples that count. */
const maxSamples = 8
/** A sample below this share of the upper median of the newest ones is that of a prompt that the engine had cached. */
const cachedShare = 0.12

/** Adds a sample to the newest ones, and returns them with the measurement. */
function addSample (known: readonly number[] | undefined, msPerToken: number): { samples: readonly number[], shortest: number } {
  const samples = [...(known ?? []), msPerToken].slice(-maxSamples)
  const sorted = [...samples].sort((a, b) => a - b)
  const leastMs = cachedShare * (sorted[Math.floor(sorted.length / 2)] as number)
  return { samples, shortest: sorted.find((sample) => sample >= leastMs) as number }
}

/**
 * Records how long a prefill engine took for a prompt. Prompts of other processes in front of it lengthen a sample, so the shortest of the
 * newest samples is the measurement; a prompt that the engine had cached shortens one, which does not count then.
 *
 * @param worker the prefill engine
 * @param msPerToken the time in milliseconds that it took for each prompt token
 *
 * @example
 * ```ts
 * import { createFleet } from 'briarloom/core/fleet'
 * import { recordPrefill } from 'briarloom/core/prefill'
 *
 * for (const worker of createFleet().all()) recordPrefill(worker, 0.02)
 * ```
 */
export function recordPrefill (worker: Worker, msPerToken: number): void {
  const { samples, shortest } = addSample(worker.prefillSamples, msPerToken)
  worker.prefillSamples = samples
  worker.prefillMsPerToken = shortest
}

/**
 * Records how long a decode engine took for a prompt that it prefilled between the tokens of its streams.
 *
 * @param worker the decode engine
 * @param msPerToken the time in milliseconds that it took for each prompt token
 *
 * @example
 * ```ts
 * import { createFleet } from 'briarloom/core/fleet'
 * import { recordDecodePrefill } from 'briarloom/core/prefill'
 *
 * for (const worker of createFleet().all()) recordDecodePrefill(worker, 0.05)
 * ```
 */
export function recordDecodePrefill (worker: Worker, msPerToken: number): void {
  const { samples, shortest } = addSample(worker.decodePrefillSamples, msPerToken)
  worker.decodePrefillSamples = samples
  worker.decodePrefillMsPerToken = shortest
}
