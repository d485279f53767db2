/**
 * A splitter for server-sent event streams that passes on only complete events.
 */

/** Splits an event stream into complete events. */
export interface EventSplitter {
  /** Adds a chunk and returns the bytes of the events that are now complete; empty when there are none. */
  push (chunk: Buffer): Buffer
  /** Returns the identifier of the last complete event that has one; undefined when there is none. */
  lastId (): string | undefined
  /** Tells whether the bytes so far end inside an event. */
  hasPartialEvent (): boolean
  /** Discards an incomplete event, because the connection to its source was lost. */
  reset (): void
}

const eventEnd = '\n\n'
const idLine = /^id: ?(.*)$/gm

/**
 * Creates an event splitter.
 *
 * @param lastId identifier of the last event that the receiver already has
 * @returns the splitter
 *
 * @example
 * ```ts
 * import { createEventSplitter } from 'briarloom/core/stream'
 *
 * const events = createEventSplitter()
 * console.assert(events.push(Buffer.from('id: 7\ndata: a\n\nid: 8')).toString() === 'id: 7\ndata: a\n\n')
 * console.assert(events.lastId() === '7')
 * ```
 */
export function createEventSplitter (lastId?: string): EventSplitter {
  let partial: Buffer = Buffer.alloc(0)
  let currentLastId = lastId

  return {
    push (chunk) {
      const bytes = partial.length === 0 ? chunk : Buffer.concat([partial, chunk])
      const at = bytes.lastIndexOf(eventEnd)
      if (at < 0) {
        partial = bytes
        return Buffer.alloc(0)
      }
      const whole = bytes.subarray(0, at + eventEnd.length)
      partial = bytes.subarray(at + eventEnd.length)
      for (const found of whole.toString('latin1').matchAll(idLine)) currentLastId = found[1]
      return whole
    },
    lastId: () => currentLastId,
    hasPartialEvent: () => partial.length > 0,
    reset () { partial = Buffer.alloc(0) }
  }
}
