/**
 * The choice where a prompt is prefilled, or whether it waits.
 */
import { canPrefillWithinPause } from './can_prefill_within_pause.ts'

/** Names where a prompt is prefilled. */
export enum PrefillPlace {
  PrefillEngine = 'prefill_engine',
  /** The decode engine prefills it between the tokens of its streams. */
  DecodeEngine = 'decode_engine',
  /** Nowhere now: the queue of the prefill engines has no room for it, and a decode engine would stop its streams for too long. */
  Later = 'later'
}

/** Describes a prompt and the engines that could prefill it; times in milliseconds. */
export interface PrefillRequest {
  /** Expected time until the best prefill engine has finished the prompt; undefined when none can be asked. */
  prefillEngineMs?: number
  /** Expected time that a decode engine takes. */
  decodeEngineMs: number
  /** Time within which the prefill must end for the request to reach its target latency. */
  leftMs: number
  targetLatencyMs: number
  longestPauseMs: number
  /** True when the decode engines that have memory run prefills already. */
  areDecodeEnginesBusy: boolean
  /** False when nobody has measured lately how long the decode engine takes; `decodeEngineMs` is then an upper bound. True by default. */
  isMeasured?: boolean
}

/** Share of the target latency that a prefill may take before a decode engine is considered for it. */
const prefillLatencyShare = 0.45

/**
 * Chooses where a prompt is prefilled.
 *
 * The load that it answers: when bursts or lost engines leave less prefill capacity than prompts need, prompts that join the queue
 * although they cannot be finished in time make those behind them late too, and hold the memory that they have reserved meanwhile; the
 * queue then outlasts the burst. So the queue is bounded by the target latency: a prompt that cannot be finished in time is prefilled
 * by a decode engine whose streams bear it, or waits, and is refused before its caller has lost much time.
 *
 * @param request the prompt and the engines
 * @returns the place
 *
 * @example
 * ```ts
 * import { choosePrefillPlace, PrefillPlace } from 'briarloom/core/prefill'
 *
 * const request = { decodeEngineMs: 150, leftMs: 800, targetLatencyMs: 900, longestPauseMs: 300, areDecodeEnginesBusy: false }
 * console.assert(choosePrefillPlace({ ...request, prefillEngineMs: 100 }) === PrefillPlace.PrefillEngine)
 * console.assert(choosePrefillPlace({ ...request, prefillEngineMs: 2000 }) === PrefillPlace.DecodeEngine)
 * ```
 */
export function choosePrefillPlace (request: PrefillRequest): PrefillPlace {
  const { prefillEngineMs, decodeEngineMs, leftMs, targetLatencyMs, longestPauseMs, areDecodeEnginesBusy, isMeasured = true } = request
  if (prefillEngineMs === undefined) return areDecodeEnginesBusy ? PrefillPlace.Later : PrefillPlace.DecodeEngine
  // A short prompt measures the engine, so that it is known in the next burst whether it can help.
  const isHarmless = decodeEngineMs <= prefillLatencyShare * Math.min(leftMs, targetLatencyMs) && canPrefillWithinPause(decodeEngineMs, longestPauseMs)
  if (!isMeasured && !areDecodeEnginesBusy && isHarmless) return PrefillPlace.DecodeEngine
  if (prefillEngineMs <= Math.min(leftMs, prefillLatencyShare * targetLatencyMs)) return PrefillPlace.PrefillEngine
  const isDecodeEngineBetter = decodeEngineMs < prefillEngineMs && canPrefillWithinPause(decodeEngineMs, longestPauseMs)
  if (isDecodeEngineBetter && !areDecodeEnginesBusy) return PrefillPlace.DecodeEngine
  return prefillEngineMs <= leftMs ? PrefillPlace.PrefillEngine : PrefillPlace.Later
}
