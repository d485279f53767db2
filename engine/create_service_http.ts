/**
 * The adapter for plain services over HTTP.
 */
import { Agent, request } from 'undici'
import { Err, Ok } from '../core/results/mod.ts'
import type { Result } from '../core/results/mod.ts'
import { createSystemTimer } from '../timer/mod.ts'
import type { Timer } from '../timer/mod.ts'
import { startDeadline } from './_deadline.ts'
import type { EngineError, ServiceAdapter, ServiceCall, ServiceReply } from './_types.ts'

/** Configures the adapter. */
export interface ServiceHttpOptions {
  /** Address `ip:port` of the service. */
  address: string
  /** Time in milliseconds to wait for a connection; 2000 by default. */
  connectTimeoutMs?: number
  /** Timer for the timeouts of calls; one of its own by default. */
  timer?: Timer
}

const defaultConnectTimeoutMs = 2000

const hopHeaders = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding',
  'upgrade', 'host', 'content-length', 'expect'
])

function endToEnd (headers: Record<string, string | string[] | undefined>): Record<string, string> {
  const kept: Record<string, string> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || hopHeaders.has(name.toLowerCase())) continue
    kept[name.toLowerCase()] = Array.isArray(value) ? value.join(', ') : value
  }
  return kept
}

/**
 * Creates the adapter of one plain service. It never retries, and it sends each call on a connection that no other
 * call used, so that a connection closed while idle can't make the outcome of a call unknown.
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
        headers: { ...endToEnd(job.headers), 'x-call-id': job.callId },
        body: job.body.length > 0 ? Buffer.from(job.body) : null
      })
      const body = new Uint8Array(await res.body.arrayBuffer())
      return Ok({ status: res.statusCode, headers: endToEnd(res.headers), body })
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
