/**
 * Types for the workers that a process knows.
 */

import type { Hold, Pacer } from '../pacing/mod.ts'

/** Names the states that a worker publishes. */
export enum WorkerState {
  Ready = 'ready',
  /** Accepts no new requests and leaves soon. */
  Draining = 'draining'
}

/** Names the phases of a generation; an engine serves one of them. */
export enum Stage {
  Prefill = 'prefill',
  Decode = 'decode'
}

/** Describes a worker as it publishes itself. */
export interface WorkerEntry {
  /** Identity of the worker. */
  id: string
  service: string
  /** Address `ip:port`. */
  address: string
  zone: string
  /** Maximum number of concurrent requests. */
  slots: number
  state: WorkerState
  /** Phase that an engine serves; absent when the worker is not an engine. */
  stage?: Stage
  /** Unix time in milliseconds at which the worker started; tells a restarted worker with the same identity from its predecessor. */
  bornMs: number
  /** Version of the worker's software, not of a model; what two versions write does not fit together. */
  softwareVersion: string
  /** Number of times that the worker has written its entry since its start; absent when unknown. */
  sequence?: number
}

/** Describes the load of an engine as it reports it. */
export interface EngineStatus {
  stage: Stage
  /** True while the engine carries out an order, such as a switch of its stage. */
  busy: boolean
  /** Number of orders accepted since the start of the engine. */
  orders: number
  /** Number of requests that wait to run. */
  waiting: number
  /** Number of running requests. */
  running: number
  /** Tokens in memory that cannot be evicted. */
  usedTokens: number
  /** Tokens of memory that reservations hold. */
  reservedTokens: number
  /** Memory of the engine in tokens. */
  totalTokens: number
}

/** Describes the free capacity of an engine as its sidecar reported it. */
export interface EngineCapacityView {
  /** Time in milliseconds at which the report was received. */
  receivedAtMs: number
  /** Free memory for streams, in tokens. */
  freeTokens: number
  /** True when the engine runs prefill only. */
  isPrefill: boolean
  /** Number of requests that wait to run or for prefill. */
  waitingRequests: number
  /** Number of gateways that send requests to the engine. */
  gateways: number
  /** Time in milliseconds until which the engine wants no request, as its sidecar has told; absent when it takes some. */
  heldUntilMs?: number
}

/** What one incarnation of a worker has said of itself in its answers; kept while its entry is missing. */
export interface WorkerWord {
  /** Time of the worker's start, as in its entry. */
  bornMs: number
  /** Time in milliseconds at which this process learned from an answer that the worker leaves. */
  leavingSinceMs?: number
  /** Holds requests back while the worker wants none; all incarnations share it. */
  hold: Hold
}

/** Describes a worker with what this process has measured of it. */
export interface Worker {
  entry: WorkerEntry
  word: WorkerWord
  /** Time in milliseconds since which the worker is known to drain. */
  drainingSinceMs?: number
  /** Time in milliseconds since which the worker is known to be gone; requests that were assigned to it before may still hold it. */
  goneSinceMs?: number
  /** Requests of this process in flight at the worker. */
  inFlight: number
  /** Memory in tokens that requests of this process reserve or use there. */
  ownTokens: number
  /** Prompt tokens of this process that are in prefill or queued for it there. */
  ownQueuedPromptTokens: number
  /** Time in milliseconds before which no prefill is sent to it, because it refused one. */
  prefillRetryAtMs?: number
  /** Shortest of the newest prefill times in milliseconds for each prompt token. */
  prefillMsPerToken?: number
  /** The newest prefill times in milliseconds for each prompt token, oldest first. */
  prefillSamples?: readonly number[]
  /** Shortest of the newest times in milliseconds for each token of prompts that it prefilled between the tokens of its streams, and those. */
  decodePrefillMsPerToken?: number
  decodePrefillSamples?: readonly number[]
  /** Smoothed length in tokens of the prompts that this process sent it for prefill. */
  typicalPromptTokens?: number
  /** Smoothed share of requests that failed, from 0 to 1. */
  failureShare: number
  /** Number of streams in a row that the engine failed, and the time in milliseconds until which it is asked last; absent after a success. */
  streamFailures?: { count: number, untilMs: number }
  /** Smoothed latency in milliseconds; 0 before the first sample. */
  latencyMs: number
  /** Time in milliseconds before which the worker is suspect: it is chosen only when no other is left. */
  suspectUntilMs: number
  /** Paces the requests of this process while the worker limits their rate; absent when its newest response names no limit. */
  pacer?: Pacer
  /** Newest report of its sidecar; absent when the sidecar is not connected. */
  capacity?: EngineCapacityView
}
