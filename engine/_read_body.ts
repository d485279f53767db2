/**
 * Reads the bodies of answers.
 */

/** Reads a body whole; throws when it is longer than `maxBytes`, and closes its connection then. */
export async function readBody (body: AsyncIterable<Buffer>, maxBytes: number): Promise<Buffer> {
  const chunks: Buffer[] = []
  let bytes = 0
  for await (const chunk of body) {
    bytes += chunk.length
    if (bytes > maxBytes) throw new Error(`the answer is longer than ${maxBytes} bytes`)
    chunks.push(chunk)
  }
  return Buffer.concat(chunks)
}
