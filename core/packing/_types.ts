/**
 * Types of the packing of streams into the memory of an engine.
 */

/** What a request asks of an engine. */
export interface PackRequest {
  requestId: string
  promptTokens: number
  /** The client's estimate of the output in tokens. */
  likelyTokens?: number
  /** Most tokens that the output may have. */
  maxTokens: number
}

/** A run as the engine reports it. */
export interface RunningStream {
  requestId: string
  tokensInMemory: number
  events: number
}

/** Names the ways to predict how much memory a stream will need. */
export enum PackPolicy {
  /** Each stream may need its maximum. */
  Full = 'full',
  /** Each stream needs what its client's estimate and the streams before it say. */
  Likely = 'likely'
}

/** The memory that a stream uses and the growth that it is expected to have. */
export interface StreamMemory {
  usedTokens: number
  remainingTokens: number
}
