/**
 * Types of the view of the workers.
 */

/** Names the states that a worker publishes. */
export enum WorkerState {
  Ready = 'ready',
  /** Leaves soon and takes no new work. */
  Draining = 'draining'
}

/** Names the halves of a generation that an engine may serve. */
export enum Stage {
  Prefill = 'prefill',
  Decode = 'decode'
}

/** What a worker publishes of itself. */
export interface WorkerEntry {
  /** Identity of this incarnation. */
  id: string
  service: string
  /** Address `ip:port`. */
  address: string
  zone: string
  /** Number of requests that it runs at once. */
  slots: number
  state: WorkerState
  /** Set when the worker is an engine. */
  stage?: Stage
  /** Unix time in milliseconds of its start; differs between two incarnations with one identity. */
  bornMs: number
}

/** What an engine says of its load. */
export interface EngineStatus {
  stage: Stage
  /** True while it carries out an order. */
  busy: boolean
  /** Number of orders that it has accepted since its start. */
  orders: number
  waiting: number
  running: number
  /** Tokens in memory that cannot yield. */
  usedTokens: number
  /** Tokens that reservations hold. */
  reservedTokens: number
  totalTokens: number
}

/** What the process beside an engine says of it. */
export interface EngineCapacityView {
  /** Time in milliseconds when this was heard. */
  receivedAtMs: number
  /** Tokens that are free for streams. */
  freeTokens: number
  /** True when it only reads prompts. */
  isPrefill: boolean
  /** Requests that wait to run or to be read. */
  waitingRequests: number
  /** Number of processes that send requests to the engine. */
  gateways: number
}

/** The view of one worker. */
export interface Worker {
  entry: WorkerEntry
  /** Time in milliseconds since which it is known to leave. */
  drainingSinceMs?: number
  /** Requests of this process that it works on. */
  inFlight: number
  /** Tokens that requests of this process reserved or use there. */
  ownTokens: number
  /** Prompt tokens of this process that wait to be read there. */
  ownQueuedPromptTokens: number
  /** Time in milliseconds until which it is not asked to read prompts, because it refused one. */
  prefillRetryAtMs?: number
  /** Smoothed time in milliseconds in which it reads one prompt token. */
  prefillMsPerToken?: number
  /** Smoothed number of tokens of the prompts that this process had it read. */
  typicalPromptTokens?: number
  /** Share of recent requests that failed, from 0 to 1. */
  failureShare: number
  /** Smoothed latency in milliseconds. */
  latencyMs: number
  /** Time in milliseconds until which other workers go first. */
  suspectUntilMs: number
  /** Newest word from the process beside it; absent when that process is not connected. */
  capacity?: EngineCapacityView
}
