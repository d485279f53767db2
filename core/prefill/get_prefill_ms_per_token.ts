/**
 * The measured prefill time of the engines of a service.
 */
import type { Worker } from '../fleet/mod.ts'
import { defaultPrefillMsPerToken } from './estimate_decode_engine_ms.ts'

/**
 * Returns the shortest prefill time that has been measured at an engine of a service; the others were measured behind the prompts of
 * other processes.
 *
 * @param workers the engines of the service
 * @returns the time in milliseconds for each prompt token; a default until there is a measurement
 *
 * @example
 * ```ts
 * import { getPrefillMsPerToken } from 'briarloom/core/prefill'
 *
 * console.assert(getPrefillMsPerToken([]) > 0)
 * ```
 */
export function getPrefillMsPerToken (workers: readonly Worker[]): number {
  const measured = workers.flatMap(({ prefillMsPerToken }) => prefillMsPerToken ?? [])
  return measured.length === 0 ? defaultPrefillMsPerToken : Math.min(...measured)
}
