/**
 * Reads the event stream of a decode.
 */
import { Err, Ok } from '../core/results/mod.ts'
import type { Result } from '../core/results/mod.ts'
import { toEngineError } from './_http_errors.ts'
import { createReorderBuffer } from './_reorder_buffer.ts'
import type { ReorderBuffer } from './_reorder_buffer.ts'
import { EngineErrorKind } from './_types.ts'
import type { DecodeEnd, EngineError, TokenBatch } from './_types.ts'

interface StreamEvent {
  offset?: number
  tokens?: string[]
  end?: DecodeEnd
  error?: string
}

const maxEventChars = 1_048_576

function broken (message: string): Result<DecodeEnd, EngineError> {
  return Err({ kind: EngineErrorKind.Broken, sent: true, message })
}

function take (event: StreamEvent, order: ReorderBuffer): Result<DecodeEnd, EngineError> | undefined {
  if (event.tokens !== undefined && event.offset !== undefined) {
    order.add({ offset: event.offset, tokens: event.tokens })
    return undefined
  }
  if (event.error === 'cancelled') {
    return Err({ kind: EngineErrorKind.Cancelled, sent: true, message: 'the engine cancelled the stream' })
  }
  if (event.error !== undefined) return broken(`the engine ended the stream: ${event.error}`)
  if (event.end === undefined) return undefined
  if (event.end.tokens === order.nextOffset()) return Ok(event.end)
  return broken(`the stream ended at offset ${event.end.tokens} while tokens came up to ${order.nextOffset()}`)
}

/** Reads events from a body up to the end of the answer. */
export async function readStream (
  body: AsyncIterable<Buffer>, offset: number, onTokens: (batch: TokenBatch) => void
): Promise<Result<DecodeEnd, EngineError>> {
  const order = createReorderBuffer(offset, onTokens)
  const decoder = new TextDecoder()
  let text = ''
  try {
    for await (const chunk of body) {
      text += decoder.decode(chunk, { stream: true })
      const events = text.split('\n\n')
      text = events.pop() ?? ''
      if (text.length > maxEventChars) return broken(`an event is longer than ${maxEventChars} characters`)
      for (const event of events) {
        const end = take(JSON.parse(event.slice('data: '.length)) as StreamEvent, order)
        if (end) return end
      }
    }
  } catch (err) {
    return Err(toEngineError('reading the stream', err))
  }
  return broken(`the stream stopped at offset ${order.nextOffset()} without an end`)
}
