/**
 * The messages between gateways and the sidecars of engines, by which streams are admitted to an engine's memory.
 */
import type { LeavingWorker } from '../core/fleet/mod.ts'
import type { PromptEvidence } from '../core/quarantine/mod.ts'
import type { AttemptRef } from '../core/types/mod.ts'
import type { MessageKind } from './message_kind.ts'

/** Asks the sidecar of an engine to admit a stream to the engine's memory; answered by `Admitted` or `Refused`. */
export interface Admit extends AttemptRef {
  kind: MessageKind.Admit
  /** Identity of the engine that should run the stream. */
  workerId: string
  /** Software version that the engine is taken to have: it may have started again with another one. Absent from builds that do not say it. */
  engineVersion?: string
  promptTokens: number
  /** The client's estimate of the number of output tokens. */
  likelyTokens?: number
  /** Largest number of output tokens. */
  maxTokens: number
  /** True when the engine should also run the prefill, between the decode steps of its other streams. */
  reads: boolean
  /** Time in milliseconds that the engine is expected to take for the prefill. */
  readMs?: number
}

/** Admits a stream; answers `Admit`. */
export interface Admitted extends AttemptRef {
  kind: MessageKind.Admitted
  /** Identifier of the reservation at the engine. */
  hold: string
}

/** Reports to the sidecar of an engine that a stream has ended. */
export interface StreamEnded extends AttemptRef {
  kind: MessageKind.StreamEnded
  /** True when the engine generated the complete output. */
  whole: boolean
}

/** Reports how much of an engine's memory is free for streams; sent when it changes. */
export interface EngineCapacity {
  kind: MessageKind.EngineCapacity
  /** Identity of the engine. */
  workerId: string
  /** Number of tokens that stay free at the predicted peak of memory use. */
  roomTokens: number
  /** True when the engine runs only prefill, and no change of that is under way. */
  reads: boolean
  /** Number of requests that wait for decode or prefill. */
  waiting: number
  /** Number of processes that send requests to the engine. */
  senders: number
  /** Time in milliseconds for which the engine still wants no requests; absent when it takes some. */
  heldMs?: number
}

/** Tells of crashes of engines, of prompts that did not cause them, and of workers that leave; sidecars pass it on to the gateways that are connected. */
export interface PromptEvidenceMessage extends PromptEvidence {
  kind: MessageKind.PromptEvidence
  /** Incarnations of workers that have said in an answer that they leave; a hint. */
  leaving?: LeavingWorker[]
}
