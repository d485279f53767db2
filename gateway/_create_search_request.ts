/**
 * Derives the request under which another engine is sought while the stream of the first one is still listened to.
 */
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
  const stopHandlers: Array<(reason: StopReason) => void> = []
  let stopReason: StopReason | undefined

  function stop (reason: StopReason): void {
    if (stopReason !== undefined) return
    stopReason = reason
    for (const fn of stopHandlers.splice(0)) fn(reason)
  }

  request.onStop(stop)
  return {
    request: {
      ...request,
      stopReason: () => stopReason,
      onStop (fn) {
        if (stopReason === undefined) stopHandlers.push(fn)
        else fn(stopReason)
      }
    },
    cancel: () => stop(StopReason.StreamGoesOn)
  }
}
