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
  decodeBody, orderBody, prefillBody, readEvents, readHeld, readLoad, readPrefill, readState, refBody
} from './_engine_codec.ts'
import type { Json } from './_engine_codec.ts'
import { startDeadline } from './_deadline.ts'
import { errorOf, errorOfStatus } from './_http_errors.ts'
import { createReaders } from './_readers.ts'
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
  const readers = createReaders()

  function send (method: 'GET' | 'POST', path: string, body: Json | undefined, signal: AbortSignal) {
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
    method: 'GET' | 'POST', path: string, body?: Json, waitMs = timeoutMs, signal?: AbortSignal
  ): Promise<Result<Json, EngineError>> {
    const what = `${method} ${path} at ${options.address}`
    const deadline = startDeadline(timer, waitMs, signal)
    try {
      const res = await send(method, path, body, deadline.signal)
      const text = await res.body.text()
      if (res.statusCode !== 200) return Err(errorOfStatus(what, res.statusCode, text))
      return Ok(JSON.parse(text) as Json)
    } catch (err) {
      return Err(deadline.errorOf(what, err))
    } finally {
      deadline.clear()
    }
  }

  async function stream (
    path: string, ref: AttemptRef, body: Json, offset: number, onTokens: (batch: TokenBatch) => void
  ): Promise<Result<DecodeEnd, EngineError>> {
    const what = `POST ${path} at ${options.address}`
    const call = readers.open(ref)
    try {
      const res = await send('POST', path, body, call.signal)
      call.answered()
      if (res.statusCode !== 200) return Err(errorOfStatus(what, res.statusCode, await res.body.text()))
      const end = await readStream(res.body, offset, onTokens)
      res.body.on('error', () => {})
      res.body.destroy()
      return end
    } catch (err) {
      return Err(errorOf(what, err))
    } finally {
      call.close()
    }
  }

  async function cancel (ref: AttemptRef): Promise<Result<number, EngineError>> {
    const waited = readers.waits(ref)
    const first = await ask('POST', '/v1/cancel', refBody(ref))
    readers.abort(ref)
    if (first.err || first.val.pieces !== 0 || !waited) return first.map((body) => Number(body.pieces))
    // The work that the cancel was meant for may have reached the engine after it, on another connection.
    const second = await ask('POST', '/v1/cancel', refBody(ref))
    return second.map((body) => Number(body.pieces))
  }

  return {
    async prefill (job) {
      const call = readers.open(job)
      const body = await ask('POST', '/v1/prefill', prefillBody(job), 0, call.signal)
      call.close()
      return body.map(readPrefill)
    },
    decode: (job, onTokens) => stream('/v1/decode', job, decodeBody(job), job.startOffset, onTokens),
    resume: (ref, offset, onTokens) => stream('/v1/resume', ref, { ...refBody(ref), offset }, offset, onTokens),
    cancel,
    setPaused: async (ref, paused) => (await ask('POST', '/v1/pause', { ...refBody(ref), paused })).map(() => undefined),
    held: async () => (await ask('GET', '/v1/held')).map(readHeld),
    load: async () => (await ask('GET', '/v1/load')).map(readLoad),
    state: async () => (await ask('GET', '/v1/state')).map(readState),
    order: async (order) => (await ask('POST', '/v1/orders', orderBody(order))).map(readState),
    cacheEvents: async (afterSeq) => (await ask('GET', `/v1/cache/events?after=${afterSeq}`)).map(readEvents),
    async close () {
      readers.abortAll()
      await dispatcher.destroy()
      if (!options.timer) timer.close()
    }
  }
}
