/**
 * A buffer to which bytes are added in pieces.
 */

import { pieceBytes } from './create_piece_pool.ts'
import type { PiecePool } from './create_piece_pool.ts'

/** Collects bytes in a few pieces of memory. */
export interface ByteBuffer {
  /** Adds a copy of a chunk. */
  append (chunk: Buffer): void
  /** Returns the number of bytes that have been added and not taken. */
  length (): number
  /** Returns the number of bytes of memory that the buffer holds. */
  capacity (): number
  /** Returns all bytes and leaves the buffer empty. */
  take (): Buffer
  /** Forgets all bytes and gives the memory back. */
  clear (): void
}

/** Configures a buffer. */
export interface ByteBufferOptions {
  /** Lends the pieces of long contents; each is allocated by default. */
  pieces?: PiecePool
}

const minCapacityBytes = 1_024

/**
 * Creates an empty buffer. Adding n bytes in pieces of any size copies at most a few times n bytes, holds at most 64 KiB more than n bytes,
 * and keeps nothing of the pieces themselves, which may be small parts of large ones.
 *
 * @param options where the memory comes from
 * @returns the buffer
 *
 * @example
 * ```ts
 * import { createByteBuffer } from 'briarloom/core/stream'
 *
 * const bytes = createByteBuffer()
 * bytes.append(Buffer.from('ab'))
 * bytes.append(Buffer.from('c'))
 * console.assert(bytes.take().toString() === 'abc' && bytes.length() === 0)
 * ```
 */
export function createByteBuffer ({ pieces }: ByteBufferOptions = {}): ByteBuffer {
  let full: Buffer[] = []
  let fullBytes = 0
  let memory: Buffer = Buffer.alloc(0)
  let used = 0

  function takePiece (): Buffer { return pieces?.take() ?? Buffer.allocUnsafeSlow(pieceBytes) }

  /** Makes room in `memory` for some of the next bytes, of which there are `bytes`. */
  function makeRoom (bytes: number): void {
    if (used === pieceBytes) {
      full.push(memory)
      fullBytes += used
      used = 0
      memory = takePiece()
      return
    }
    if (used + bytes <= memory.length || memory.length === pieceBytes) return
    const capacity = Math.min(pieceBytes, Math.max(minCapacityBytes, 2 * memory.length, used + bytes))
    const larger = capacity === pieceBytes ? takePiece() : Buffer.allocUnsafeSlow(capacity)
    memory.copy(larger, 0, 0, used)
    memory = larger
  }

  function clear (): void {
    for (const piece of [...full, memory]) if (piece.length === pieceBytes) pieces?.give(piece)
    full = []
    fullBytes = 0
    memory = Buffer.alloc(0)
    used = 0
  }

  return {
    append (chunk) {
      let from = 0
      while (from < chunk.length) {
        makeRoom(chunk.length - from)
        const copied = chunk.copy(memory, used, from)
        used += copied
        from += copied
      }
    },
    length: () => fullBytes + used,
    capacity: () => fullBytes + memory.length,
    take () {
      const last = memory.subarray(0, used)
      // What is returned must not lie in a piece that is lent again.
      const isLent = pieces !== undefined && memory.length === pieceBytes
      const taken = full.length === 0 && !isLent ? last : Buffer.concat([...full, last], fullBytes + used)
      clear()
      return taken
    },
    clear
  }
}
