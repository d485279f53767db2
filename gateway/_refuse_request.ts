/**
 * Refuses requests before a part of the gateway serves them.
 */
import { Count } from '../metrics/mod.ts'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { BodyReader } from '../http/mod.ts'
import type { RequestHead } from '../platform/mod.ts'
import type { Reply } from './_reply.ts'
import type { GatewayContext } from './_types.ts'

/** A request that has arrived, and its response. */
export interface ArrivedRequest {
  req: IncomingMessage
  res: ServerResponse
  head: RequestHead
  reply: Reply
  /** Discards what its client still sends. */
  bodies: BodyReader
}

/** Refuses a request; `retryAfterMs` is the delay in milliseconds after which its client may retry, `fields` are logged with the refusal. */
export type Refuse = (status: number, reason: string, retryAfterMs?: number, fields?: object) => void

/** Creates the refusal of one request; a body that has not arrived is read and discarded within bounds, and its connection ends with the response. */
export function createRefusal (context: GatewayContext, { req, res, head, reply, bodies }: ArrivedRequest): Refuse {
  return (status, reason, retryAfterMs, fields = {}) => {
    bodies.discard(req)
    if (!req.complete) res.shouldKeepAlive = false
    reply.sendLocal(retryAfterMs === undefined ? { status, reason } : { status, reason, retryAfterMs })
    context.log.warn({ request: head.requestId, status, reason, ...fields }, 'refused')
    context.metrics.count(Count.Requests, { service: '', status: String(status), reason })
  }
}
