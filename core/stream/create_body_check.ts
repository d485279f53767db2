/**
 * Judges whether the body of a response has come whole.
 */
import { createEventScanner } from './create_event_scanner.ts'

/** Checks one body as it comes. */
export interface BodyCheck {
  /**
   * Adds a chunk and returns the part of it that may be passed on: all of it, unless it ends a body of a stated length inside an event, which
   * would look complete to whoever has all of these bytes.
   */
  add (chunk: Buffer): Buffer
  /** Returns the number of bytes since the end of the last complete event; 0 for a body that is no stream of events. */
  partialBytes (): number
  /** Returns why a body that has ended as its framing requires is not whole; undefined when it is. */
  findFault (): string | undefined
}

/** What the head of a response tells of its body. */
export interface BodyCheckOptions {
  /** True when the body is a stream of events. */
  hasEvents: boolean
  /** True when the body ends with the connection, for lack of a length. */
  isCloseDelimited: boolean
  /** The stated length; undefined when there is none. */
  lengthBytes?: number | undefined
}

const uncheckedBody: BodyCheck = { add: (chunk) => chunk, partialBytes: () => 0, findFault: () => undefined }

/**
 * Creates the check of a body. A stream that ends inside an event was broken off, however it is framed; one without a length also when it
 * ends before its first event. What a server writes when its process ends may complete the framing of a stream that it has not finished.
 *
 * @param options what the head of the response tells
 * @returns the check
 *
 * @example
 * ```ts
 * import { createBodyCheck } from 'briarloom/core/stream'
 *
 * const check = createBodyCheck({ hasEvents: true, isCloseDelimited: true })
 * check.add(Buffer.from('data: a\n\ndata:'))
 * console.assert(check.findFault() === 'the stream ended inside an event')
 * ```
 */
export function createBodyCheck ({ hasEvents, isCloseDelimited, lengthBytes }: BodyCheckOptions): BodyCheck {
  if (!hasEvents) return uncheckedBody
  const scanner = createEventScanner()
  let bytes = 0
  return {
    add (chunk) {
      bytes += chunk.length
      const end = scanner.scan(chunk)
      return bytes === lengthBytes && scanner.partialBytes() > 0 ? chunk.subarray(0, end) : chunk
    },
    partialBytes: scanner.partialBytes,
    findFault () {
      if (scanner.partialBytes() > 0) return 'the stream ended inside an event'
      return isCloseDelimited && bytes === 0 ? 'the stream ended before its first event' : undefined
    }
  }
}
