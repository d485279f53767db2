/**
 * Writes the response to one request of a client.
 */
import { encodeLocalReplyHeaders } from '../platform/mod.ts'
import { omitBodyHeaders, statesLength } from './_body_headers.ts'
import type { ServerResponse } from 'node:http'
import type { ByteBudget } from '../core/stream/mod.ts'
import type { WorkerResponse } from './_send_to_worker.ts'

const unauthorizedStatus = 401

/** A response that the gateway generates itself. */
export interface LocalReply {
  status: number
  /** Code of the reason, for logs and for the body. */
  reason: string
  /** Delay in milliseconds after which the client may retry; set only when the request has not run. */
  retryAfterMs?: number
}

/** Writes the single response to a request. */
export interface Reply {
  /** Sends a complete response that the gateway generates itself. */
  sendLocal (reply: LocalReply): void
  /** Sends the complete response of a worker. */
  sendWhole (head: WorkerResponse, body: Buffer): void
  /** Sends the head of the response of a worker; with `mayContinue`, another worker may go on with a body of unknown length. */
  begin (head: WorkerResponse, options?: { mayContinue?: boolean }): void
  /** Tells whether another worker may go on with the response: no head has been sent, or one that describes no worker's bytes. */
  canChangeWorker (): boolean
  /** Sends a part of the body; returns false when the client reads more slowly than the worker writes. */
  write (chunk: Buffer): boolean
  /** Completes a response whose head has been sent. */
  end (): void
  /** Closes the connection, so that the client does not take a partial response for a complete one. */
  abort (): void
  /** Calls `fn` once, when buffered data has been sent; replaces a function that still waits for that. */
  onDrain (fn: () => void): void
  /** Tells whether the head of a response has been sent. */
  hasBegun (): boolean
  /** Tells whether the response is one of the gateway to a request that has not run. */
  isRefusal (): boolean
  /** Tells whether the response is complete or aborted. */
  isFinished (): boolean
}

/** Statuses with which the gateway answers only requests that have not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([401, 408, 413, 421, 429, 503])
/** Length in bytes up to which a response that is sent is not counted. */
const freeBytes = 65_536
/** Rank of a response that is sent, behind those that can still be passed on as they come. */
const sentRank = -1

/** Creates the reply on a response object of Node's server. */
export function createReply (res: ServerResponse, requestId: string | undefined, heldBytes: ByteBudget): Reply {
  let isOver = false
  let isRefusal = false
  let isCloseDelimited = false
  let describesBody = false
  let onDrained: (() => void) | undefined

  /** Counts a whole response until its client has read it; one that is too many is broken off. */
  function hold (bytes: number): void {
    if (bytes <= freeBytes) return
    const held = heldBytes.open(() => res.destroy(), { floorBytes: freeBytes, rank: () => sentRank })
    held.set(bytes)
    res.once('close', held.close)
  }

  function runOnDrained (): void {
    const fn = onDrained
    onDrained = undefined
    fn?.()
  }

  /**
   * Writes the head of a worker's response; `bodyBytes` is the length of the body when it is known. A close-delimited response goes on with
   * its length or in chunks, because the end of this process ends the connection too: what ends with its connection would look complete.
   */
  function writeHead (response: WorkerResponse, bodyBytes?: number): void {
    const hasLength = bodyBytes !== undefined || statesLength(response.forwarded)
    // Clients of HTTP/1.0 cannot read chunks, whatever framing the worker has chosen.
    isCloseDelimited = !hasLength && !res.useChunkedEncodingByDefault
    const length = response.isCloseDelimited && bodyBytes !== undefined ? ['Content-Length', String(bodyBytes)] : []
    res.sendDate = false
    res.writeHead(response.status, [...response.forwarded, ...length])
  }

  return {
    sendLocal (response) {
      if (isOver) return
      const body = Buffer.from(JSON.stringify({ error: response.reason }))
      const headers = encodeLocalReplyHeaders({
        ...(requestId !== undefined && { requestId }),
        ...(response.retryAfterMs !== undefined && { retryAfterMs: response.retryAfterMs }),
        isUnauthorized: response.status === unauthorizedStatus
      })
      res.writeHead(response.status, [...headers, 'Content-Length', String(body.length)])
      isOver = true
      isRefusal = notRunStatuses.has(response.status)
      res.end(body)
    },
    sendWhole (response, body) {
      if (isOver) return
      // A head that cannot be written leaves the reply open, so that another one can take its place.
      writeHead(response, body.length)
      isOver = true
      hold(body.length)
      res.end(body)
    },
    begin (response, { mayContinue = false } = {}) {
      if (isOver || res.headersSent) return
      // A length holds for the bytes of one worker only, and shows its client an early end, also where chunks cannot be read.
      describesBody = !mayContinue || statesLength(response.forwarded)
      writeHead(describesBody ? response : { ...response, forwarded: omitBodyHeaders(response.forwarded) })
      res.flushHeaders()
    },
    canChangeWorker: () => !res.headersSent || !describesBody,
    write: (chunk) => isOver || res.write(chunk),
    end () {
      if (isOver) return
      isOver = true
      res.end()
    },
    abort () {
      if (isOver) return
      isOver = true
      // The end of the connection would complete such a response; only a reset shows that it was broken off. Node's `resetAndDestroy` ends
      // the connection before it resets it, so the flag that it sets is set here.
      if (isCloseDelimited && res.socket !== null) Object.assign(res.socket, { resetAndClosing: true })
      res.destroy()
    },
    onDrain (fn) {
      if (onDrained === undefined) res.once('drain', runOnDrained)
      onDrained = fn
    },
    hasBegun: () => res.headersSent,
    isRefusal: () => isRefusal,
    isFinished: () => isOver
  }
}
