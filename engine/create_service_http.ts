/**
 * The adapter for plain services over HTTP.
 */
import { Err, Ok } from '../core/results/mod.ts'
import { createBodyCheck, createByteBuffer, isEventStream } from '../core/stream/mod.ts'
import { createExchangePool, FailureKind } from '../exchange/mod.ts'
import { createSystemTimer } from '../timer/mod.ts'
import { EngineErrorKind } from './_types.ts'
import type { Result } from '../core/results/mod.ts'
import type { BodyCheck } from '../core/stream/mod.ts'
import type { Timer } from '../timer/mod.ts'
import type { EngineError, ServiceAdapter, ServiceCall, ServiceReply } from './_types.ts'

/** Configures a service adapter. */
export interface ServiceHttpOptions {
  /** Address `ip:port` of the service. */
  address: string
  /** Time in milliseconds to wait for a connection; 2000 by default. */
  connectTimeoutMs?: number
  /** Longest body of an answer in bytes; 4 MiB by default. A call with a longer answer ends as broken, and may have run. */
  maxReplyBytes?: number
  /** Timer for the deadlines of calls; by default the adapter creates one and closes it. */
  timer?: Timer
}

const defaultConnectTimeoutMs = 2000
const defaultMaxReplyBytes = 4 * 1_048_576
/** Lowest status of an answer that is no success. */
const minRefusalStatus = 300

/** Headers that concern a single connection or that the HTTP client sets itself; they are not passed on. */
const hopByHopHeaders = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding',
  'upgrade', 'host', 'content-length', 'expect'
])

/** Kinds of errors by the failures of an exchange; a service that was unreachable has received nothing of the call. */
const failureKinds: { readonly [K in FailureKind]: EngineErrorKind } = {
  [FailureKind.Unreachable]: EngineErrorKind.Unreachable,
  [FailureKind.Malformed]: EngineErrorKind.Unreachable,
  [FailureKind.Withheld]: EngineErrorKind.Unreachable,
  [FailureKind.Broken]: EngineErrorKind.Broken,
  [FailureKind.TimedOut]: EngineErrorKind.TimedOut
}

/** Returns headers by their names in lower case, with repeated values joined; names and values alternate in `raw`. */
function joinHeaders (raw: readonly string[]): Record<string, string> {
  const joined = new Map<string, string>()
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = (raw[i] as string).toLowerCase()
    const earlier = joined.get(name)
    joined.set(name, earlier === undefined ? raw[i + 1] as string : `${earlier}, ${raw[i + 1]}`)
  }
  return Object.fromEntries(joined)
}

/** Returns the headers to pass on, with names in lower case. */
function keepEndToEndHeaders (headers: Record<string, string>): Record<string, string> {
  const named = Object.entries(headers).map(([name, value]) => [name.toLowerCase(), value] as const)
  return Object.fromEntries(named.filter(([name]) => !hopByHopHeaders.has(name)))
}

/**
 * Creates the adapter of one plain service. It never retries, and it sends each call on a new connection: on a reused one, the
 * service could close the idle connection just as the call is sent, which would leave the outcome of the call unknown.
 *
 * @param options the address of the service, and the connect timeout in milliseconds
 * @returns the adapter
 *
 * @example
 * ```ts
 * import { createServiceHttp } from 'briarloom/engine'
 *
 * const service = createServiceHttp({ address: '127.0.0.1:9001' })
 * const reply = await service.call({
 *   callId: 'c1', method: 'GET', path: '/letters/1', headers: {}, body: new Uint8Array(), timeoutMs: 1000
 * })
 * if (reply.ok) console.log(reply.val.status)
 * await service.close()
 * ```
 */
export function createServiceHttp (options: ServiceHttpOptions): ServiceAdapter {
  const timer = options.timer ?? createSystemTimer()
  const maxReplyBytes = options.maxReplyBytes ?? defaultMaxReplyBytes
  const pool = createExchangePool({ connectTimeoutMs: options.connectTimeoutMs ?? defaultConnectTimeoutMs, keepsConnections: false })

  function call (job: ServiceCall): Promise<Result<ServiceReply, EngineError>> {
    const what = `call "${job.callId}" ${job.method} ${job.path} at ${options.address}`
    return new Promise((resolve) => {
      const received = createByteBuffer()
      let bodyCheck: BodyCheck | undefined
      let status = 0
      let headers: Record<string, string> = {}
      const deadline = job.timeoutMs === 0
        ? undefined
        : timer.after(job.timeoutMs, () => {
          exchange.abort()
          fail(EngineErrorKind.TimedOut, `${what} had no answer after ${job.timeoutMs} ms`)
        })

      function fail (kind: EngineErrorKind, message: string): void {
        deadline?.cancel()
        resolve(Err({ kind, sent: kind !== EngineErrorKind.Unreachable, message }))
      }

      const exchange = pool.send(options.address, {
        method: job.method,
        path: job.path,
        headers: Object.entries({ ...keepEndToEndHeaders(job.headers), 'x-call-id': job.callId }).flat(),
        body: job.body.length > 0 ? Buffer.from(job.body) : null
      }, {
        onHead (code, raw, { isCloseDelimited }) {
          status = code
          headers = keepEndToEndHeaders(joinHeaders(raw))
          bodyCheck = createBodyCheck({ hasEvents: code < minRefusalStatus && isEventStream(headers['content-type'] ?? ''), isCloseDelimited })
          return true
        },
        onData (chunk) {
          bodyCheck?.add(chunk)
          received.append(chunk)
          if (received.length() <= maxReplyBytes) return
          exchange.abort()
          fail(EngineErrorKind.Broken, `${what} was answered with more than ${maxReplyBytes} bytes`)
        },
        onEnd () {
          const fault = bodyCheck?.findFault()
          if (fault !== undefined) return fail(EngineErrorKind.Broken, `${what}: ${fault}`)
          deadline?.cancel()
          resolve(Ok({ status, headers, body: new Uint8Array(received.take()) }))
        },
        onFail: ({ kind, message }) => fail(failureKinds[kind], `${what} failed: ${message}`)
      })
    })
  }

  return {
    call,
    async close () {
      await pool.close()
      if (!options.timer) timer.close()
    }
  }
}
