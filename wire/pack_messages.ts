/**
 * The messages between gateways and the processes beside engines.
 */
import type { AttemptRef } from '../core/types/mod.ts'
import type { MessageKind } from './message_kind.ts'

/** Asks the process beside an engine to admit a stream to the engine's memory. */
export interface Admit extends AttemptRef {
  kind: MessageKind.Admit
  /** Identity of the engine that is meant. */
  workerId: string
  promptTokens: number
  /** The client's estimate of the output in tokens. */
  likelyTokens?: number
  /** Most tokens that the output may have. */
  maxTokens: number
  /** True when the engine is to read the prompt itself, between the tokens of its other streams. */
  reads: boolean
}

/** Admits a stream; answers `Pack`. */
export interface Admitted extends AttemptRef {
  kind: MessageKind.Admitted
  /** Name of the reservation at the engine. */
  hold: string
}

/** Tells the process beside an engine that a stream has ended. */
export interface StreamEnded extends AttemptRef {
  kind: MessageKind.StreamEnded
  /** True when the engine has made all of it. */
  whole: boolean
}

/** Says how much memory of an engine is left for streams, on change. */
export interface EngineCapacity {
  kind: MessageKind.EngineCapacity
  /** Identity of the engine. */
  workerId: string
  /** Tokens that the predicted peak leaves free. */
  roomTokens: number
  /** True when the engine only reads prompts, and is not about to change. */
  reads: boolean
  /** Requests that wait to run or to be read. */
  waiting: number
  /** Number of processes that send requests to the engine. */
  senders: number
}
