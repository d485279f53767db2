/**
 * A splitter for server-sent event streams that passes on only complete events.
 */
import { byteOrderMark } from './_byte_order_mark.ts'
import { createByteBuffer } from './create_byte_buffer.ts'
import { createEventScanner } from './create_event_scanner.ts'

/** Splits an event stream into complete events. */
export interface EventSplitter {
  /** Adds a chunk and returns the bytes of the events that are now complete; empty when there are none. */
  push (chunk: Buffer): Buffer
  /** Returns the identifier of the last complete event that has one; undefined when there is none. */
  lastId (): string | undefined
  /** Tells whether an event has come whose number is not above that of the event before it; it is not passed on, nor is what follows. */
  hasRepeatedEvent (): boolean
  /** Returns the number of bytes that are held, those of the event that is not complete; 0 when the bytes so far end with an event. */
  partialBytes (): number
  /** Discards an incomplete event, because the connection to its source was lost. */
  reset (): void
}

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
  const scanner = createEventScanner()
  const partial = createByteBuffer()
  let currentLastId = lastId
  let hasRepeated = false
  /** True before the first event of a source, which a byte order mark may precede. */
  let isAtStart = true
  let hasPassedOn = false

  /** Records the identifiers of complete events; false when one repeats an earlier event. Identifiers that are no numbers have no order. */
  function recordIds (text: string): boolean {
    let last = currentLastId
    for (const [, id] of text.matchAll(idLine)) {
      if (last !== undefined && Number(id) <= Number(last)) return false
      last = id
    }
    currentLastId = last
    return true
  }

  return {
    push (chunk) {
      const end = scanner.scan(chunk)
      if (end === 0) {
        partial.append(chunk)
        return Buffer.alloc(0)
      }
      const last = chunk.subarray(0, end)
      const whole = partial.length() === 0 ? last : Buffer.concat([partial.take(), last])
      if (end < chunk.length) partial.append(chunk.subarray(end))
      const hasMark = isAtStart && whole.subarray(0, byteOrderMark.length).equals(byteOrderMark)
      const events = hasMark ? whole.subarray(byteOrderMark.length) : whole
      isAtStart = false
      hasRepeated ||= !recordIds(events.toString('latin1'))
      if (hasRepeated) return Buffer.alloc(0)
      // A mark belongs to the start of a stream; behind the events of an earlier source it would hide the name of the first field.
      const passedOn = hasPassedOn ? events : whole
      hasPassedOn = true
      return passedOn
    },
    lastId: () => currentLastId,
    partialBytes: scanner.partialBytes,
    hasRepeatedEvent: () => hasRepeated,
    reset () {
      scanner.reset()
      partial.take()
      hasRepeated = false
      isAtStart = true
    }
  }
}
