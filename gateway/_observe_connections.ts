/**
 * Records how the connections of clients close, for the log and the metrics.
 */
import { Count } from '../metrics/mod.ts'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Reply } from './_reply.ts'
import type { GatewayContext } from './_types.ts'

/** A request with what observes its response. */
export interface ObservedRequest {
  req: IncomingMessage
  res: ServerResponse
  reply: Reply
  requestId: string | undefined
}

/** Observes the connections of a server. */
export interface ConnectionObserver {
  /** Observes a request until its connection closes or its response is complete. */
  watch (request: ObservedRequest): void
  /** Lists the ids of the requests of a connection that have no complete response. */
  unanswered (socket: Socket): string[]
  /** Sets the idle time in milliseconds after which the server closes a connection. */
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

/** Lateness in milliseconds of the end of an idle connection that shows a pause of the process. */
const minLatenessMs = 100

/** Observes the connections of a server, and closes those that are idle. */
export function observeConnections (context: GatewayContext, server: Server): ConnectionObserver {
  const { timer, log, metrics, directory } = context
  const open = new WeakMap<Socket, Set<ObservedRequest>>()
  const idleSinceMs = new WeakMap<Socket, number>()
  let idleTimeoutMs = 0

  server.on('timeout', (socket: Socket) => {
    const idleMs = Math.round(timer.now() - (idleSinceMs.get(socket) ?? timer.now()))
    const lateMs = idleMs - idleTimeoutMs
    if (lateMs > minLatenessMs) log.warn({ idleMs, lateMs }, 'idle connection closed late')
    socket.destroy()
  })

  function findCloser (socket: Socket, reply: Reply): ClosedBy {
    if (reply.isFinished()) return ClosedBy.Gateway
    return socket.readableEnded || socket.errored !== null ? ClosedBy.Client : ClosedBy.Server
  }

  return {
    watch (request) {
      const { req, res, reply, requestId } = request
      const { socket } = req
      const startedMs = timer.now()
      const version = directory.routeTable()?.version
      const requests = open.get(socket) ?? new Set()
      open.set(socket, requests.add(request))
      res.once('finish', () => { idleSinceMs.set(socket, timer.now()) })
      res.once('close', () => {
        requests.delete(request)
        if (res.writableFinished) return
        const closedBy = findCloser(socket, reply)
        const tookMs = Math.round(timer.now() - startedMs)
        const versions = { version, versionNow: directory.routeTable()?.version }
        log.warn({ request: requestId, closedBy, tookMs, hasBegun: res.headersSent, ...versions }, 'closed without a complete response')
        metrics.count(Count.Unanswered, { closed_by: closedBy })
      })
    },
    unanswered: (socket) => [...open.get(socket) ?? []].map(({ requestId }) => requestId ?? ''),
    setIdleTimeout (ms) { idleTimeoutMs = ms }
  }
}
