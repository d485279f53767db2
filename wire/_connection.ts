/**
 * Connections that carry messages over one socket.
 */
import type { Socket } from 'node:net'
import { createFrameDecoder } from './create_frame_decoder.ts'
import { encodeFrame } from './encode_frame.ts'
import { defaultMaxBufferedBytes, keepAliveIdleMs, closeTimeoutMs } from './_limits.ts'
import type { Message } from './messages.ts'
import { formatAddress } from './parse_address.ts'
import { validateMessage } from './validate_message.ts'

/** Sends messages to one peer and receives messages from it. */
export interface Connection {
  /** Address `ip:port` of the peer. */
  readonly remoteAddress: string
  /** Number of bytes accepted by `send` and not yet handed to the operating system. */
  readonly bufferedBytes: number
  /** Number of bytes that have come of a message that is not complete; 0 between two messages. */
  readonly receivingBytes: number
  /** Queues a message for sending; returns false when the connection is closed or holds too many unsent bytes. */
  send (msg: Message): boolean
  /** Sets the receiver of messages; messages that arrive before the first call are kept for it. */
  onMessage (fn: (msg: Message) => void): void
  /** Adds a listener that is called once, with the reason, after the connection has closed. */
  onClose (fn: (reason: string) => void): void
  /** Sends what is buffered, then closes the connection. */
  close (): void
}

/** Configures a connection. */
export interface ConnectionOptions {
  /** Largest frame accepted, in bytes; 4 MiB by default. */
  maxFrameBytes?: number
  /** Largest first frame accepted, in bytes; `maxFrameBytes` by default. */
  maxFirstFrameBytes?: number
  /** Called when the first message has arrived. */
  onFirstMessage?: () => void
  /** Largest number of unsent bytes; 16 MiB by default. */
  maxBufferedBytes?: number
  /** Time in milliseconds within which the first message must arrive; unlimited by default. */
  firstMessageTimeoutMs?: number
}

/** Creates a connection that owns a connected socket; an invalid frame or message closes it. */
export function createConnection (socket: Socket, options: ConnectionOptions = {}): Connection {
  const maxBufferedBytes = options.maxBufferedBytes ?? defaultMaxBufferedBytes
  const remoteAddress = formatAddress(socket.remoteAddress ?? 'unknown', socket.remotePort ?? 0)
  const decoder = createFrameDecoder(options)
  const closeListeners: Array<(reason: string) => void> = []
  let receiver: ((msg: Message) => void) | undefined
  let unsentFrames: Buffer[] = []
  let unsentBytes = 0
  let hasMessage = false
  let isClosing = false
  let closeReason = 'closed by the peer'
  let isClosed = false

  // Writes once per turn of the event loop; a write per message would cost one system call per token.
  function flush (): void {
    if (unsentFrames.length === 0 || socket.destroyed) return
    const [first] = unsentFrames
    const bytes = unsentFrames.length === 1 && first ? first : Buffer.concat(unsentFrames, unsentBytes)
    unsentFrames = []
    unsentBytes = 0
    socket.write(bytes)
  }

  function send (msg: Message): boolean {
    if (isClosing || isClosed || socket.destroyed) return false
    if (unsentBytes + socket.writableLength > maxBufferedBytes) return false
    const frame = encodeFrame(msg)
    if (unsentFrames.length === 0) setImmediate(flush)
    unsentFrames.push(frame)
    unsentBytes += frame.length
    return true
  }

  function abort (why: string): void {
    isClosing = true
    closeReason = why
    socket.destroy()
  }

  function close (): void {
    if (isClosing || isClosed) return
    isClosing = true
    closeReason = 'closed by this process'
    flush()
    socket.end()
    // Destroys the socket of a peer that does not read what is left to send.
    socket.setTimeout(closeTimeoutMs, () => socket.destroy())
  }

  function handleValue (value: unknown): void {
    const msg = validateMessage(value)
    if (msg.err) abort(msg.val.message)
    else receiver?.(msg.val)
  }

  function onData (chunk: Buffer): void {
    if (isClosing) return
    const values = decoder.push(chunk)
    if (values.err) {
      abort(values.val.message)
      return
    }
    if (values.val.length > 0) {
      socket.setTimeout(0)
      if (!hasMessage) options.onFirstMessage?.()
      hasMessage = true
    }
    for (const value of values.val) {
      if (isClosing) return
      handleValue(value)
    }
  }

  socket.setNoDelay(true)
  // Without keep-alive probes, idle connections to a host that failed without closing them would stay open forever.
  socket.setKeepAlive(true, keepAliveIdleMs)
  // The socket is not read until a receiver is set; earlier messages stay in the operating system's buffers.
  socket.pause()
  if (options.firstMessageTimeoutMs) {
    socket.setTimeout(options.firstMessageTimeoutMs, () => abort('no message arrived before the timeout for the first message'))
  }
  socket.on('error', (err) => { if (!isClosing) closeReason = err.message })
  socket.on('close', () => {
    isClosed = true
    for (const fn of closeListeners.splice(0)) fn(closeReason)
  })

  return {
    remoteAddress,
    get bufferedBytes () { return unsentBytes + socket.writableLength },
    get receivingBytes () { return decoder.bufferedBytes },
    send,
    onMessage (fn) {
      const isFirst = receiver === undefined
      receiver = fn
      if (isFirst) socket.on('data', onData).resume()
    },
    onClose (fn) {
      if (isClosed) queueMicrotask(() => fn(closeReason))
      else closeListeners.push(fn)
    },
    close
  }
}
