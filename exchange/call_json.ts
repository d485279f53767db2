/**
 * Short HTTP calls with JSON responses.
 */
import { Err, Ok } from '../core/results/mod.ts'
import { createByteBuffer } from '../core/stream/mod.ts'
import { FailureKind } from './_types.ts'
import type { Result } from '../core/results/mod.ts'
import type { Timer } from '../timer/mod.ts'
import type { ExchangePool, ExchangeRequest, Failure } from './_types.ts'

/** A decoded response. */
export interface JsonResponse {
  status: number
  /** Header names and values, alternating. */
  headers: string[]
  /** The decoded body; undefined when it is empty or not JSON. */
  body: unknown
}

/** Configures a call. */
export interface CallJsonOptions {
  pool: ExchangePool
  timer: Timer
  /** Time in milliseconds within which the complete response must arrive; with `stallMs`, its head. */
  timeoutMs: number
  /** Time in milliseconds without a byte after which a response that has begun is given up; as long as it goes on, it may take four times as long. */
  stallMs?: number
  /** Maximum size of a response body in bytes; 1 MiB by default. */
  maxBytes?: number
  /** Called just before the request is written; returning false fails the call as withheld. */
  mayStart?: () => boolean
}

const defaultMaxBytes = 1_048_576
/** Number of times `stallMs` that a response that goes on may take: one that dribbles must not hold its caller for good. */
const maxStalls = 4

/**
 * Sends a request to a server and decodes its response.
 *
 * @param address the server, `ip:port`
 * @param req the request
 * @param options the pool, the timer and the limits
 * @returns the response, whatever its status, or why there is none
 *
 * @example
 * ```ts
 * import { callJson, createExchangePool } from 'briarloom/exchange'
 * import { createSystemTimer } from 'briarloom/timer'
 *
 * const options = { pool: createExchangePool(), timer: createSystemTimer(), timeoutMs: 500 }
 * const response = await callJson('127.0.0.1:1', { method: 'GET', path: '/', headers: [], body: null }, options)
 * console.assert(response.err)
 * ```
 */
export function callJson (address: string, req: ExchangeRequest, options: CallJsonOptions): Promise<Result<JsonResponse, Failure>> {
  const { pool, timer, timeoutMs, stallMs, maxBytes = defaultMaxBytes } = options
  return new Promise((resolve) => {
    const received = createByteBuffer()
    let status = 0
    let headers: string[] = []

    function fail (kind: FailureKind, message: string): void {
      exchange.abort()
      pool.closeIdle(address)
      deadline.cancel()
      resolve(Err({ kind, message: `${req.method} ${address}${req.path}: ${message}`, isReused: false }))
    }

    let deadline = timer.after(timeoutMs, () => fail(FailureKind.TimedOut, `no complete response within ${timeoutMs} ms`))

    const lastMs = timer.now() + timeoutMs + maxStalls * (stallMs ?? 0)

    /** Gives a response that goes on its next time. Giving up a large one early would have it sent again from the start. */
    function noteProgress (): void {
      if (stallMs === undefined) return
      deadline.cancel()
      const waitMs = Math.max(0, Math.min(stallMs, lastMs - timer.now()))
      deadline = timer.after(waitMs, () => fail(FailureKind.TimedOut, `the response was not complete after ${received.length()} bytes, waited ${Math.round(waitMs)} ms`))
    }

    const exchange = pool.send(address, req, {
      ...(options.mayStart === undefined ? {} : { mayStart: options.mayStart }),
      onHead (code, raw) {
        status = code
        headers = raw
        noteProgress()
        return true
      },
      onData (chunk) {
        received.append(chunk)
        noteProgress()
        if (received.length() > maxBytes) fail(FailureKind.Broken, `response body is longer than ${maxBytes} bytes`)
      },
      onEnd () {
        deadline.cancel()
        resolve(Ok({ status, headers, body: parse(received.take()) }))
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
    return undefined // Callers treat invalid JSON like a body that lacks the expected fields.
  }
}
