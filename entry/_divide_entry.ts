/**
 * What the callers of an entry may take of its memory and descriptors.
 */
import { getHeapStatistics } from 'node:v8'
import { createByteBudget } from '../core/stream/mod.ts'
import type { ByteBudget } from '../core/stream/mod.ts'

/** Bounds on the callers of an entry. */
export interface EntryBounds {
  /** Largest number of open connections. */
  maxConnections: number
  /** Bounds the bytes of the bodies that are read or held. */
  budget: ByteBudget
  /** Memory of the process in bytes from which on long bodies are read slowly. */
  slowFromBytes: number
}

/** Connections for each request that may be in flight, so that idle ones have room. */
const connectionsPerRequest = 2
/** Share of the limit on the heap that bodies may hold, outside of it. */
const bodyShare = 1 / 4
/** Memory in bytes that the process takes without bodies. */
const ownBytes = 128 * 1_048_576

/** Divides an entry that serves at most `maxRequests` at once; settings name no memory, so the limit on the heap stands for it. */
export function divideEntry (maxRequests: number): EntryBounds {
  const maxBytes = bodyShare * getHeapStatistics().heap_size_limit
  return { maxConnections: connectionsPerRequest * maxRequests, budget: createByteBudget({ maxBytes }), slowFromBytes: ownBytes + maxBytes }
}
