/**
 * The framing of a response without a length.
 */

/** Tells whether a response body ends with the connection, for lack of a length and of a transfer encoding. */
export function hasCloseDelimitedBody (status: number, headers: readonly string[], method: string): boolean {
  if (method === 'HEAD' || status === 204 || status === 304) return false
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const name = (headers[i] as string).toLowerCase()
    if (name === 'content-length' || name === 'transfer-encoding') return false
  }
  return true
}
