/**
 * Tells the parts that serve a request that it has stopped.
 */
import type { StopReason } from './_types.ts'

/** Stops a request once. */
export interface StopSignal {
  /** Stops the request; later calls have no effect. */
  stop (reason: StopReason): void
  /** Calls `fn` when the request stops; at once if it has stopped already. */
  onStop (fn: (reason: StopReason) => void): void
  /** Returns why the request has stopped; undefined before. */
  stopReason (): StopReason | undefined
}

/** Creates the signal of a request that has not stopped. */
export function createStopSignal (): StopSignal {
  const handlers: Array<(reason: StopReason) => void> = []
  let stopReason: StopReason | undefined
  return {
    stop (reason) {
      if (stopReason !== undefined) return
      stopReason = reason
      for (const fn of handlers.splice(0)) fn(reason)
    },
    onStop (fn) {
      if (stopReason === undefined) handlers.push(fn)
      else fn(stopReason)
    },
    stopReason: () => stopReason
  }
}
