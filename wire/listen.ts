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

/** Configures a listener. */
export interface ListenOptions {
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
  const sockets = new Set<Socket>()

  function accept (socket: Socket): void {
    const firstMessageTimeoutMs = options.firstMessageTimeoutMs ?? defaultFirstMessageTimeoutMs
    options.onConnection(createConnection(socket, { ...options, firstMessageTimeoutMs }))
  }

  const server: Server = psk === undefined ? createTcpServer(accept) : createTlsServer(serverPskOptions(psk), accept)
  // Raw sockets are tracked, so that `close` also ends a connection in the middle of its TLS handshake.
  server.on('connection', (socket: Socket) => {
    sockets.add(socket)
    socket.on('close', () => { sockets.delete(socket) })
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
