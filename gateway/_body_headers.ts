/**
 * Headers that describe the bytes of one worker's body.
 */

const lengthHeader = 'content-length'
/** A body that two workers have written has none of these. */
const bodyHeaders: ReadonlySet<string> = new Set([
  lengthHeader, 'content-range', 'accept-ranges', 'content-md5', 'digest', 'content-digest', 'repr-digest', 'etag'
])

/** Returns headers without those that describe the bytes of the body; names and values alternate. */
export function omitBodyHeaders (headers: readonly string[]): string[] {
  return headers.filter((_, i) => !bodyHeaders.has((headers[i - i % 2] as string).toLowerCase()))
}

/** Tells whether headers state the length of the body; names and values alternate. */
export function statesLength (headers: readonly string[]): boolean {
  return headers.some((name, i) => i % 2 === 0 && name.toLowerCase() === lengthHeader)
}
