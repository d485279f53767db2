/**
 * Short calls whose answers are JSON.
 */
import { Err, Ok } from '../core/results/mod.ts'
import { FailureKind } from './_types.ts'
import type { Result } from '../core/results/mod.ts'
import type { Timer } from '../timer/mod.ts'
import type { ExchangePool, ExchangeRequest, Failure } from './_types.ts'

/** A decoded answer. */
export interface JsonResponse {
  status: number
  /** Names and values in turn. */
  headers: string[]
  /** The decoded body; undefined when it is empty or no JSON. */
  body: unknown
}

/** Configures a call. */
export interface CallJsonOptions {
  pool: ExchangePool
  timer: Timer
  /** Time in milliseconds within which the whole answer must arrive. */
  timeoutMs: number
  /** Most bytes of an answer; 64 MiB by default. */
  maxBytes?: number
}

const defaultMaxBytes = 64 * 1_048_576

/**
 * Calls a server and decodes its answer.
 *
 * @param address the server, `ip:port`
 * @param req the request
 * @param options the pool, the timer and the bounds
 * @returns the answer with any status, or why there is none
 *
 * @example
 * ```ts
 * import { callJson, createExchangePool } from 'briarloom/exchange'
 * import { createSystemTimer } from 'briarloom/timer'
 *
 * const options = { pool: createExchangePool(), timer: createSystemTimer(), timeoutMs: 500 }
 * const answer = await callJson('127.0.0.1:1', { method: 'GET', path: '/', headers: [], body: null }, options)
 * console.assert(answer.err)
 * ```
 */
export function callJson (address: string, req: ExchangeRequest, options: CallJsonOptions): Promise<Result<JsonResponse, Failure>> {
  const { pool, timer, timeoutMs, maxBytes = defaultMaxBytes } = options
  return new Promise((resolve) => {
    const chunks: Buffer[] = []
    let bytes = 0
    let status = 0
    let headers: string[] = []

    function fail (kind: FailureKind, message: string): void {
      exchange.abort()
      pool.closeIdle(address)
      deadline.cancel()
      resolve(Err({ kind, message: `${req.method} ${address}${req.path}: ${message}`, isReused: false }))
    }

    const deadline = timer.after(timeoutMs, () => fail(FailureKind.TimedOut, `no whole answer within ${timeoutMs} ms`))
    const exchange = pool.send(address, req, {
      onHead (code, raw) {
        status = code
        headers = raw
        return true
      },
      onData (chunk) {
        bytes += chunk.length
        chunks.push(chunk)
        if (bytes > maxBytes) fail(FailureKind.Broken, `answer is longer than ${maxBytes} bytes`)
      },
      onEnd () {
        deadline.cancel()
        resolve(Ok({ status, headers, body: parse(Buffer.concat(chunks, bytes)) }))
      },
      onFail (failure) {
        deadline.cancel()
        resolve(Err({ ...failure, message: `${req.method} ${address}${req.path}: ${failure.message}` }))
      }
    })
  })
}

function parse (body: Buffer): unknown {
  try {
    return body.length === 0 ? undefined : JSON.parse(body.toString('utf8'))
  } catch {
    return undefined // Callers reject a body of another shape, and this is one.
  }
}
