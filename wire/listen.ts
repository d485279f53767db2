/**
 * Incoming connections from other processes.
 */
import { createServer as createTcpServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { createServer as createTlsServer } from 'node:tls'
import { Err, Ok } from '../core/results/mod.ts'
import type { Result } from '../core/results/mod.ts'
import { createConnection } from './_connection.ts'
import type { Connection } from './_connection.ts'
import { defaultFirstMessageTimeoutMs } from './_limits.ts'
import { serverPskOptions } from './_psk.ts'
import type { Psk } from './_psk.ts'
import { formatAddress } from './parse_address.ts'
import { WireErrorKind } from './wire_error.ts'
import type { WireError } from './wire_error.ts'

/** Bounds what connections may take from peers of which nothing is known. */
export interface ListenBounds {
  /** Largest number of open connections; unlimited by default. A further one has that closed which has sent no message for longest. */
  maxConnections?: number
  /** Largest first frame accepted of each connection, in bytes; as any other by default. */
  maxFirstFrameBytes?: number
}

/** Configures a listener. */
export interface ListenOptions extends ListenBounds {
  /** IP address to bind. */
  host: string
  /** Port to bind; 0 lets the operating system choose one. */
  port: number
  /** Key shared by all processes; without it, connections are plain TCP. */
  psk?: Psk
  /** Largest frame accepted, in bytes; 4 MiB by default. */
  maxFrameBytes?: number
  /** Largest number of unsent bytes of each connection; 16 MiB by default. */
  maxBufferedBytes?: number
  /** Time in milliseconds within which a peer must send its first message; 5,000 by default. */
  firstMessageTimeoutMs?: number
  /** Gets each connection, after the TLS handshake when there is a key. */
  onConnection: (connection: Connection) => void
}

/** Accepts connections until it is closed. */
export interface Listener {
  /** Bound address `ip:port`. */
  readonly address: string
  /** Stops accepting, destroys the open connections and resolves when all are closed. */
  close (): Promise<void>
}

/**
 * Binds an address and accepts connections.
 *
 * @param options the address, the key, the limits and the receiver of connections
 * @returns the listener, or the error `listen_failed`
 *
 * @example
 * ```ts
 * import { listen } from 'briarloom/wire'
 *
 * const listener = (await listen({ host: '127.0.0.1', port: 0, onConnection: (c) => c.close() })).unwrap()
 * await listener.close()
 * ```
 */
export function listen (options: ListenOptions): Promise<Result<Listener, WireError>> {
  const { host, port, psk } = options
  const { maxConnections = Infinity } = options
  const sockets = new Set<Socket>()
  /** Sockets on which no message has come, by the address of the peer, the oldest first; with a key, those in their handshake too. */
  const silent = new Map<string, Socket>()
  const getPeer = (socket: Socket): string => `${socket.remoteAddress} ${socket.remotePort}`

  function accept (socket: Socket): void {
    const firstMessageTimeoutMs = options.firstMessageTimeoutMs ?? defaultFirstMessageTimeoutMs
    const peer = getPeer(socket)
    options.onConnection(createConnection(socket, { ...options, firstMessageTimeoutMs, onFirstMessage: () => { silent.delete(peer) } }))
  }

  const server: Server = psk === undefined ? createTcpServer(accept) : createTlsServer(serverPskOptions(psk), accept)
  // Raw sockets are tracked, so that `close` also ends a connection in the middle of its TLS handshake.
  server.on('connection', (socket: Socket) => {
    const peer = getPeer(socket)
    sockets.add(socket)
    silent.set(peer, socket)
    socket.on('close', () => {
      sockets.delete(socket)
      if (silent.get(peer) === socket) silent.delete(peer)
    })
    // When all others have sent messages, the oldest without one is this one.
    if (sockets.size > maxConnections) silent.values().next().value?.destroy()
    socket.on('error', () => { socket.destroy() })
  })
  server.on('tlsClientError', (_err: Error, socket: Socket) => { socket.destroy() })

  function close (): Promise<void> {
    return new Promise((resolve) => {
      server.close(() => resolve())
      for (const socket of sockets) socket.destroy()
    })
  }

  return new Promise((resolve) => {
    server.once('error', (err) => {
      const message = `address ${formatAddress(host, port)} cannot be bound: ${err.message}`
      resolve(Err({ kind: WireErrorKind.ListenFailed, message }))
    })
    server.listen(port, host, () => {
      server.on('error', () => {})
      const bound = server.address() as AddressInfo
      resolve(Ok({ address: formatAddress(bound.address, bound.port), close }))
    })
  })
}
