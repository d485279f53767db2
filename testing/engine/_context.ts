/**
 * What the parts of the engine stand-in share.
 */
import type { Timer } from '../../timer/mod.ts'
import { FaultKind } from '../faults/mod.ts'
import type { FaultGate } from '../faults/mod.ts'
import type { Counters, Memory } from './_memory.ts'
import type { EngineOptions } from './_options.ts'
import type { PrefixCache } from './_prefix_cache.ts'

/** Holds what the parts of the engine share. */
export interface EngineContext {
  options: EngineOptions
  timer: Timer
  gate: FaultGate
  memory: Memory
  cache: PrefixCache
  counters: Counters
  /** How many prefills of each prompt began, by the hash of the prompt. */
  prefillCounts: Map<number, number>
}

/** Describes held work as it goes over HTTP. */
export interface HeldWorkBody {
  request_id: string
  attempt: number
  pieces: number
  offset: number
  phase: 'prefill' | 'kv' | 'decode'
}

/** Identifies an attempt as it goes over HTTP. */
export interface AttemptBody {
  request_id: string
  attempt: number
}

const slowFactor = 10

/** Builds the key of an attempt. */
export function attemptKey (ref: AttemptBody): string {
  return `${ref.request_id}/${ref.attempt}`
}

/** Scales a time in milliseconds by the speed of the engine and the slow fault. */
export function scaleMs (ctx: EngineContext, ms: number): number {
  const factor = ctx.gate.isActive(FaultKind.Slow) ? slowFactor : 1
  return ms * factor / ctx.options.speed
}

/** Counts the pieces that hold so many tokens. */
export function countPieces (ctx: EngineContext, tokens: number): number {
  return Math.ceil(tokens / ctx.options.tokensPerPiece)
}
