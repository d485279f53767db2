/**
 * A bound on the open connections of an HTTP server.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Timer } from '../timer/mod.ts'

/** Configures the bound. */
export interface BoundConnectionsOptions {
  timer: Timer
  /** Largest number of open connections. */
  maxConnections: number
  /** Largest number of open connections from one address; three quarters of `maxConnections` by default. */
  maxPerAddress?: number
  /** Called when a connection is closed to keep the bound. */
  onClosed?: () => void
}

/** The open connections of a server. */
export interface BoundedConnections {
  /** Returns their number. */
  count (): number
}

interface ConnectionState {
  address: string
  /** Requests without a complete response, in their order. */
  open: Set<IncomingMessage>
  hasRequested: boolean
  /** Time in milliseconds since which it is as it is: without a request, idle, or with a request. */
  sinceMs: number
}

/** Order in which connections are closed; those of one kind by their time, the longest first. */
enum Precedence {
  /** Has sent no whole head for a while. */
  Late,
  Idle,
  /** Has just connected. */
  New,
  /** Has sent a head, and not yet the whole body. */
  Sending,
  /** Has a request that may run. */
  Kept
}

/** Time in milliseconds from its connecting within which a client sends the head of its first request, with a packet that is sent again. */
const headMs = 1_500
const perAddressShare = 3 / 4

/**
 * Bounds the connections of a server. A further one has the least useful one closed: one that has sent no head for long, an idle one, or
 * one whose body has not ended, the longest open first. When each has a request that may run, the further one is closed itself.
 *
 * @param server the server, before it accepts connections
 * @param options the timer and the bounds
 * @returns the connections
 *
 * @example
 * ```ts
 * import { createServer } from 'node:http'
 * import { boundConnections } from 'briarloom/http'
 * import { createSystemTimer } from 'briarloom/timer'
 *
 * const connections = boundConnections(createServer(), { timer: createSystemTimer(), maxConnections: 100 })
 * console.assert(connections.count() === 0)
 * ```
 */
export function boundConnections (server: Server, options: BoundConnectionsOptions): BoundedConnections {
  const { timer, maxConnections, maxPerAddress = Math.ceil(perAddressShare * maxConnections), onClosed = () => {} } = options
  const states = new Map<Socket, ConnectionState>()
  const counts = new Map<string, number>()

  function getPrecedence ({ open, hasRequested, sinceMs }: ConnectionState): Precedence {
    for (const req of open) if (req.complete) return Precedence.Kept
    if (open.size > 0) return Precedence.Sending
    if (hasRequested) return Precedence.Idle
    return timer.now() - sinceMs > headMs ? Precedence.Late : Precedence.New
  }

  /** Returns the first connection to close, of one address or of all, but not `kept`. */
  function findFirst (kept: Socket, address: string | undefined): Socket | undefined {
    let first: { socket: Socket, precedence: Precedence, sinceMs: number } | undefined
    for (const [socket, state] of states) {
      if (socket === kept || (address !== undefined && state.address !== address)) continue
      const precedence = getPrecedence(state)
      if (precedence === Precedence.Kept) continue
      const { sinceMs } = state
      if (first === undefined || precedence < first.precedence || (precedence === first.precedence && sinceMs < first.sinceMs)) {
        first = { socket, precedence, sinceMs }
      }
    }
    return first?.socket
  }

  function remove (socket: Socket): void {
    const state = states.get(socket)
    if (state === undefined) return
    states.delete(socket)
    const left = (counts.get(state.address) ?? 1) - 1
    if (left > 0) counts.set(state.address, left)
    else counts.delete(state.address)
  }

  server.on('connection', (socket: Socket) => {
    const address = socket.remoteAddress ?? ''
    states.set(socket, { address, open: new Set(), hasRequested: false, sinceMs: timer.now() })
    counts.set(address, (counts.get(address) ?? 0) + 1)
    socket.once('close', () => remove(socket))
    const isAddressOver = (counts.get(address) ?? 0) > maxPerAddress
    if (!isAddressOver && states.size <= maxConnections) return
    const first = findFirst(socket, isAddressOver ? address : undefined) ?? socket
    remove(first)
    first.destroy()
    onClosed()
  })
  server.prependListener('request', (req: IncomingMessage, res: ServerResponse) => {
    const state = states.get(req.socket)
    if (state === undefined) return
    if (state.open.size === 0) state.sinceMs = timer.now()
    state.hasRequested = true
    state.open.add(req)
    res.once('close', () => {
      state.open.delete(req)
      if (state.open.size === 0) state.sinceMs = timer.now()
    })
  })
  return { count: () => states.size }
}
