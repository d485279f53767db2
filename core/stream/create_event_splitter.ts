/**
 * A splitter of event streams that lets only whole events through.
 */

/** Splits a stream into whole events. */
export interface EventSplitter {
  /** Takes bytes and returns the whole events that are complete with them; empty when there are none. */
  push (chunk: Buffer): Buffer
  /** Returns the identifier of the last whole event; undefined before the first one that has an identifier. */
  lastId (): string | undefined
  /** Drops an event that has begun and will not end, because its source is lost. */
  reset (): void
}

const eventEnd = '\n\n'
const idLine = /^id: ?(.*)$/gm

/**
 * Creates a splitter.
 *
 * @param lastId the last event that the receiver has already
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
  let rest: Buffer = Buffer.alloc(0)
  let last = lastId

  return {
    push (chunk) {
      const bytes = rest.length === 0 ? chunk : Buffer.concat([rest, chunk])
      const at = bytes.lastIndexOf(eventEnd)
      if (at < 0) {
        rest = bytes
        return Buffer.alloc(0)
      }
      const whole = bytes.subarray(0, at + eventEnd.length)
      rest = bytes.subarray(at + eventEnd.length)
      for (const found of whole.toString('latin1').matchAll(idLine)) last = found[1]
      return whole
    },
    lastId: () => last,
    reset () { rest = Buffer.alloc(0) }
  }
}
