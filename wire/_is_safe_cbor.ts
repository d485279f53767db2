/**
 * Checks the structure of a CBOR item before it is decoded. The decoder needs quadratic time for big integers, which are
 * tagged, and recurses as deep as the items of a frame nest, so a hostile frame could block the process or overflow the stack.
 */

/** Deepest nesting of arrays and maps that is accepted. */
const maxDepth = 16

/** Major types of CBOR (RFC 8949, section 3.1). */
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

/** Lengths in bytes of the argument when the additional information is 24 to 27. */
const argumentBytes = [1, 2, 4, 8]

/**
 * Returns whether a buffer holds exactly one CBOR item of definite length, without tags and nested at most 16 deep.
 *
 * @param bytes the bytes
 * @returns true when the item can be decoded in time and memory proportional to its length
 *
 * @example
 * ```ts
 * console.assert(isSafeCbor(Uint8Array.of(0x80)))
 * ```
 */
export function isSafeCbor (bytes: Uint8Array): boolean {
  return skipItem(bytes, 0, 0) === bytes.length
}

/** Returns the offset after the item at `start`, or -1 when the item is truncated, nested too deep or not allowed. */
function skipItem (bytes: Uint8Array, start: number, depth: number): number {
  if (start >= bytes.length || depth > maxDepth) return -1
  const initialByte = bytes[start] as number
  const major = initialByte >> 5
  const additionalInfo = initialByte & 31
  if (additionalInfo > 27 || major === Major.Tag) return -1
  const end = start + 1 + (additionalInfo < 24 ? 0 : argumentBytes[additionalInfo - 24] as number)
  if (end > bytes.length) return -1
  if (major === Major.Uint || major === Major.Int || major === Major.Simple) return end
  const size = additionalInfo < 24 ? additionalInfo : readSize(bytes, start + 1, end)
  if (size > bytes.length - end) return -1
  if (major === Major.Bytes || major === Major.Text) return end + size
  return skipItems(bytes, end, major === Major.Map ? size * 2 : size, depth + 1)
}

/** Returns the offset after `count` items, or -1 when one of them is invalid. */
function skipItems (bytes: Uint8Array, start: number, count: number, depth: number): number {
  let offset = start
  for (let i = 0; i < count && offset >= 0; i++) offset = skipItem(bytes, offset, depth)
  return offset
}

/** Reads a big-endian unsigned integer. */
function readSize (bytes: Uint8Array, start: number, end: number): number {
  let size = 0
  for (let i = start; i < end; i++) size = size * 256 + (bytes[i] as number)
  return size
}
