/**
 * A connection that owns one socket and carries messages over it.
 */
import type { Socket } from 'node:net'
import { createFrameDecoder } from './create_frame_decoder.ts'
import { encodeFrame } from './encode_frame.ts'
import { defaultMaxBufferedBytes, keepAliveIdleMs, closeTimeoutMs } from './_limits.ts'
import type { Message } from './messages.ts'
import { formatAddress } from './parse_address.ts'
import { validateMessage } from './validate_message.ts'

/** Carries messages to and from one peer. */
export interface Connection {
  /** Address `ip:port` of the peer. */
  readonly remoteAddress: string
  /** Number of bytes accepted by `send` and not yet handed to the operating system. */
  readonly bufferedBytes: number
  /** Sends a message; false when the connection is closed or holds too many unsent bytes. */
  send (msg: Message): boolean
  /** Sets the receiver of messages; those that came before are kept for it. */
  onMessage (fn: (msg: Message) => void): void
  /** Adds a listener that is called once with the reason when the connection has closed. */
  onClose (fn: (reason: string) => void): void
  /** Sends what is buffered and closes the connection. */
  close (): void
}

/** Configures a connection. */
export interface ConnectionOptions {
  /** Largest frame accepted, in bytes; 4 MiB by default. */
  maxFrameBytes?: number
  /** Largest number of unsent bytes; 16 MiB by default. */
  maxBufferedBytes?: number
  /** Time in milliseconds within which the first message must arrive; no bound by default. */
  firstMessageTimeoutMs?: number
}

/** Creates a connection over a connected socket. */
export function createConnection (socket: Socket, options: ConnectionOptions = {}): Connection {
  const maxBufferedBytes = options.maxBufferedBytes ?? defaultMaxBufferedBytes
  const remote = formatAddress(socket.remoteAddress ?? 'unknown', socket.remotePort ?? 0)
  const decoder = createFrameDecoder(options)
  const closeListeners: Array<(reason: string) => void> = []
  let receiver: ((msg: Message) => void) | undefined
  let pending: Buffer[] = []
  let pendingBytes = 0
  let closing = false
  let reason = 'closed by the peer'
  let closed = false

  // One write for each turn of the event loop: a write for each message would cost a system call a token.
  function flush (): void {
    if (pending.length === 0 || socket.destroyed) return
    const [first] = pending
    const bytes = pending.length === 1 && first ? first : Buffer.concat(pending, pendingBytes)
    pending = []
    pendingBytes = 0
    socket.write(bytes)
  }

  function send (msg: Message): boolean {
    if (closing || closed || socket.destroyed) return false
    if (pendingBytes + socket.writableLength > maxBufferedBytes) return false
    const frame = encodeFrame(msg)
    if (pending.length === 0) setImmediate(flush)
    pending.push(frame)
    pendingBytes += frame.length
    return true
  }

  function abort (why: string): void {
    closing = true
    reason = why
    socket.destroy()
  }

  function close (): void {
    if (closing || closed) return
    closing = true
    reason = 'closed here'
    flush()
    socket.end()
    // A peer that reads nothing must not hold the socket.
    socket.setTimeout(closeTimeoutMs, () => socket.destroy())
  }

  function deliver (value: unknown): void {
    const msg = validateMessage(value)
    if (msg.err) abort(msg.val.message)
    else receiver?.(msg.val)
  }

  function onData (chunk: Buffer): void {
    if (closing) return
    const values = decoder.push(chunk)
    if (values.err) {
      abort(values.val.message)
      return
    }
    if (values.val.length > 0) socket.setTimeout(0)
    for (const value of values.val) {
      if (closing) return
      deliver(value)
    }
  }

  socket.setNoDelay(true)
  // A host that is lost without a word would keep its idle connections open for ever.
  socket.setKeepAlive(true, keepAliveIdleMs)
  // The socket is not read before a receiver is set, so that early messages wait in the operating system's buffers.
  socket.pause()
  if (options.firstMessageTimeoutMs) {
    socket.setTimeout(options.firstMessageTimeoutMs, () => abort('no message arrived in time'))
  }
  socket.on('error', (err) => { if (!closing) reason = err.message })
  socket.on('close', () => {
    closed = true
    for (const fn of closeListeners.splice(0)) fn(reason)
  })

  return {
    remoteAddress: remote,
    get bufferedBytes () { return pendingBytes + socket.writableLength },
    send,
    onMessage (fn) {
      const first = receiver === undefined
      receiver = fn
      if (first) socket.on('data', onData).resume()
    },
    onClose (fn) {
      if (closed) queueMicrotask(() => fn(reason))
      else closeListeners.push(fn)
    },
    close
  }
}
