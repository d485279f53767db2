/**
 * Options of the engine stand-in and their defaults.
 */
import type { Timer } from '../../timer/mod.ts'

/** Names the roles of an engine. */
export enum EngineRole {
  Prefill = 'prefill',
  Decode = 'decode'
}

/** Configures an engine. The times of prefills, decode steps and loading of weights are divided by `speed`. */
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
  /** Time in milliseconds of a decode step without the part for each stream. */
  stepMs: number
  /** Time in milliseconds that each stream adds to a decode step. */
  stepMsPerSeat: number
  /** Time in milliseconds for which a prefill result is kept unless its export began. */
  keepsMs: number
  /** Size of the KV cache of one token in bytes. */
  kvBytesPerToken: number
  /** Rate of the link that all exports share, in bytes per millisecond. */
  linkBytesPerMs: number
  /** Size of the prefix cache in pieces, separate from the memory for requests. */
  cachePieces: number
  /** Interval in milliseconds between two measurements of the load report. */
  loadLagMs: number
  /** Delay in milliseconds before a cache event can be read. */
  eventLagMs: number
  /** One cache event in so many is lost and can never be read; 0 loses none. */
  eventGapEvery: number
  /** True when orders with an old fencing number are refused. */
  fencing: boolean
  /** Time in milliseconds to load the weights that an order names. */
  weightLoadMs: number
  /** Factor by which the engine is faster than the times above say. */
  speed: number
  timer?: Timer
}

/** Returns the options with defaults for those that are missing. */
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
