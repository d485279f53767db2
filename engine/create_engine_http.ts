/**
 * The adapter for engines with an HTTP interface of JSON bodies and event streams.
 */
import { Agent, request } from 'undici'
import { z } from 'zod'
import type { ZodType } from 'zod'
import { Err, Ok } from '../core/results/mod.ts'
import type { Result } from '../core/results/mod.ts'
import type { AttemptRef } from '../core/types/mod.ts'
import { createSystemTimer } from '../timer/mod.ts'
import type { Timer } from '../timer/mod.ts'
import {
  buildAttemptBody, buildDecodeBody, buildOrderBody, buildPrefillBody, cacheEventsSchema, cancelledPiecesSchema, heldStreamsSchema, loadSchema,
  prefillResultSchema, stateSchema
} from './_engine_codec.ts'
import type { JsonObject } from './_engine_codec.ts'
import { startDeadline } from './_deadline.ts'
import { toEngineError, toStatusError } from './_http_errors.ts'
import { createOpenCalls } from './_open_calls.ts'
import { readBody } from './_read_body.ts'
import { readStream } from './_read_stream.ts'
import { EngineErrorKind } from './_types.ts'
import type { DecodeEnd, EngineAdapter, EngineError, TokenBatch } from './_types.ts'

/** Configures an engine adapter. */
export interface EngineHttpOptions {
  /** Address `ip:port` of the engine. */
  address: string
  /** Time in milliseconds to wait for a connection, and for the answer to a call other than prefill, decode and resume; 5000 by default. */
  timeoutMs?: number
  /** Timer for the deadlines of calls; by default the adapter creates one and closes it. */
  timer?: Timer
}

const defaultTimeoutMs = 5000
/** Longest answer in bytes that is not a stream. */
const maxAnswerBytes = 4 * 1_048_576

/**
 * Creates the adapter of one engine. It never retries; the `sent` of an error says whether part of the call may have been sent.
 * Prefill, decode and resume have no deadline; `cancel` aborts them.
 *
 * @param options the address of the engine, and the timeout in milliseconds of connections and of all other calls
 * @returns the adapter
 *
 * @example
 * ```ts
 * import { createEngineHttp } from 'briarloom/engine'
 *
 * const engine = createEngineHttp({ address: '127.0.0.1:9000', timeoutMs: 1000 })
 * const state = await engine.state()
 * if (state.err) console.log(state.val.message)
 * await engine.close()
 * ```
 */
export function createEngineHttp (options: EngineHttpOptions): EngineAdapter {
  const timeoutMs = options.timeoutMs ?? defaultTimeoutMs
  const timer = options.timer ?? createSystemTimer()
  const dispatcher = new Agent({ connect: { timeout: timeoutMs }, pipelining: 1 })
  const openCalls = createOpenCalls()

  function send (method: 'GET' | 'POST', path: string, body: JsonObject | undefined, signal: AbortSignal) {
    return request(`http://${options.address}${path}`, {
      method,
      dispatcher,
      signal,
      headersTimeout: 0,
      bodyTimeout: 0,
      headers: body === undefined ? {} : { 'content-type': 'application/json' },
      body: body === undefined ? null : JSON.stringify(body)
    })
  }

  async function callJson<T> (
    method: 'GET' | 'POST', path: string, schema: ZodType<T>, sentBody?: JsonObject, waitMs = timeoutMs, signal?: AbortSignal
  ): Promise<Result<T, EngineError>> {
    const what = `${method} ${path} at ${options.address}`
    const deadline = startDeadline(timer, waitMs, signal)
    try {
      const res = await send(method, path, sentBody, deadline.signal)
      const body = await readBody(what, res.body, maxAnswerBytes)
      if (body.err) return body
      const text = String(body.val)
      if (res.statusCode !== 200) return Err(toStatusError(what, res.statusCode, text))
      const parsed = schema.safeParse(JSON.parse(text))
      if (parsed.success) return Ok(parsed.data)
      const [issue] = parsed.error.issues
      const message = `${what} was answered with an invalid field "${issue?.path.join('.') ?? ''}": ${issue?.message ?? ''}`
      return Err({ kind: EngineErrorKind.Broken, sent: true, message })
    } catch (err) {
      return Err(deadline.toEngineError(what, err))
    } finally {
      deadline.clear()
    }
  }

  async function openStream (
    path: string, ref: AttemptRef, sentBody: JsonObject, offset: number, onTokens: (batch: TokenBatch) => void
  ): Promise<Result<DecodeEnd, EngineError>> {
    const what = `POST ${path} at ${options.address}`
    const call = openCalls.open(ref)
    try {
      const res = await send('POST', path, sentBody, call.signal)
      call.markAnswered()
      if (res.statusCode !== 200) {
        const body = await readBody(what, res.body, maxAnswerBytes)
        return body.err ? body : Err(toStatusError(what, res.statusCode, String(body.val)))
      }
      const end = await readStream(res.body, offset, onTokens)
      res.body.on('error', () => {})
      res.body.destroy()
      return end
    } catch (err) {
      return Err(toEngineError(what, err))
    } finally {
      call.close()
    }
  }

  async function cancel (ref: AttemptRef): Promise<Result<number, EngineError>> {
    const wasAwaitingAnswer = openCalls.isAwaitingAnswer(ref)
    const firstAnswer = await callJson('POST', '/v1/cancel', cancelledPiecesSchema, buildAttemptBody(ref))
    openCalls.abort(ref)
    if (firstAnswer.err || firstAnswer.val !== 0 || !wasAwaitingAnswer) return firstAnswer
    // Nothing was freed while the call was unanswered: the call may have reached the engine after the cancel, on another
    // connection, so the cancel is sent again.
    return await callJson('POST', '/v1/cancel', cancelledPiecesSchema, buildAttemptBody(ref))
  }

  return {
    async prefill (job) {
      const call = openCalls.open(job)
      const result = await callJson('POST', '/v1/prefill', prefillResultSchema, buildPrefillBody(job), 0, call.signal)
      call.close()
      return result
    },
    decode: (job, onTokens) => openStream('/v1/decode', job, buildDecodeBody(job), job.startOffset, onTokens),
    resume: (ref, offset, onTokens) => openStream('/v1/resume', ref, { ...buildAttemptBody(ref), offset }, offset, onTokens),
    cancel,
    setPaused: async (ref, paused) => (await callJson('POST', '/v1/pause', z.unknown(), { ...buildAttemptBody(ref), paused })).map(() => undefined),
    readHeldStreams: () => callJson('GET', '/v1/held', heldStreamsSchema),
    readLoad: () => callJson('GET', '/v1/load', loadSchema),
    readState: () => callJson('GET', '/v1/state', stateSchema),
    sendOrder: (order) => callJson('POST', '/v1/orders', stateSchema, buildOrderBody(order)),
    readCacheEvents: (afterSeq) => callJson('GET', `/v1/cache/events?after=${afterSeq}`, cacheEventsSchema),
    async close () {
      openCalls.abortAll()
      await dispatcher.destroy()
      if (!options.timer) timer.close()
    }
  }
}
