/**
 * Judges whether the body of a worker's response has come whole.
 */
import { RequestKind } from '../core/route/mod.ts'
import { createEventScanner } from '../core/stream/mod.ts'
import type { ResponseHead } from '../platform/mod.ts'
import type { ClientRequest } from './_types.ts'

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

const eventStreamType = 'text/event-stream'
/** Lowest status of a response that is no success. */
const minRefusalStatus = 300

/**
 * Tells whether the body of a response is a stream of events: by the media type, or, when the worker states none, because the route carries
 * streams. What answers a prefill is none.
 */
export function carriesEvents ({ route }: ClientRequest, { status, mediaType }: ResponseHead, isPrefill: boolean): boolean {
  if (status >= minRefusalStatus || isPrefill) return false
  return mediaType === undefined ? route.kind === RequestKind.Streaming : mediaType === eventStreamType
}

const uncheckedBody: BodyCheck = { add: (chunk) => chunk, partialBytes: () => 0, findFault: () => undefined }

/** What the head of a response tells of its body. */
export interface BodyDescription {
  hasEvents: boolean
  /** True when the body ends with the connection, for lack of a length. */
  isCloseDelimited: boolean
  /** The stated length; undefined when there is none. */
  lengthBytes: number | undefined
}

/**
 * Creates the check of a body. A stream that ends inside an event was broken off, however it is framed; one without a length also when it
 * ends before its first event. What a worker writes when its process ends may complete the framing of a stream that it has not finished.
 */
export function checkBody ({ hasEvents, isCloseDelimited, lengthBytes }: BodyDescription): BodyCheck {
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
