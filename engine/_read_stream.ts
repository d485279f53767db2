/**
 * Reads the event stream of a decode: events `data: JSON`, separated by blank lines.
 */
import { Err, Ok } from '../core/results/mod.ts'
import type { Result } from '../core/results/mod.ts'
import { toEngineError } from './_http_errors.ts'
import { createReorderBuffer } from './_reorder_buffer.ts'
import type { ReorderBuffer } from './_reorder_buffer.ts'
import { EngineErrorKind } from './_types.ts'
import type { DecodeEnd, EngineError, TokenBatch } from './_types.ts'

const maxEventChars = 1_048_576
const eventEnd = '\n\n'

function brokenStream (message: string): Result<DecodeEnd, EngineError> {
  return Err({ kind: EngineErrorKind.Broken, sent: true, message })
}

const isCount = (value: unknown): value is number => Number.isSafeInteger(value) && (value as number) >= 0

function isTokens (value: unknown): value is string[] {
  return Array.isArray(value) && value.every((token) => typeof token === 'string')
}

function isEnd (value: unknown): value is DecodeEnd {
  const { tokens, reason } = (value ?? {}) as { tokens?: unknown, reason?: unknown }
  return isCount(tokens) && (reason === 'stop' || reason === 'length')
}

function handleEvent (value: unknown, reorderBuffer: ReorderBuffer): Result<DecodeEnd, EngineError> | undefined {
  const event = (value ?? {}) as { offset?: unknown, tokens?: unknown, end?: unknown, error?: unknown }
  if (isCount(event.offset) && isTokens(event.tokens)) {
    reorderBuffer.add({ offset: event.offset, tokens: event.tokens })
    return undefined
  }
  if (event.error === 'cancelled') {
    return Err({ kind: EngineErrorKind.Cancelled, sent: true, message: 'the engine cancelled the stream' })
  }
  if (typeof event.error === 'string') return brokenStream(`the engine ended the stream: ${event.error}`)
  if (event.tokens === undefined && event.end === undefined && event.error === undefined) return undefined
  if (!isEnd(event.end)) return brokenStream('an event of the stream has invalid tokens or an invalid end')
  if (event.end.tokens === reorderBuffer.nextOffset()) return Ok(event.end)
  return brokenStream(`the stream ended at offset ${event.end.tokens} but tokens arrived only up to ${reorderBuffer.nextOffset()}`)
}

/**
 * Reads events from a body up to the event that ends the answer; `onTokens` gets each token from `offset` on once, in order.
 * Returns the end; or `cancelled` when the engine cancelled the stream, or `broken` when the stream failed, stopped early or
 * missed tokens.
 */
export async function readStream (
  body: AsyncIterable<Buffer>, offset: number, onTokens: (batch: TokenBatch) => void
): Promise<Result<DecodeEnd, EngineError>> {
  const reorderBuffer = createReorderBuffer(offset, onTokens)
  const decoder = new TextDecoder()
  let pieces: string[] = []
  let pendingChars = 0
  let lastChar = ''
  try {
    for await (const chunk of body) {
      const piece = decoder.decode(chunk, { stream: true })
      pieces.push(piece)
      pendingChars += piece.length
      // Joining the pieces before the event is complete would take time that grows with the square of its length.
      const hasEnd = (lastChar + piece).includes(eventEnd)
      lastChar = piece.at(-1) ?? lastChar
      const events = hasEnd ? pieces.join('').split(eventEnd) : []
      if (hasEnd) {
        pieces = [events.pop() ?? '']
        pendingChars = (pieces[0] as string).length
      }
      if (pendingChars > maxEventChars) return brokenStream(`an event of the stream is longer than ${maxEventChars} characters`)
      for (const event of events) {
        const end = handleEvent(JSON.parse(event.slice('data: '.length)), reorderBuffer)
        if (end) return end
      }
    }
  } catch (err) {
    return Err(toEngineError('reading the stream', err))
  }
  return brokenStream(`the stream closed at offset ${reorderBuffer.nextOffset()} without an end event`)
}
