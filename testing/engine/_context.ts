/**
 * What the modules of the engine stand-in share: their context, the keys of attempts, and the scaling of times and sizes.
 */
import type { Timer } from '../../timer/mod.ts'
import { FaultKind } from '../faults/mod.ts'
import type { FaultGate } from '../faults/mod.ts'
import type { Counters, Memory } from './_memory.ts'
import type { EngineOptions } from './_options.ts'
import type { PrefixCache } from './_prefix_cache.ts'

/** Holds the options and the state that the modules of one engine share. */
export interface EngineContext {
  options: EngineOptions
  timer: Timer
  gate: FaultGate
  memory: Memory
  cache: PrefixCache
  counters: Counters
  /** Number of prefills that began for each prompt, by the hash of the prompt. */
  prefillCounts: Map<number, number>
}

/** Describes work that occupies memory of the engine, as JSON over HTTP. */
export interface HeldWorkBody {
  request_id: string
  attempt: number
  /** Reserved memory in pieces. */
  pieces: number
  /** Offset of the next token to generate; 0 for a prefill. */
  offset: number
  phase: 'prefill' | 'kv' | 'decode'
}

/** Identifies an attempt of a request, as JSON over HTTP. */
export interface AttemptBody {
  request_id: string
  attempt: number
}

/** Factor by which a fault of the kind `Slow` lengthens times. */
const slowdownFactor = 10

/** Returns the key under which an attempt is stored, `REQUEST/ATTEMPT`. */
export function attemptKey (ref: AttemptBody): string {
  return `${ref.request_id}/${ref.attempt}`
}

/** Returns a time in milliseconds, divided by the speed of the engine and lengthened while it has the fault `Slow`. */
export function scaleMs (ctx: EngineContext, ms: number): number {
  const factor = ctx.gate.isActive(FaultKind.Slow) ? slowdownFactor : 1
  return ms * factor / ctx.options.speed
}

/** Returns the number of memory pieces that `tokens` tokens need, rounded up. */
export function countPieces (ctx: EngineContext, tokens: number): number {
  return Math.ceil(tokens / ctx.options.tokensPerPiece)
}
