/**
 * The connections of an HTTP server: how they end, and which of their requests are served.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Log } from '../log/mod.ts'
import type { Timer } from '../timer/mod.ts'

/** A request with its response. */
export interface ConnectionRequest {
  req: IncomingMessage
  res: ServerResponse
  /** Identifier of the request; undefined when the client has sent none. */
  requestId: string | undefined
}

/** Names the sides that can close a connection. */
export enum ClosedBy {
  Client = 'client',
  /** The process broke the response off. */
  Process = 'process',
  /** A limit on the connection, or the end of the process. */
  Server = 'server'
}

/** Describes a request whose connection closed before its response was complete. */
export interface UnansweredRequest {
  requestId: string | undefined
  closedBy: ClosedBy
  /** Time in milliseconds from the head of the request to the close. */
  tookMs: number
  /** True when the head of the response had been sent. */
  hasBegun: boolean
}

/** Configures the connections of a server. */
export interface ManageConnectionsOptions {
  timer: Timer
  log: Log
  /** Idle time in milliseconds after which a connection is closed; `setIdleTimeout` changes it. */
  idleTimeoutMs: number
}

/** The connections of a server. */
export interface ConnectionManager {
  /**
   * Admits a request; returns false when its connection has had its last response, so that the request must not be served.
   * `onUnanswered` is called when the connection closes before the response is complete.
   */
  admit (request: ConnectionRequest, onUnanswered: (unanswered: UnansweredRequest) => void): boolean
  /** Sets the idle time in milliseconds after which a connection is closed. */
  setIdleTimeout (ms: number): void
}

interface ConnectionState {
  /** Requests without a complete response. */
  open: Set<ConnectionRequest>
  /** Number of requests so far. */
  requests: number
  /** Time in milliseconds since which no request is open. */
  idleSinceMs: number
  /** True when no further request of this connection is served. */
  isLast: boolean
  isClosing: boolean
}

/** Lateness in milliseconds of the end of an idle connection that shows a pause of the process. */
const minLatenessMs = 100
/** Time in milliseconds beyond the idle limit for which a connection stays open, because a client may use it until its own timer expires. */
const idleMarginMs = 1_000
/** Time in milliseconds for which a connection is read after its last response; closing one with unread bytes resets it, and the response may be lost. */
const lingerMs = 1_000

const clientErrors: { readonly [code: string]: number } = { HPE_HEADER_OVERFLOW: 431, ERR_HTTP_REQUEST_TIMEOUT: 408 }
const statusTexts: { readonly [status: number]: string } = {
  400: 'Bad Request', 408: 'Request Timeout', 431: 'Request Header Fields Too Large'
}

/**
 * Takes over how a server closes its connections, so that no request that has been read loses its response.
 *
 * A connection is read on for a moment after its last response, ends behind the responses that are due when bad bytes follow a
 * request, and is read once more before a limit closes it.
 *
 * @param server the server, before it accepts connections
 * @param options the timer, the log and the idle limit
 * @returns the connections; each request must be admitted before it is served
 *
 * @example
 * ```ts
 * import { manageConnections } from 'briarloom/http'
 *
 * console.assert(typeof manageConnections === 'function')
 * ```
 */
export function manageConnections (server: Server, options: ManageConnectionsOptions): ConnectionManager {
  const { timer, log } = options
  const states = new WeakMap<Socket, ConnectionState>()
  let { idleTimeoutMs } = options

  function stateOf (socket: Socket): ConnectionState {
    const known = states.get(socket)
    if (known !== undefined) return known
    const state = { open: new Set<ConnectionRequest>(), requests: 0, idleSinceMs: timer.now(), isLast: false, isClosing: false }
    states.set(socket, state)
    return state
  }

  /** Sends what is buffered, and reads on until the client has closed its side. */
  function closeInOrder (socket: Socket): void {
    const state = stateOf(socket)
    state.isLast = true
    if (state.isClosing) return
    state.isClosing = true
    socket.end()
    const timeout = timer.after(lingerMs, () => socket.destroy())
    socket.once('close', () => timeout.cancel())
  }

  /** Closes a connection behind the responses that are due on it. */
  function closeAfterResponses (socket: Socket, state: ConnectionState): void {
    state.isLast = true
    for (const { res } of state.open) {
      if (!res.headersSent) res.shouldKeepAlive = false
      res.once('finish', () => { if (state.open.size <= 1) closeInOrder(socket) })
    }
  }

  function refuse (socket: Socket, state: ConnectionState, code: string | undefined): void {
    const status = clientErrors[code ?? ''] ?? 400
    log.info({ status, reason: code }, 'bad request')
    state.isLast = true
    socket.write(`HTTP/1.1 ${status} ${statusTexts[status]}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
    closeInOrder(socket)
  }

  function onClientError (err: NodeJS.ErrnoException, socket: Socket): void {
    const state = stateOf(socket)
    if (err.code === 'ECONNRESET' || (!socket.writable && !state.isClosing)) {
      socket.destroy()
      return
    }
    if (state.isLast) return
    if (state.open.size > 0) {
      const unanswered = [...state.open].map(({ requestId }) => requestId)
      log.info({ reason: err.code, unanswered }, 'bad request behind one without a response')
      closeAfterResponses(socket, state)
      return
    }
    if (err.code !== 'ERR_HTTP_REQUEST_TIMEOUT') {
      refuse(socket, state, err.code)
      return
    }
    // Expired timers run before sockets are read, so the rest of the head may have arrived already.
    const { requests } = state
    setImmediate(() => { if (state.requests === requests && !socket.destroyed) refuse(socket, state, err.code) })
  }

  function onIdle (socket: Socket): void {
    const state = stateOf(socket)
    const leftMs = state.idleSinceMs + idleTimeoutMs + idleMarginMs - timer.now()
    // The limit may have been raised since the timer was set.
    if (leftMs >= 1) {
      socket.setTimeout(leftMs)
      return
    }
    const { bytesRead } = socket
    setImmediate(() => {
      // As above, a request may have arrived before the timer ran.
      if (socket.destroyed || state.open.size > 0 || socket.bytesRead !== bytesRead) return
      if (leftMs < -minLatenessMs) log.warn({ lateMs: Math.round(-leftMs) }, 'idle connection closed late')
      socket.destroy()
    })
  }

  function findCloser ({ req, res }: ConnectionRequest): ClosedBy {
    if (req.socket.readableEnded || req.socket.errored !== null) return ClosedBy.Client
    return res.destroyed && !req.socket.destroyed ? ClosedBy.Process : ClosedBy.Server
  }

  server.on('clientError', onClientError)
  server.on('timeout', onIdle)
  // Node closes a connection after its last response by this method, which would not wait for what the client still sends.
  server.on('connection', (socket) => { socket.destroySoon = () => closeInOrder(socket) })

  return {
    admit (request, onUnanswered) {
      const { req, res, requestId } = request
      const state = stateOf(req.socket)
      if (state.isLast) {
        log.info({ request: requestId }, 'not served: it came behind the last response of its connection')
        req.resume()
        return false
      }
      const startedMs = timer.now()
      state.requests++
      state.open.add(request)
      res.once('close', () => {
        state.open.delete(request)
        state.idleSinceMs = timer.now()
        if (res.writableFinished) return
        onUnanswered({ requestId, closedBy: findCloser(request), tookMs: Math.round(timer.now() - startedMs), hasBegun: res.headersSent })
      })
      return true
    },
    setIdleTimeout (ms) { idleTimeoutMs = ms }
  }
}
