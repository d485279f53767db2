/**
 * Derives the request under which another engine is sought while the stream of the first one is still listened to.
 */
import { createStopSignal } from './_stop_signal.ts'
import { StopReason } from './_types.ts'
import type { ClientRequest } from './_types.ts'

/** A request that stops with the one it was derived from, or earlier. */
export interface SearchRequest {
  request: ClientRequest
  /** Stops the derived request only; later calls have no effect. */
  cancel (): void
}

/** Derives a request that has a stop of its own. */
export function createSearchRequest (request: ClientRequest): SearchRequest {
  const { stop, onStop, stopReason } = createStopSignal()
  request.onStop(stop)
  return { request: { ...request, onStop, stopReason }, cancel: () => stop(StopReason.StreamGoesOn) }
}
