/**
 * Options of the engine stand-in and their defaults.
 */
import type { Timer } from '../../timer/mod.ts'

/** Names the roles of an engine. */
export enum EngineRole {
  Prefill = 'prefill',
  Decode = 'decode'
}

/** Configures an engine. Times are divided by `speed`. */
export interface EngineOptions {
  /** Port to listen on; 0 takes a free one. */
  port: number
  role: EngineRole
  model: string
  version: string
  adapter: string
  seats: number
  pieces: number
  tokensPerPiece: number
  /** Time in milliseconds to prefill one token. */
  prefillMsPerToken: number
  /** Time in milliseconds of a decode step before the part for each seat. */
  stepMs: number
  /** Time in milliseconds that each stream adds to a decode step. */
  stepMsPerSeat: number
  /** Time in milliseconds for which a prefill result is kept unless its export began. */
  keepsMs: number
  /** Size of the KV cache of one token in bytes. */
  kvBytesPerToken: number
  /** Rate of the link for exports, in bytes a millisecond. */
  linkBytesPerMs: number
  /** Size of the prefix cache in pieces, beside the memory for requests. */
  cachePieces: number
  /** Lag in milliseconds of the load report. */
  loadLagMs: number
  /** Lag in milliseconds of cache events. */
  eventLagMs: number
  /** One of so many cache events is lost; 0 loses none. */
  eventGapEvery: number
  /** True when orders with an old fencing number are refused. */
  fencing: boolean
  /** Time in milliseconds to load weights after an order. */
  weightLoadMs: number
  /** Factor by which the engine is faster. */
  speed: number
  timer?: Timer
}

/** Fills in the defaults. */
export function withDefaults (options: Partial<EngineOptions>): EngineOptions {
  return {
    port: 0,
    role: EngineRole.Decode,
    model: 'm1',
    version: 'v1',
    adapter: '',
    seats: 20,
    pieces: 4000,
    tokensPerPiece: 16,
    prefillMsPerToken: 0.05,
    stepMs: 8,
    stepMsPerSeat: 0.3,
    keepsMs: 800,
    kvBytesPerToken: 2048,
    linkBytesPerMs: 50_000,
    cachePieces: 1000,
    loadLagMs: 250,
    eventLagMs: 500,
    eventGapEvery: 10,
    fencing: true,
    weightLoadMs: 500,
    speed: 1,
    ...options
  }
}
