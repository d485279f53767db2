/**
 * Splits a byte stream into frames and decodes them.
 */
import { Err, Ok } from '../core/results/mod.ts'
import type { Result } from '../core/results/mod.ts'
import { isSafeCbor } from './_is_safe_cbor.ts'
import { decodeCbor } from './_codec.ts'
import { defaultMaxFrameBytes } from './_limits.ts'
import { frameHeaderBytes } from './encode_frame.ts'
import { WireErrorKind } from './wire_error.ts'
import type { WireError } from './wire_error.ts'

/** Configures a frame decoder. */
export interface FrameDecoderOptions {
  /** Largest frame accepted, in bytes without the header; 4 MiB by default. */
  maxFrameBytes?: number
}

/** Decodes a byte stream. */
export interface FrameDecoder {
  /** Takes the next bytes and returns the values of the frames that they complete; after an error, the stream is unusable. */
  push (chunk: Uint8Array): Result<unknown[], WireError>
  /** Number of bytes held for a frame that is not complete. */
  readonly bufferedBytes: number
}

/**
 * Creates a decoder for one byte stream. It holds at most one frame and one chunk.
 *
 * @param options the largest frame, in bytes
 * @returns the decoder; its `push` answers `frame_too_large` or `bad_frame` as an error value
 *
 * @example
 * ```ts
 * import { MessageKind, createFrameDecoder, encodeFrame } from 'briarloom/wire'
 *
 * const decoder = createFrameDecoder()
 * const values = decoder.push(encodeFrame({ kind: MessageKind.Status })).unwrap()
 * console.assert(values.length === 1)
 * ```
 */
export function createFrameDecoder (options: FrameDecoderOptions = {}): FrameDecoder {
  const maxFrameBytes = options.maxFrameBytes ?? defaultMaxFrameBytes
  let chunks: Uint8Array[] = []
  let bufferedBytes = 0
  let wantedBytes = frameHeaderBytes

  function join (): Buffer {
    const [first] = chunks
    const joined = chunks.length === 1 && first ? first : Buffer.concat(chunks, bufferedBytes)
    return Buffer.from(joined.buffer, joined.byteOffset, joined.length)
  }

  function keep (rest: Uint8Array): void {
    chunks = rest.length > 0 ? [rest] : []
    bufferedBytes = rest.length
  }

  function push (chunk: Uint8Array): Result<unknown[], WireError> {
    chunks.push(chunk)
    bufferedBytes += chunk.length
    // Chunks are joined only when a frame is complete, so that a long frame is copied once.
    if (bufferedBytes < wantedBytes) return Ok([])
    const bytes = join()
    const values: unknown[] = []
    let offset = 0
    wantedBytes = frameHeaderBytes
    while (bytes.length - offset >= frameHeaderBytes) {
      const size = bytes.readUInt32BE(offset)
      if (size > maxFrameBytes) return Err(tooLarge(size, maxFrameBytes))
      wantedBytes = frameHeaderBytes + size
      if (bytes.length - offset < wantedBytes) break
      const value = decodeBody(bytes.subarray(offset + frameHeaderBytes, offset + wantedBytes))
      if (value.err) return value
      values.push(value.val)
      offset += wantedBytes
      wantedBytes = frameHeaderBytes
    }
    keep(bytes.subarray(offset))
    return Ok(values)
  }

  return {
    push,
    get bufferedBytes () { return bufferedBytes }
  }
}

function decodeBody (body: Uint8Array): Result<unknown, WireError> {
  if (!isSafeCbor(body)) return Err(badFrame(body, 'its structure is not allowed'))
  try {
    return Ok(decodeCbor(body))
  } catch (err) {
    return Err(badFrame(body, err instanceof Error ? err.message : String(err)))
  }
}

function badFrame (body: Uint8Array, why: string): WireError {
  return { kind: WireErrorKind.BadFrame, message: `frame of ${body.length} bytes cannot be decoded: ${why}` }
}

function tooLarge (size: number, maxFrameBytes: number): WireError {
  return { kind: WireErrorKind.FrameTooLarge, message: `frame of ${size} bytes exceeds the limit of ${maxFrameBytes} bytes` }
}
