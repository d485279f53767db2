/**
 * The CBOR codec of the protocol. Records, tags and shared structures stay off: each frame stands for itself, and the
 * structure check refuses tags.
 */
import { Encoder } from 'cbor-x'

const codec = new Encoder({ useRecords: false, tagUint8Array: false, copyBuffers: true, variableMapSize: true })

/** Encodes a value as CBOR. */
export function encodeCbor (value: unknown): Buffer {
  return codec.encode(value)
}

/** Decodes CBOR; throws on invalid input. */
export function decodeCbor (bytes: Uint8Array): unknown {
  return codec.decode(bytes)
}
