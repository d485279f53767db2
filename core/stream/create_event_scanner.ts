/**
 * Finds the ends of events in a stream of server-sent events.
 */
import { byteOrderMark } from './_byte_order_mark.ts'

/** Scans one stream. */
export interface EventScanner {
  /** Scans a chunk and returns the offset in it behind the last event or comment that it completes; 0 when it completes none. */
  scan (chunk: Buffer): number
  /** Returns the number of bytes since the end of the last complete event or comment. */
  partialBytes (): number
  /** Starts anew, because the connection to the source was lost. */
  reset (): void
}

/** What the bytes of the current line have shown of it. */
enum Line {
  Empty,
  Comment,
  Field
}

const lineFeed = 0x0a
const carriageReturn = 0x0d
const colon = 0x3a

/** Returns the offset of a byte in a chunk from an offset on; the length of the chunk when there is none. */
function findByte (chunk: Buffer, byte: number, from: number): number {
  const at = chunk.indexOf(byte, from)
  return at < 0 ? chunk.length : at
}

/**
 * Creates a scanner at the start of a stream. It looks at each byte once and keeps none. Lines end with CR, LF or both; an empty line ends
 * an event; a comment outside an event is complete with its line.
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
  let line = Line.Empty
  /** True when a line of an event has come whose empty line has not. */
  let isInsideEvent = false
  /** True behind a CR: an LF that follows belongs to the same line end. */
  let isAfterReturn = false
  /** Number of bytes of a byte order mark that the stream has begun with; undefined once the stream can have none any more. */
  let markBytes: number | undefined = 0

  /** Tells whether a byte belongs to a byte order mark at the start of the stream. */
  function isMark (byte: number): boolean {
    if (markBytes === undefined) return false
    const belongs = byte === byteOrderMark[markBytes]
    // The first bytes of a mark that is none begin a field.
    if (!belongs && markBytes > 0) line = Line.Field
    markBytes = belongs && markBytes + 1 < byteOrderMark.length ? markBytes + 1 : undefined
    return belongs
  }

  /** Ends the line; returns whether it completes an event or a comment. */
  function endLine (): boolean {
    const isComplete = line === Line.Empty || (line === Line.Comment && !isInsideEvent)
    isInsideEvent = !isComplete && (isInsideEvent || line === Line.Field)
    line = Line.Empty
    return isComplete
  }

  return {
    scan (chunk) {
      const length = chunk.length
      let end = 0
      let nextFeed = -1
      let nextReturn = -1
      for (let i = 0; i < length; i++) {
        const byte = chunk[i] as number
        if (markBytes !== undefined && isMark(byte)) continue
        const isRestOfEnd = byte === lineFeed && isAfterReturn
        isAfterReturn = byte === carriageReturn
        if (isRestOfEnd) {
          if (end === i && (i > 0 || partialBytes === 0)) end = i + 1
        } else if (byte === lineFeed || byte === carriageReturn) {
          if (endLine()) end = i + 1
        } else {
          if (line === Line.Empty) line = byte === colon ? Line.Comment : Line.Field
          if (nextFeed < i) nextFeed = findByte(chunk, lineFeed, i)
          if (nextReturn < i) nextReturn = findByte(chunk, carriageReturn, i)
          i = Math.min(nextFeed, nextReturn) - 1
        }
      }
      partialBytes = end === 0 ? partialBytes + length : length - end
      return end
    },
    partialBytes: () => partialBytes,
    reset () {
      partialBytes = 0
      line = Line.Empty
      isInsideEvent = false
      isAfterReturn = false
      markBytes = 0
    }
  }
}
