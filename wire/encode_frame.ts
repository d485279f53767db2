/**
 * Encodes frames: the length of the body as four bytes, big-endian, then one message in CBOR.
 */
import { encodeCbor } from './_codec.ts'
import type { Message } from './messages.ts'

/** Length in bytes of a frame's header, which holds the length of the body. */
export const frameHeaderBytes = 4

/**
 * Encodes a message as one frame.
 *
 * @param message the message
 * @returns the bytes of the frame, header included
 *
 * @example
 * ```ts
 * import { MessageKind, encodeFrame } from 'briarloom/wire'
 *
 * console.assert(encodeFrame({ kind: MessageKind.Status }).length > 4)
 * ```
 */
export function encodeFrame (message: Message): Buffer {
  const body = encodeCbor(message)
  const frame = Buffer.allocUnsafe(frameHeaderBytes + body.length)
  frame.writeUInt32BE(body.length, 0)
  frame.set(body, frameHeaderBytes)
  return frame
}
