/**
 * Shares of the memory and of the descriptors of a process.
 */

/** What a process may take. */
export interface ProcessLimits {
  /** Memory in bytes; 128 MiB by default. */
  memoryBytes?: number
  /** Number of descriptors that may be open, with 200 that are kept for files; unlimited by default. */
  maxDescriptors?: number
}

/** Bounds on what the callers of a process take. */
export interface ProcessBounds {
  /** Largest number of bytes that requests and responses may hold together. */
  heldBytes: number
  /** Memory of the process in bytes from which on it reads slowly. */
  slowFromBytes: number
  /** Largest number of connections of clients; undefined when it is not bounded, like the others below. */
  clients: number | undefined
  /** Largest number of connections of other processes, at each address for them. */
  peers: number | undefined
  /** Largest number of connections at each address for checks and metrics. */
  checks: number | undefined
}

const bytesPerMebibyte = 1_048_576
const defaultMemoryBytes = 128 * bytesPerMebibyte
/** Least share of the memory that may be held. */
const minHeldShare = 1 / 8
/** Memory in bytes that a process takes without what it holds, and the share of the rest that may be held; the other half is for garbage. */
const ownBytes = 112 * bytesPerMebibyte
const heldShare = 1 / 2
const slowFromShare = 2 / 3
/** Number of descriptors kept for files. */
const fileDescriptors = 200
/** Shares of the descriptors; what is left is for connections that the process opens itself. */
const clientShare = 1 / 2
const peerShare = 1 / 8
const checkShare = 1 / 16

/**
 * Divides what a process may take.
 *
 * @param limits memory in bytes and number of descriptors
 * @returns the bounds
 *
 * @example
 * ```ts
 * import { divideProcess } from 'briarloom/core/bounds'
 *
 * console.assert(divideProcess({ memoryBytes: 200 * 1_048_576, maxDescriptors: 4_100 }).clients === 1_950)
 * ```
 */
export function divideProcess ({ memoryBytes = defaultMemoryBytes, maxDescriptors }: ProcessLimits): ProcessBounds {
  const maxSockets = maxDescriptors && Math.max(1, maxDescriptors - fileDescriptors)
  const take = (share: number): number | undefined => maxSockets === undefined ? undefined : Math.ceil(share * maxSockets)
  return {
    heldBytes: Math.max(minHeldShare * memoryBytes, heldShare * (memoryBytes - ownBytes)),
    slowFromBytes: slowFromShare * memoryBytes,
    clients: take(clientShare),
    peers: take(peerShare),
    checks: take(checkShare)
  }
}
