/**
 * Reads the rest of a response of which nothing is used, so that its connection can carry the next request.
 */
import type { Timer } from '../timer/mod.ts'

/** A body that is being discarded. */
export interface DiscardedBody {
  /** Records that a chunk of the body has come. */
  add (chunk: Buffer): void
  /** Ends the discarding, because the response has ended. */
  cancel (): void
}

/** Length in bytes and duration in milliseconds beyond which a body costs more than a new connection. */
const maxDiscardedBytes = 65_536
const maxDiscardMs = 100

/** Begins to discard a body; calls `onTooLong` once when its end has not come within the bounds. */
export function discardBody (timer: Timer, onTooLong: () => void): DiscardedBody {
  let leftBytes = maxDiscardedBytes
  const timeout = timer.after(maxDiscardMs, onTooLong)
  return {
    add (chunk) {
      const wasLeft = leftBytes >= 0
      leftBytes -= chunk.length
      if (!wasLeft || leftBytes >= 0) return
      timeout.cancel()
      onTooLong()
    },
    cancel: () => timeout.cancel()
  }
}
