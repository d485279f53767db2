/**
 * Identity of one attempt of a request.
 */

/** Identity of one attempt of a request. */
export interface AttemptRef {
  /** Identifier of the request, unique across all entries. */
  requestId: string
  /** Number of the attempt, counted from 1. */
  attempt: number
}

/**
 * Returns the key of an attempt for maps and sets.
 *
 * @param ref the attempt
 * @returns the key, which is unique for the pair of request and attempt
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
