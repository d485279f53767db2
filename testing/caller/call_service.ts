/**
 * Calls plain services through an entry, and asks an entry for tickets.
 */
import { request } from 'undici'

/** Configures a call. */
export interface CallServiceOptions {
  /** Address `ip:port` of the entry. */
  address: string
  /** API key of the caller. */
  key: string
  service: string
  method: string
  /** Path at the service. */
  path: string
  /** Ticket for a call that runs at most once. */
  ticket?: string
  body?: string
  /** Aborts the call, as a caller that disconnects does. */
  signal?: AbortSignal
}

/** Describes the response to a call, or the failure of the connection. */
export interface ServiceResponse {
  /** Status of the response; 0 when there was none. */
  status: number
  /** Parsed JSON body; empty when there was no response. */
  body: Record<string, unknown>
  /** Outcome that the entry stated in the header `x-briarloom-outcome`. */
  outcome: string | undefined
  /** True when the entry returned the stored response to an earlier call with the ticket. */
  isReplayed: boolean
  /** Text of the error when the connection failed. */
  connectionError: string | undefined
}

type ServiceRequest = { method: string, url: string, key: string, headers?: Record<string, string>, body?: string, signal?: AbortSignal }

async function send (options: ServiceRequest): Promise<ServiceResponse> {
  try {
    const res = await request(options.url, {
      method: options.method as 'POST',
      reset: true,
      signal: options.signal,
      headersTimeout: 0,
      bodyTimeout: 0,
      headers: { authorization: `Bearer ${options.key}`, 'content-type': 'application/json', ...options.headers },
      body: options.body ?? null
    })
    return {
      status: res.statusCode,
      body: await res.body.json() as Record<string, unknown>,
      outcome: res.headers['x-briarloom-outcome'] as string | undefined,
      isReplayed: res.headers['x-briarloom-replayed'] === 'true',
      connectionError: undefined
    }
  } catch (err) {
    return { status: 0, body: {}, outcome: undefined, isReplayed: false, connectionError: String(err) }
  }
}

/**
 * Calls a plain service once. It never throws and never retries.
 *
 * @param options the entry, the caller's key and the call
 * @returns the response, or the failure of the connection
 *
 * @example
 * ```ts
 * import { callService } from 'briarloom/testing/caller'
 *
 * const options = { address: '127.0.0.1:9', key: 'k', service: 'registre', method: 'GET', path: '/letters/1' }
 * const response = await callService(options)
 * console.assert(response.status === 0)
 * ```
 */
export function callService (options: CallServiceOptions): Promise<ServiceResponse> {
  return send({
    method: options.method,
    url: `http://${options.address}/services/${options.service}${options.path}`,
    key: options.key,
    headers: options.ticket === undefined ? {} : { 'x-ticket': options.ticket },
    body: options.body,
    signal: options.signal
  })
}

/**
 * Asks an entry for a ticket. It never throws and never retries.
 *
 * @param options the entry, the caller's key and the service
 * @returns the response, with the ticket in `body.ticket`, or the failure of the connection
 *
 * @example
 * ```ts
 * import { issueTicket } from 'briarloom/testing/caller'
 *
 * const response = await issueTicket({ address: '127.0.0.1:9', key: 'k', service: 'registre' })
 * console.assert(response.status === 0)
 * ```
 */
export function issueTicket (options: { address: string, key: string, service: string }): Promise<ServiceResponse> {
  const body = JSON.stringify({ service: options.service })
  return send({ method: 'POST', url: `http://${options.address}/tickets`, key: options.key, body })
}

/**
 * Asks an entry to void a ticket, so that no call can run with it any more. It never throws and never retries.
 *
 * @param options the entry, the caller's key and the ticket
 * @returns the response, with the outcome in `outcome`, or the failure of the connection
 *
 * @example
 * ```ts
 * import { voidTicket } from 'briarloom/testing/caller'
 *
 * const response = await voidTicket({ address: '127.0.0.1:9', key: 'k', ticket: 't' })
 * console.assert(response.status === 0)
 * ```
 */
export function voidTicket (options: { address: string, key: string, ticket: string }): Promise<ServiceResponse> {
  const url = `http://${options.address}/tickets/${encodeURIComponent(options.ticket)}`
  return send({ method: 'DELETE', url, key: options.key })
}
