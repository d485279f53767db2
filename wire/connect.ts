/**
 * Outgoing connections to other processes.
 */
import { connect as connectTcp } from 'node:net'
import type { Socket } from 'node:net'
import { connect as connectTls } from 'node:tls'
import { Err, Ok } from '../core/results/mod.ts'
import type { Result } from '../core/results/mod.ts'
import { createConnection } from './_connection.ts'
import type { Connection } from './_connection.ts'
import { defaultConnectTimeoutMs } from './_limits.ts'
import { clientPskOptions } from './_psk.ts'
import type { Psk } from './_psk.ts'
import { parseAddress } from './parse_address.ts'
import type { HostPort } from './parse_address.ts'
import { WireErrorKind } from './wire_error.ts'
import type { WireError } from './wire_error.ts'

/** Configures an outgoing connection. */
export interface ConnectOptions {
  /** Address `ip:port` of the peer. */
  address: string
  /** Key shared by all processes; without it, the connection is plain TCP. */
  psk?: Psk
  /** Time in milliseconds that the connection attempt may take, TLS handshake included; 2,000 by default. */
  connectTimeoutMs?: number
  /** Largest frame accepted, in bytes; 4 MiB by default. */
  maxFrameBytes?: number
  /** Largest number of unsent bytes; 16 MiB by default. */
  maxBufferedBytes?: number
}

/**
 * Opens a connection to another process.
 *
 * @param options the address, the key, the timeout in milliseconds and the limits in bytes
 * @returns the connection, or the error `bad_address`, `connect_failed` or `timed_out`
 *
 * @example
 * ```ts
 * import { connect } from 'briarloom/wire'
 *
 * const connection = await connect({ address: '127.0.0.1:1' })
 * console.assert(connection.err)
 * ```
 */
export async function connect (options: ConnectOptions): Promise<Result<Connection, WireError>> {
  const target = parseAddress(options.address)
  if (target.err) return target
  const socket = openSocket(target.val, options.psk)
  const connected = await waitUntilConnected(socket, options)
  if (connected.err) {
    socket.destroy()
    return connected
  }
  return Ok(createConnection(socket, options))
}

function openSocket (target: HostPort, psk: Psk | undefined): Socket {
  if (psk === undefined) return connectTcp(target)
  return connectTls({ ...target, ...clientPskOptions(psk) })
}

function waitUntilConnected (socket: Socket, options: ConnectOptions): Promise<Result<void, WireError>> {
  const { address, psk, connectTimeoutMs = defaultConnectTimeoutMs } = options
  return new Promise((resolve) => {
    socket.setTimeout(connectTimeoutMs, () => {
      const message = `connection to ${address} was not established within ${connectTimeoutMs} ms`
      resolve(Err({ kind: WireErrorKind.TimedOut, message }))
    })
    socket.once('error', (err) => {
      resolve(Err({ kind: WireErrorKind.ConnectFailed, message: `connection to ${address} failed: ${err.message}` }))
    })
    socket.once('close', () => {
      resolve(Err({ kind: WireErrorKind.ConnectFailed, message: `connection to ${address} was closed before it was established` }))
    })
    socket.once(psk === undefined ? 'connect' : 'secureConnect', () => {
      socket.setTimeout(0)
      socket.removeAllListeners('timeout')
      resolve(Ok(undefined))
    })
  })
}
