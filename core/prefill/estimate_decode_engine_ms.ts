/**
 * The time that a prefill takes at a decode engine.
 */
import type { Worker } from '../fleet/mod.ts'

/** Time in milliseconds that one prompt token takes at a prefill engine, until a measurement replaces it. */
export const defaultPrefillMsPerToken = 0.02
/** Factor by which the prefill takes longer at a decode engine: half the speed, and a step of its streams after each piece. */
const decodeEngineFactor = 2.25

/**
 * Estimates the time that a decode engine takes to prefill a prompt between the tokens of its streams.
 *
 * @param promptTokens the length of the prompt in tokens
 * @param prefillMsPerToken the time in milliseconds that one prompt token takes at a prefill engine of the same service
 * @returns the time in milliseconds
 *
 * @example
 * ```ts
 * import { estimateDecodeEngineMs } from 'briarloom/core/prefill'
 *
 * console.assert(estimateDecodeEngineMs(1000, 0.03) > 1000 * 0.03)
 * ```
 */
export function estimateDecodeEngineMs (promptTokens: number, prefillMsPerToken: number): number {
  return promptTokens * prefillMsPerToken * decodeEngineFactor
}

/**
 * Estimates the time that a given decode engine takes to prefill a prompt between the tokens of its streams.
 *
 * The load that it answers: engines of one service differ in speed by more than two. Taken to be as fast as the fastest one, a slow engine
 * gets prompts that stop its streams for longer than their callers bear. So an engine that has not been measured yet is taken to be as
 * slow as the slowest one that has.
 *
 * @param promptTokens the length of the prompt in tokens
 * @param worker the decode engine
 * @param engines all engines of its service
 * @returns the time in milliseconds
 *
 * @example
 * ```ts
 * import { createFleet } from 'briarloom/core/fleet'
 * import { estimatePrefillAtMs } from 'briarloom/core/prefill'
 *
 * const engines = createFleet().all()
 * for (const engine of engines) console.assert(estimatePrefillAtMs(1000, engine, engines) > 0)
 * ```
 */
export function estimatePrefillAtMs (promptTokens: number, worker: Worker, engines: readonly Worker[]): number {
  if (worker.decodePrefillMsPerToken !== undefined) return promptTokens * worker.decodePrefillMsPerToken
  const measured = engines.flatMap(({ prefillMsPerToken }) => prefillMsPerToken ?? [])
  const msPerToken = worker.prefillMsPerToken ?? (measured.length === 0 ? defaultPrefillMsPerToken : Math.max(...measured))
  return estimateDecodeEngineMs(promptTokens, msPerToken)
}
