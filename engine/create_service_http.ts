/**
 * The adapter for plain services over HTTP.
 */
import { Agent, request } from 'undici'
import { Err } from '../core/results/mod.ts'
import type { Result } from '../core/results/mod.ts'
import { createSystemTimer } from '../timer/mod.ts'
import type { Timer } from '../timer/mod.ts'
import { startDeadline } from './_deadline.ts'
import { readBody } from './_read_body.ts'
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

/** Headers that concern a single connection or that the HTTP client sets itself; they are not passed on. */
const hopByHopHeaders = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding',
  'upgrade', 'host', 'content-length', 'expect'
])

/** Returns the headers to pass on, with names in lower case and repeated values joined. */
function keepEndToEndHeaders (headers: Record<string, string | string[] | undefined>): Record<string, string> {
  const kept: Record<string, string> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || hopByHopHeaders.has(name.toLowerCase())) continue
    kept[name.toLowerCase()] = Array.isArray(value) ? value.join(', ') : value
  }
  return kept
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
  const dispatcher = new Agent({
    connect: { timeout: options.connectTimeoutMs ?? defaultConnectTimeoutMs },
    pipelining: 0
  })

  async function call (job: ServiceCall): Promise<Result<ServiceReply, EngineError>> {
    const what = `call "${job.callId}" ${job.method} ${job.path} at ${options.address}`
    const deadline = startDeadline(timer, job.timeoutMs)
    try {
      const res = await request(`http://${options.address}${job.path}`, {
        method: job.method as 'GET',
        dispatcher,
        signal: deadline.signal,
        headersTimeout: 0,
        bodyTimeout: 0,
        headers: { ...keepEndToEndHeaders(job.headers), 'x-call-id': job.callId },
        body: job.body.length > 0 ? Buffer.from(job.body) : null
      })
      const body = await readBody(what, res.body, maxReplyBytes)
      return body.map((bytes) => ({ status: res.statusCode, headers: keepEndToEndHeaders(res.headers), body: new Uint8Array(bytes) }))
    } catch (err) {
      return Err(deadline.toEngineError(what, err))
    } finally {
      deadline.clear()
    }
  }

  return {
    call,
    async close () {
      await dispatcher.destroy()
      if (!options.timer) timer.close()
    }
  }
}
