/**
 * A buffer to which bytes are added in pieces.
 */

/** Collects bytes in one piece of memory. */
export interface ByteBuffer {
  /** Adds a copy of a chunk. */
  append (chunk: Buffer): void
  /** Returns the number of bytes that have been added and not taken. */
  length (): number
  /** Returns all bytes and leaves the buffer empty. */
  take (): Buffer
}

const minCapacityBytes = 1_024

/**
 * Creates an empty buffer. Adding n bytes in pieces of any size copies at most a few times n bytes, and keeps nothing of the pieces
 * themselves, which may be small parts of large ones.
 *
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
export function createByteBuffer (): ByteBuffer {
  let memory: Buffer = Buffer.alloc(0)
  let used = 0

  return {
    append (chunk) {
      const needed = used + chunk.length
      if (needed > memory.length) {
        const larger = Buffer.allocUnsafeSlow(Math.max(minCapacityBytes, 2 * memory.length, needed))
        memory.copy(larger, 0, 0, used)
        memory = larger
      }
      chunk.copy(memory, used)
      used = needed
    },
    length: () => used,
    take () {
      const taken = memory.subarray(0, used)
      memory = Buffer.alloc(0)
      used = 0
      return taken
    }
  }
}
