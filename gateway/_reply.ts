/**
 * The answer to one client.
 */
import { encodeLocalReplyHeaders } from '../platform/mod.ts'
import type { ServerResponse } from 'node:http'
import type { WorkerResponse } from './_send_to_worker.ts'

/** Describes an answer of the system's own. */
export interface LocalReply {
  status: number
  /** Code that says why, for logs and for the body. */
  reason: string
  /** Time in milliseconds after which a retry makes sense; set only when the request has not run. */
  retryAfterMs?: number
}

/** Writes the one answer to a client. */
export interface Reply {
  /** Sends a whole answer of the system's own. */
  sendLocal (answer: LocalReply): void
  /** Sends a whole answer of a worker. */
  sendWhole (head: WorkerResponse, body: Buffer): void
  /** Begins the answer of a worker. */
  begin (head: WorkerResponse): void
  /** Adds to the answer that was begun; false when the client reads slower than the worker writes. */
  write (chunk: Buffer): boolean
  /** Completes the answer that was begun. */
  end (): void
  /** Ends the connection, so that the answer that was begun does not look complete. */
  abort (): void
  onDrain (fn: () => void): void
  hasBegun (): boolean
  isFinished (): boolean
}

/** Creates the reply on a response of Node's server. */
export function createReply (res: ServerResponse, requestId: string | undefined): Reply {
  let over = false

  function head (answer: WorkerResponse): void {
    res.sendDate = false
    // Whoever gives a length to an answer that has none vouches for an end that only the connection marks.
    if (answer.isCloseDelimited) {
      res.useChunkedEncodingByDefault = false
      res.shouldKeepAlive = false
    }
    res.writeHead(answer.status, answer.forwarded)
  }

  return {
    sendLocal (answer) {
      if (over) return
      over = true
      const body = Buffer.from(JSON.stringify({ error: answer.reason }))
      const about = { ...(requestId === undefined ? {} : { requestId }), retryAfterMs: answer.retryAfterMs }
      const headers = encodeLocalReplyHeaders(answer.retryAfterMs === undefined ? { requestId } as { requestId?: string } : about as object)
      res.writeHead(answer.status, [...headers, 'Content-Length', String(body.length)])
      res.end(body)
    },
    sendWhole (answer, body) {
      if (over) return
      over = true
      head(answer)
      res.end(body)
    },
    begin (answer) {
      if (over || res.headersSent) return
      head(answer)
      res.flushHeaders()
    },
    write: (chunk) => over || res.write(chunk),
    end () {
      if (over) return
      over = true
      res.end()
    },
    abort () {
      if (over) return
      over = true
      res.destroy()
    },
    onDrain (fn) { res.once('drain', fn) },
    hasBegun: () => res.headersSent,
    isFinished: () => over
  }
}
