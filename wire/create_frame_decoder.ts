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
  /** Largest first frame accepted, in bytes without the header; `maxFrameBytes` by default. */
  maxFirstFrameBytes?: number
}

/** Decodes the frames of a byte stream. */
export interface FrameDecoder {
  /** Adds the next bytes and returns the values of the frames that they complete. After an error, the stream cannot be decoded further. */
  push (chunk: Uint8Array): Result<unknown[], WireError>
  /** Number of bytes held for an incomplete frame. */
  readonly bufferedBytes: number
}

/**
 * Creates a decoder for one byte stream. It buffers at most one frame and one chunk.
 *
 * @param options the size of the largest frame, in bytes
 * @returns the decoder; its `push` returns the error `frame_too_large` or `bad_frame`
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
  const laterMaxFrameBytes = options.maxFrameBytes ?? defaultMaxFrameBytes
  let maxFrameBytes = options.maxFirstFrameBytes ?? laterMaxFrameBytes
  let chunks: Uint8Array[] = []
  let bufferedBytes = 0
  let requiredBytes = frameHeaderBytes

  function joinChunks (): Buffer {
    const [first] = chunks
    const joined = chunks.length === 1 && first ? first : Buffer.concat(chunks, bufferedBytes)
    return Buffer.from(joined.buffer, joined.byteOffset, joined.length)
  }

  function keepRemainder (rest: Uint8Array): void {
    chunks = rest.length > 0 ? [rest] : []
    bufferedBytes = rest.length
  }

  function push (chunk: Uint8Array): Result<unknown[], WireError> {
    chunks.push(chunk)
    bufferedBytes += chunk.length
    // Chunks are joined only when a frame is complete, so that a large frame is copied only once.
    if (bufferedBytes < requiredBytes) return Ok([])
    const bytes = joinChunks()
    const values: unknown[] = []
    let offset = 0
    requiredBytes = frameHeaderBytes
    while (bytes.length - offset >= frameHeaderBytes) {
      const size = bytes.readUInt32BE(offset)
      if (size > maxFrameBytes) return Err(frameTooLargeError(size, maxFrameBytes))
      requiredBytes = frameHeaderBytes + size
      if (bytes.length - offset < requiredBytes) break
      const value = decodeBody(bytes.subarray(offset + frameHeaderBytes, offset + requiredBytes))
      if (value.err) return value
      values.push(value.val)
      maxFrameBytes = laterMaxFrameBytes
      offset += requiredBytes
      requiredBytes = frameHeaderBytes
    }
    keepRemainder(bytes.subarray(offset))
    return Ok(values)
  }

  return {
    push,
    get bufferedBytes () { return bufferedBytes }
  }
}

function decodeBody (body: Uint8Array): Result<unknown, WireError> {
  if (!isSafeCbor(body)) return Err(badFrameError(body, 'it is not one untagged CBOR item of definite length and limited nesting'))
  try {
    return Ok(decodeCbor(body))
  } catch (err) {
    return Err(badFrameError(body, err instanceof Error ? err.message : String(err)))
  }
}

function badFrameError (body: Uint8Array, why: string): WireError {
  return { kind: WireErrorKind.BadFrame, message: `frame of ${body.length} bytes cannot be decoded: ${why}` }
}

function frameTooLargeError (size: number, maxFrameBytes: number): WireError {
  return { kind: WireErrorKind.FrameTooLarge, message: `frame of ${size} bytes exceeds the limit of ${maxFrameBytes} bytes` }
}
