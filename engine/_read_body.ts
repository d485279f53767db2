/**
 * Reads the bodies of answers.
 */
import { Err, Ok } from '../core/results/mod.ts'
import type { Result } from '../core/results/mod.ts'
import { EngineErrorKind } from './_types.ts'
import type { EngineError } from './_types.ts'

/** Reads a body whole; one that is longer than `maxBytes` ends as broken, and its connection is closed. `what` names the call. */
export async function readBody (what: string, body: AsyncIterable<Buffer>, maxBytes: number): Promise<Result<Buffer, EngineError>> {
  const chunks: Buffer[] = []
  let bytes = 0
  for await (const chunk of body) {
    bytes += chunk.length
    if (bytes > maxBytes) return Err({ kind: EngineErrorKind.Broken, sent: true, message: `${what} was answered with more than ${maxBytes} bytes` })
    chunks.push(chunk)
  }
  return Ok(Buffer.concat(chunks))
}
