/**
 * Closes the connections of clients, so that no request that has been read loses its response, and records how they close.
 */
import { Count } from '../metrics/mod.ts'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Reply } from './_reply.ts'
import type { GatewayContext } from './_types.ts'

/** A request with its response. */
export interface ConnectionRequest {
  req: IncomingMessage
  res: ServerResponse
  reply: Reply
  requestId: string | undefined
}

/** The connections of clients to a server. */
export interface ClientConnections {
  /** Admits a request; returns false when its connection has had its last response, so that the request must not be served. */
  admit (request: ConnectionRequest): boolean
  /** Sets the idle time in milliseconds after which a connection is closed. */
  setIdleTimeout (ms: number): void
}

/** Names the sides that can close a connection. */
enum ClosedBy {
  Client = 'client',
  /** The gateway broke the response off. */
  Gateway = 'gateway',
  /** A limit on the connection, or the end of the process. */
  Server = 'server'
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

/** Takes over how a server closes the connections of its clients. */
export function createClientConnections (context: GatewayContext, server: Server): ClientConnections {
  const { timer, log, metrics, directory } = context
  const states = new WeakMap<Socket, ConnectionState>()
  let idleTimeoutMs = 0

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

  function onClose ({ res, reply, req, requestId }: ConnectionRequest, startedMs: number, version: number | undefined): void {
    const { socket } = req
    const isByClient = socket.readableEnded || socket.errored !== null
    const closedBy = reply.isFinished() ? ClosedBy.Gateway : isByClient ? ClosedBy.Client : ClosedBy.Server
    const tookMs = Math.round(timer.now() - startedMs)
    const versions = { version, versionNow: directory.routeTable()?.version }
    log.warn({ request: requestId, closedBy, tookMs, hasBegun: res.headersSent, ...versions }, 'closed without a complete response')
    metrics.count(Count.Unanswered, { closed_by: closedBy })
  }

  server.on('clientError', onClientError)
  server.on('timeout', onIdle)
  // Node closes a connection after its last response by this method, which would not wait for what the client still sends.
  server.on('connection', (socket) => { socket.destroySoon = () => closeInOrder(socket) })

  return {
    admit (request) {
      const { req, res } = request
      const { socket } = req
      const state = stateOf(socket)
      if (state.isLast) return false
      const startedMs = timer.now()
      const version = directory.routeTable()?.version
      state.requests++
      state.open.add(request)
      res.once('close', () => {
        state.open.delete(request)
        state.idleSinceMs = timer.now()
        if (!res.writableFinished) onClose(request, startedMs, version)
      })
      return true
    },
    setIdleTimeout (ms) { idleTimeoutMs = ms }
  }
}
