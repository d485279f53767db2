/**
 * Ring buffer of the latest decisions, so that a process can explain a recent request.
 */
import type { Decision } from './_decision.ts'

/** Configures a decision ring. */
export interface DecisionRingOptions {
  /** Number of decisions that the ring keeps. */
  size: number
}

/** Keeps the latest decisions. */
export interface DecisionRing {
  /** Adds a decision; when the ring is full, it overwrites the oldest. */
  add (decision: Decision): void
  /** Returns the decisions in the ring about a request, oldest first. */
  find (requestId: string): Decision[]
}

/**
 * Creates a ring buffer of decisions.
 *
 * @param options the number of decisions to keep
 * @returns the ring
 *
 * @example
 * ```ts
 * import { DecisionKind, createDecisionRing } from 'briarloom/log'
 *
 * const ring = createDecisionRing({ size: 100 })
 * ring.add({ kind: DecisionKind.Refusal, request: 'r1', runnersUp: [], revision: 3, reason: 'no_capacity' })
 * console.assert(ring.find('r1').length === 1)
 * ```
 */
export function createDecisionRing (options: DecisionRingOptions): DecisionRing {
  const { size } = options
  const ring: Decision[] = []
  let nextIndex = 0

  return {
    add (decision) {
      ring[nextIndex] = decision
      nextIndex = (nextIndex + 1) % size
    },
    find (requestId) {
      const oldestFirst = [...ring.slice(nextIndex), ...ring.slice(0, nextIndex)]
      return oldestFirst.filter((decision) => decision.request === requestId)
    }
  }
}
