/**
 * The connections of an HTTP server: how they end, and which of their requests are served.
 */
import { ClosedBy } from './_types.ts'
import type { IncomingMessage, Server } from 'node:http'
import type { Socket } from 'node:net'
import type { AdmissionHandlers, ConnectionManager, ConnectionRequest, ManageConnectionsOptions } from './_types.ts'

interface ConnectionState {
  /** The request that is served; its response is not complete. */
  current: ConnectionRequest | undefined
  /** Requests that have arrived behind it, in their order. */
  waiting: Array<() => void>
  /** Number of requests so far. */
  requests: number
  /** Time in milliseconds since which no request is open. */
  idleSinceMs: number
  /** True when no further request of this connection is admitted. */
  isLast: boolean
  isClosing: boolean
}

/** Lateness in milliseconds of the end of an idle connection that shows a pause of the process. */
const minLatenessMs = 100
/** Time in milliseconds beyond the idle limit for which a connection stays open, because a client may use it until its own timer expires. */
const idleMarginMs = 1_000
/** Time in milliseconds for which a connection is read after its last response; closing one with unread bytes resets it, and the response may be lost. */
const lingerMs = 1_000

/**
 * Limit on heads in bytes that the parser of each new connection has at least. It keeps its limit for good; the one in force, which may be
 * raised up to this one while the connection is open, is checked for each head.
 */
const minParserLimitBytes = 32_768

const clientErrors: { readonly [code: string]: number } = { HPE_HEADER_OVERFLOW: 431, ERR_HTTP_REQUEST_TIMEOUT: 408 }
const statusTexts: { readonly [status: number]: string } = {
  400: 'Bad Request', 408: 'Request Timeout', 431: 'Request Header Fields Too Large'
}

/** Counts the bytes of a head as the parser does: the path, and names and values of the headers. */
function countHeadBytes ({ url = '', rawHeaders }: IncomingMessage): number {
  let bytes = url.length
  for (const text of rawHeaders) bytes += text.length
  return bytes
}

/**
 * Takes over how a server closes its connections, so that no request that has been read loses its response.
 *
 * Requests of a connection are served one after the other. A connection is read on for a moment after its last response, ends behind the
 * responses that are due when bad bytes follow a request, and is read once more before a limit closes it.
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
  const sockets = new Set<Socket>()
  let { idleTimeoutMs } = options
  let maxHeaderBytes = Infinity

  function stateOf (socket: Socket): ConnectionState {
    const known = states.get(socket)
    if (known !== undefined) return known
    const state: ConnectionState = { current: undefined, waiting: [], requests: 0, idleSinceMs: timer.now(), isLast: false, isClosing: false }
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

  /** Announces the end of a connection with the response to its last request. */
  function announceEnd ({ current, waiting, isLast }: ConnectionState): void {
    if (isLast && waiting.length === 0 && current !== undefined && !current.res.headersSent) current.res.shouldKeepAlive = false
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
    const { current, waiting } = state
    // A client that ends its side inside a message has left, like one that closes behind a whole request.
    if (socket.readableEnded || err.code === 'ECONNRESET' || (!socket.writable && !state.isClosing)) {
      socket.destroy()
      return
    }
    if (state.isLast) return
    const isIncomplete = current !== undefined && waiting.length === 0 && !current.req.complete && !current.res.headersSent
    if (current !== undefined && !isIncomplete) {
      log.info({ reason: err.code, request: current.requestId, waiting: waiting.length }, 'bad request behind one without a response')
      state.isLast = true
      announceEnd(state)
      return
    }
    // A body that cannot be completed has no other response to wait for.
    if (isIncomplete || err.code !== 'ERR_HTTP_REQUEST_TIMEOUT') {
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
      if (socket.destroyed || state.current !== undefined || socket.bytesRead !== bytesRead) return
      if (leftMs < -minLatenessMs) log.warn({ lateMs: Math.round(-leftMs) }, 'idle connection closed late')
      socket.destroy()
    })
  }

  function findCloser ({ req, res }: ConnectionRequest): ClosedBy {
    if (req.socket.readableEnded || req.socket.errored !== null) return ClosedBy.Client
    return res.destroyed && !req.socket.destroyed ? ClosedBy.Process : ClosedBy.Server
  }

  server.on('clientError', onClientError)
  server.on('connect', (_req, socket) => onClientError(Object.assign(new Error('method CONNECT'), { code: 'CONNECT' }), socket as Socket))
  server.on('timeout', onIdle)
  // Node closes a connection after its last response by this method, which would not wait for what the client still sends.
  server.on('connection', (socket) => {
    socket.destroySoon = () => closeInOrder(socket)
    sockets.add(socket)
    socket.once('close', () => sockets.delete(socket))
  })

  /** Serves the next request of a connection, or closes the connection when that was the last one. */
  function goOn (socket: Socket, state: ConnectionState): void {
    const next = state.isClosing ? undefined : state.waiting.shift()
    if (next !== undefined) next()
    else if (state.isLast) closeInOrder(socket)
  }

  function serve (request: ConnectionRequest, state: ConnectionState, handlers: AdmissionHandlers): void {
    const { req, res, requestId } = request
    const startedMs = timer.now()
    state.current = request
    announceEnd(state)
    res.once('close', () => {
      state.current = undefined
      state.idleSinceMs = timer.now()
      if (res.writableFinished) {
        goOn(req.socket, state)
        return
      }
      const tookMs = Math.round(timer.now() - startedMs)
      handlers.onUnanswered({ requestId, closedBy: findCloser(request), tookMs, hasBegun: res.headersSent })
    })
    handlers.serve()
  }

  return {
    admit (request, handlers) {
      const { req, requestId } = request
      const state = stateOf(req.socket)
      if (countHeadBytes(req) >= maxHeaderBytes) {
        onClientError(Object.assign(new Error('head too long'), { code: 'HPE_HEADER_OVERFLOW' }), req.socket)
        return
      }
      if (state.isLast) {
        log.info({ request: requestId }, 'not served: it came behind the last response of its connection')
        req.resume()
        return
      }
      state.requests++
      if (state.current === undefined && state.waiting.length === 0) serve(request, state, handlers)
      else state.waiting.push(() => serve(request, state, handlers))
    },
    setIdleTimeout (ms) {
      const isLowered = ms < idleTimeoutMs
      idleTimeoutMs = ms
      if (!isLowered) return
      for (const socket of sockets) {
        const { current, requests, idleSinceMs } = stateOf(socket)
        if (current === undefined && requests > 0) socket.setTimeout(Math.max(1, idleSinceMs + ms + idleMarginMs - timer.now()))
      }
    },
    setMaxHeaderBytes (bytes) {
      maxHeaderBytes = bytes
      // Node reads this limit for each new connection, but its types declare it only as an option of the constructor.
      Object.assign(server, { maxHeaderSize: Math.max(bytes, minParserLimitBytes) })
    }
  }
}
