/**
 * Walks the structure of a CBOR item before it is decoded. The decoder takes time that grows with the square of the
 * length for big integers, which are tagged, and recurses as deep as the frame tells it to.
 */

/** Deepest nesting of arrays and maps in a message. */
const maxDepth = 16

enum Major {
  Uint = 0,
  Int = 1,
  Bytes = 2,
  Text = 3,
  Array = 4,
  Map = 5,
  Tag = 6,
  Simple = 7
}

/** Lengths in bytes of the argument for the additional information 24 to 27. */
const argumentBytes = [1, 2, 4, 8]

/**
 * Checks that a buffer holds exactly one definite-length CBOR item without tags.
 *
 * @param bytes the bytes
 * @returns true when the item can be decoded in time and memory proportional to its length
 *
 * @example
 * ```ts
 * console.assert(checkCbor(Uint8Array.of(0x80)))
 * ```
 */
export function isSafeCbor (bytes: Uint8Array): boolean {
  return skipItem(bytes, 0, 0) === bytes.length
}

/** Returns the offset after the item at `start`, or -1. */
function skipItem (bytes: Uint8Array, start: number, depth: number): number {
  if (start >= bytes.length || depth > maxDepth) return -1
  const head = bytes[start] as number
  const major = head >> 5
  const info = head & 31
  if (info > 27 || major === Major.Tag) return -1
  const end = start + 1 + (info < 24 ? 0 : argumentBytes[info - 24] as number)
  if (end > bytes.length) return -1
  if (major === Major.Uint || major === Major.Int || major === Major.Simple) return end
  const size = info < 24 ? info : readSize(bytes, start + 1, end)
  if (size > bytes.length - end) return -1
  if (major === Major.Bytes || major === Major.Text) return end + size
  return skipItems(bytes, end, major === Major.Map ? size * 2 : size, depth + 1)
}

function skipItems (bytes: Uint8Array, start: number, count: number, depth: number): number {
  let offset = start
  for (let i = 0; i < count && offset >= 0; i++) offset = skipItem(bytes, offset, depth)
  return offset
}

function readSize (bytes: Uint8Array, start: number, end: number): number {
  let size = 0
  for (let i = start; i < end; i++) size = size * 256 + (bytes[i] as number)
  return size
}
