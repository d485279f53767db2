/**
 * Finds the ends of events in a stream of server-sent events.
 */

/** Scans one stream. */
export interface EventScanner {
  /** Scans a chunk and returns the offset in it behind the last event that it completes; 0 when it completes none. */
  scan (chunk: Buffer): number
  /** Returns the number of bytes since the end of the last complete event. */
  partialBytes (): number
  /** Starts anew, because the connection to the source was lost. */
  reset (): void
}

const newline = 0x0a
const eventEnd = '\n\n'

/**
 * Creates a scanner at the start of a stream. It looks at each byte once and keeps none.
 *
 * @returns the scanner
 *
 * @example
 * ```ts
 * import { createEventScanner } from 'briarloom/core/stream'
 *
 * const scanner = createEventScanner()
 * console.assert(scanner.scan(Buffer.from('data: a\n')) === 0 && scanner.scan(Buffer.from('\ndata')) === 1)
 * console.assert(scanner.partialBytes() === 4)
 * ```
 */
export function createEventScanner (): EventScanner {
  let partialBytes = 0
  let endsWithNewline = false

  function findEnd (chunk: Buffer): number {
    const at = chunk.lastIndexOf(eventEnd)
    if (at >= 0) return at + eventEnd.length
    // Behind a complete event, a further empty line is not the beginning of another one.
    return chunk[0] === newline && (endsWithNewline || partialBytes === 0) ? 1 : 0
  }

  return {
    scan (chunk) {
      if (chunk.length === 0) return 0
      const end = findEnd(chunk)
      partialBytes = end === 0 ? partialBytes + chunk.length : chunk.length - end
      endsWithNewline = partialBytes > 0 && chunk[chunk.length - 1] === newline
      return end
    },
    partialBytes: () => partialBytes,
    reset () {
      partialBytes = 0
      endsWithNewline = false
    }
  }
}
