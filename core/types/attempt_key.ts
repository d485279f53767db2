/**
 * The identity of one attempt at one request.
 */

/** Identifies one attempt at one request. */
export interface AttemptRef {
  /** Identifier of the request, unique across all entries. */
  requestId: string
  /** Number of the attempt, counted from 1. */
  attempt: number
}

/**
 * Builds the key under which tables hold an attempt.
 *
 * @param ref the attempt
 * @returns a key that is unique for the pair of request and attempt
 *
 * @example
 * ```ts
 * import { attemptKey } from 'briarloom/core/types'
 *
 * console.assert(attemptKey({ requestId: 'r1', attempt: 2 }) === 'r1/2')
 * ```
 */
export function attemptKey (ref: AttemptRef): string {
  return `${ref.requestId}/${ref.attempt}`
}
