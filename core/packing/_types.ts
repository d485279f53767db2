/**
 * Types for the admission of streams to the memory of an engine.
 */

/** Describes a stream that requests memory of an engine. */
export interface PackRequest {
  requestId: string
  promptTokens: number
  /** The client's estimate of the output in tokens; absent when the client gives none. */
  likelyTokens?: number
  /** Maximum output in tokens. */
  maxTokens: number
}

/** Describes a stream that the engine reports as running. */
export interface RunningStream {
  requestId: string
  /** Tokens of the prompt and the output that the engine holds in memory. */
  tokensInMemory: number
  /** Number of output events so far; each carries several tokens. */
  events: number
}

/** Names the ways to predict the output of a stream. */
export enum PackPolicy {
  /** Predicts the maximum output of the stream. */
  Full = 'full',
  /** Predicts from the client's estimate and from the output of completed streams. */
  Likely = 'likely'
}

/** Describes the memory that a stream uses and the output that is expected to follow, both in tokens. */
export interface StreamMemory {
  usedTokens: number
  remainingTokens: number
}
