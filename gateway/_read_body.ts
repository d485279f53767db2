/**
 * Reads the bodies of clients' requests.
 */
import type { IncomingMessage } from 'node:http'

/** Reads a complete body; calls `done` with undefined as soon as it is longer than `maxBytes`. */
export function readBody (req: IncomingMessage, maxBytes: number, done: (body: Buffer | undefined) => void): void {
  const chunks: Buffer[] = []
  let bytes = 0
  req.on('data', (chunk: Buffer) => {
    bytes += chunk.length
    if (bytes <= maxBytes) chunks.push(chunk)
    else if (bytes - chunk.length <= maxBytes) done(undefined)
  })
  req.on('end', () => { if (bytes <= maxBytes) done(Buffer.concat(chunks, bytes)) })
  req.on('error', () => {}) // The response closes with the request, and that stops the request.
}
