/**
 * Sinks that write the response to a completion.
 */
import { Outcome } from '../core/types/mod.ts'
import { buildErrorBody, createRefusal, sendRefusal } from './_refusals.ts'
import type { ByteAccount } from '../core/stream/mod.ts'
import type { HttpCall } from './_http_server.ts'
import type { ResponseSink } from './_model_requests.ts'
import type { ResponseFormat } from './_openai.ts'

/** Number of unsent bytes of one response up to which they are not counted. */
const freeBytes = 65_536

/** Creates a sink that writes a response as server-sent events. */
export function createEventStreamSink (call: HttpCall, format: ResponseFormat, onSlow: () => void, maxUnsentBytes: number): ResponseSink {
  const { res } = call
  let held: ByteAccount | undefined

  function writeEvent (body: unknown): void {
    res.write(`data: ${typeof body === 'string' ? body : JSON.stringify(body)}\n\n`)
    if (res.writableLength > maxUnsentBytes) onSlow()
    else if (res.writableLength > freeBytes || held !== undefined) countUnsent()
  }

  /** Counts what a slow caller has not read; the caller is disconnected when all hold too much and this one the most. */
  function countUnsent (): void {
    if (held === undefined) {
      held = call.budget.open(onSlow)
      res.on('drain', () => held?.set(0))
      res.once('close', () => held?.close())
    }
    held.set(res.writableLength)
  }

  function writeHead (): void {
    if (res.headersSent) return
    res.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' })
  }

  return {
    onTokens (tokens) {
      writeHead()
      writeEvent(format.buildChunk(tokens.join(''), null))
    },
    onFinish (_tokens, reason) {
      writeHead()
      writeEvent(format.buildChunk('', reason))
      writeEvent('[DONE]')
      res.end()
    },
    onRefused: (code, outcome, retryAfterMs) => sendRefusal(res, createRefusal(code, outcome, retryAfterMs)),
    onAbort (code, outcome) {
      writeEvent(buildErrorBody(createRefusal(code, outcome)))
      res.end()
    }
  }
}

/** Creates a sink that writes a response as one JSON body. */
export function createBodySink (call: HttpCall, format: ResponseFormat, promptTokens: number): ResponseSink {
  const { res } = call
  const parts: string[] = []
  return {
    onTokens: (tokens) => { parts.push(...tokens) },
    onFinish (tokens, reason) {
      res.writeHead(200, { 'content-type': 'application/json', 'x-briarloom-outcome': Outcome.Done })
      res.end(JSON.stringify(format.buildWhole(parts.join(''), reason, promptTokens, tokens)))
    },
    onRefused: (code, outcome, retryAfterMs) => sendRefusal(res, createRefusal(code, outcome, retryAfterMs)),
    onAbort: (code, outcome) => sendRefusal(res, createRefusal(code, outcome))
  }
}
