/**
 * Bounds the bytes of a connection that belong to no response.
 */
import type { Socket } from 'node:net'

/** Bytes that a socket may have read and not yet passed on: its buffer, and one read. */
const socketBufferBytes = 131_072

/**
 * Breaks a connection that reads bytes which are neither a head nor a body. The parser bounds header fields, but not interim responses,
 * the text of a status line and the size and extension of a chunk.
 *
 * @param socket the connection
 * @param maxHeadBytes longest head of a response
 * @returns a function to call whenever a head or a part of a body has come
 */
export function boundIdleBytes (socket: Socket, maxHeadBytes: number): () => void {
  const maxBytes = maxHeadBytes + socketBufferBytes
  let progressBytes = 0
  socket.on('readable', () => {
    if (socket.bytesRead - progressBytes > maxBytes) socket.destroy(new Error(`more than ${maxBytes} bytes that belong to no response`))
  })
  return () => { progressBytes = socket.bytesRead }
}
