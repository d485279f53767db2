/**
 * Headers that describe the bytes of one worker's body.
 */

/** Ways in which a response shows where its body ends. */
export enum Framing {
  Length = 'length',
  Chunks = 'chunks',
  /** For lack of a length, the body ends with the connection. */
  Connection = 'connection',
  /** The response has no body. */
  None = 'none'
}

const lengthHeader = 'content-length'
const transferHeader = 'transfer-encoding'
/** A body that two workers have written has none of these. */
const bodyHeaders: ReadonlySet<string> = new Set([
  lengthHeader, 'content-range', 'accept-ranges', 'content-md5', 'digest', 'content-digest', 'repr-digest', 'etag'
])

/** Returns headers without those that describe the bytes of the body; names and values alternate. */
export function omitBodyHeaders (headers: readonly string[]): string[] {
  return headers.filter((_, i) => !bodyHeaders.has((headers[i - i % 2] as string).toLowerCase()))
}

/** Returns how a response shows the end of its body; `raw` are all of its headers, names and values alternating. */
export function findFraming (raw: readonly string[], isCloseDelimited: boolean): Framing {
  if (isCloseDelimited) return Framing.Connection
  if (raw.some((name, i) => i % 2 === 0 && name.toLowerCase() === transferHeader)) return Framing.Chunks
  return statesLength(raw) ? Framing.Length : Framing.None
}

/** Returns the length in bytes that headers state of the body; undefined when they state none. Names and values alternate. */
export function findLength (headers: readonly string[]): number | undefined {
  const at = headers.findIndex((name, i) => i % 2 === 0 && name.toLowerCase() === lengthHeader)
  return at < 0 ? undefined : Number(headers[at + 1])
}

/** Tells whether headers state the length of the body; names and values alternate. */
export function statesLength (headers: readonly string[]): boolean {
  return findLength(headers) !== undefined
}
