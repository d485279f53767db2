/**
 * Calls plain services through an entry.
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
  /** Ticket under which the call runs at most once. */
  ticket?: string
  body?: string
  /** Aborts the call, as a caller who goes away does. */
  signal?: AbortSignal
}

/** Describes what came back. */
export interface ServiceResponse {
  /** Status of the answer; 0 when no answer came. */
  status: number
  body: Record<string, unknown>
  /** Outcome that the entry stated. */
  outcome: string | undefined
  isReplayed: boolean
  /** Error of the connection. */
  connectionError: string | undefined
}

type Send = { method: string, url: string, key: string, headers?: Record<string, string>, body?: string, signal?: AbortSignal }

async function send (options: Send): Promise<ServiceResponse> {
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
 * Calls a plain service once; it never throws and never retries.
 *
 * @param options the entry, the caller's key and the call
 * @returns what came back
 *
 * @example
 * ```ts
 * import { callService } from 'briarloom/testing/caller'
 *
 * const options = { address: '127.0.0.1:9', key: 'k', service: 'registre', method: 'GET', path: '/letters/1' }
 * const answer = await callService(options)
 * console.assert(answer.status === 0)
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
 * Asks an entry for a ticket.
 *
 * @param options the entry, the caller's key and the service
 * @returns what came back; the ticket is in `body.ticket`
 *
 * @example
 * ```ts
 * import { issueTicket } from 'briarloom/testing/caller'
 *
 * const answer = await issueTicket({ address: '127.0.0.1:9', key: 'k', service: 'registre' })
 * console.assert(answer.status === 0)
 * ```
 */
export function issueTicket (options: { address: string, key: string, service: string }): Promise<ServiceResponse> {
  const body = JSON.stringify({ service: options.service })
  return send({ method: 'POST', url: `http://${options.address}/tickets`, key: options.key, body })
}

/**
 * Asks an entry to make a ticket unusable.
 *
 * @param options the entry, the caller's key and the ticket
 * @returns what came back; the outcome is in `outcome`
 *
 * @example
 * ```ts
 * import { voidTicket } from 'briarloom/testing/caller'
 *
 * const answer = await voidTicket({ address: '127.0.0.1:9', key: 'k', ticket: 't' })
 * console.assert(answer.status === 0)
 * ```
 */
export function voidTicket (options: { address: string, key: string, ticket: string }): Promise<ServiceResponse> {
  const url = `http://${options.address}/tickets/${encodeURIComponent(options.ticket)}`
  return send({ method: 'DELETE', url, key: options.key })
}
