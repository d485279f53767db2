/**
 * Connects the sockets of a pool.
 */
import { connect } from 'node:net'
import { boundIdleBytes } from './_bound_idle_bytes.ts'
import { isReset } from './is_reset.ts'
import type { Socket } from 'node:net'
import type { buildConnector } from 'undici'

/**
 * Time in milliseconds without traffic before the operating system checks by TCP keep-alive whether the peer is alive. A server, its
 * machine or the path to it may fall silent for a second or more and go on, and probes that get no answer end the connection.
 */
const keepAliveProbeMs = 10_000

/** What is known of the socket of a connection. */
export interface SocketState {
  /** True when the server has closed its end. */
  isEnded: boolean
  /** True when the connection was reset. */
  isReset: boolean
  /** Notes that a response goes on: its head or a part of its body has come. */
  markProgress (): void
}

/** Configures the making of a connection. */
export interface ConnectSocketOptions {
  connectTimeoutMs: number
  maxHeaderBytes: number
  /** Receives the socket once it is connected, or the error. */
  done: buildConnector.Callback
}

/** Connects a socket and keeps `state` up to date with it. */
export function connectSocket (state: SocketState, target: buildConnector.Options, { connectTimeoutMs, maxHeaderBytes, done }: ConnectSocketOptions): void {
  const socket: Socket = connect({ host: target.hostname, port: Number(target.port || 80), noDelay: true })
  const fail = (err: Error): void => {
    socket.destroy()
    done(err, null)
  }
  // Timers run before sockets are polled, so after a pause of the process the connection may be there already.
  socket.setTimeout(connectTimeoutMs, () => setImmediate(() => {
    if (socket.connecting) fail(new Error(`connection was not established within ${connectTimeoutMs} ms`))
  }))
  socket.once('error', fail)
  socket.once('connect', () => {
    socket.setTimeout(0)
    socket.removeAllListeners('timeout')
    socket.off('error', fail)
    socket.setKeepAlive(true, keepAliveProbeMs)
    state.markProgress = boundIdleBytes(socket, maxHeaderBytes)
    socket.on('error', () => { state.isReset = true })
    socket.on('end', () => {
      state.isEnded = true
      state.isReset ||= isReset(socket)
    })
    done(null, socket)
  })
}
