/**
 * The CBOR codec of the protocol. Records, tags and shared structures are disabled, so that each frame can be decoded on its own
 * and passes the structure check, which refuses tags.
 */
import { Encoder } from 'cbor-x'

const codec = new Encoder({ useRecords: false, tagUint8Array: false, copyBuffers: true, variableMapSize: true })

/** Encodes a value as CBOR. */
export function encodeCbor (value: unknown): Buffer {
  return codec.encode(value)
}

/** Decodes CBOR; throws when the input is invalid. */
export function decodeCbor (bytes: Uint8Array): unknown {
  return codec.decode(bytes)
}
