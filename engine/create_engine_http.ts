/**
 * The adapter for engines that speak HTTP with JSON bodies and event streams.
 */
import { Agent, request } from 'undici'
import { Err, Ok } from '../core/results/mod.ts'
import type { Result } from '../core/results/mod.ts'
import type { AttemptRef } from '../core/types/mod.ts'
import { createSystemTimer } from '../timer/mod.ts'
import type { Timer } from '../timer/mod.ts'
import {
  buildDecodeBody, buildOrderBody, buildPrefillBody, parseCacheEvents, parseHeldStreams, parseLoad, parsePrefillResult, parseState, buildAttemptBody
} from './_engine_codec.ts'
import type { JsonObject } from './_engine_codec.ts'
import { startDeadline } from './_deadline.ts'
import { toEngineError, toStatusError } from './_http_errors.ts'
import { createOpenCalls } from './_open_calls.ts'
import { readStream } from './_read_stream.ts'
import type { DecodeEnd, EngineAdapter, EngineError, TokenBatch } from './_types.ts'

/** Configures the adapter. */
export interface EngineHttpOptions {
  /** Address `ip:port` of the engine. */
  address: string
  /** Time in milliseconds to wait for a connection, and for the answer to a call that runs no work; 5000 by default. */
  timeoutMs?: number
  /** Timer for the timeouts of calls; one of its own by default. */
  timer?: Timer
}

const defaultTimeoutMs = 5000

/**
 * Creates the adapter of one engine. It never retries: an error says whether a byte of the call may have been sent.
 * Prefill, decode and resume have no timeout of their own; `cancel` closes them.
 *
 * @param options the address of the engine, and the timeout of control calls in milliseconds
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
  const readers = createOpenCalls()

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

  async function ask (
    method: 'GET' | 'POST', path: string, body?: JsonObject, waitMs = timeoutMs, signal?: AbortSignal
  ): Promise<Result<JsonObject, EngineError>> {
    const what = `${method} ${path} at ${options.address}`
    const deadline = startDeadline(timer, waitMs, signal)
    try {
      const res = await send(method, path, body, deadline.signal)
      const text = await res.body.text()
      if (res.statusCode !== 200) return Err(toStatusError(what, res.statusCode, text))
      return Ok(JSON.parse(text) as JsonObject)
    } catch (err) {
      return Err(deadline.toEngineError(what, err))
    } finally {
      deadline.clear()
    }
  }

  async function stream (
    path: string, ref: AttemptRef, body: JsonObject, offset: number, onTokens: (batch: TokenBatch) => void
  ): Promise<Result<DecodeEnd, EngineError>> {
    const what = `POST ${path} at ${options.address}`
    const call = readers.open(ref)
    try {
      const res = await send('POST', path, body, call.signal)
      call.markAnswered()
      if (res.statusCode !== 200) return Err(toStatusError(what, res.statusCode, await res.body.text()))
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
    const waited = readers.isAwaitingAnswer(ref)
    const first = await ask('POST', '/v1/cancel', buildAttemptBody(ref))
    readers.abort(ref)
    if (first.err || first.val.pieces !== 0 || !waited) return first.map((body) => Number(body.pieces))
    // The work that the cancel was meant for may have reached the engine after it, on another connection.
    const second = await ask('POST', '/v1/cancel', buildAttemptBody(ref))
    return second.map((body) => Number(body.pieces))
  }

  return {
    async prefill (job) {
      const call = readers.open(job)
      const body = await ask('POST', '/v1/prefill', buildPrefillBody(job), 0, call.signal)
      call.close()
      return body.map(parsePrefillResult)
    },
    decode: (job, onTokens) => stream('/v1/decode', job, buildDecodeBody(job), job.startOffset, onTokens),
    resume: (ref, offset, onTokens) => stream('/v1/resume', ref, { ...buildAttemptBody(ref), offset }, offset, onTokens),
    cancel,
    setPaused: async (ref, paused) => (await ask('POST', '/v1/pause', { ...buildAttemptBody(ref), paused })).map(() => undefined),
    readHeldStreams: async () => (await ask('GET', '/v1/held')).map(parseHeldStreams),
    readLoad: async () => (await ask('GET', '/v1/load')).map(parseLoad),
    readState: async () => (await ask('GET', '/v1/state')).map(parseState),
    sendOrder: async (order) => (await ask('POST', '/v1/orders', buildOrderBody(order))).map(parseState),
    readCacheEvents: async (afterSeq) => (await ask('GET', `/v1/cache/events?after=${afterSeq}`)).map(parseCacheEvents),
    async close () {
      readers.abortAll()
      await dispatcher.destroy()
      if (!options.timer) timer.close()
    }
  }
}
