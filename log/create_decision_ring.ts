/**
 * Remembers the latest decisions, so that a process can explain a recent request.
 */
import type { Decision } from './_decision.ts'

/** Configures a decision ring. */
export interface DecisionRingOptions {
  /** Number of decisions that are remembered. */
  size: number
}

/** Remembers the latest decisions. */
export interface DecisionRing {
  /** Adds a decision; the oldest is dropped when the ring is full. */
  add (decision: Decision): void
  /** Returns the remembered decisions about a request, oldest first. */
  find (requestId: string): Decision[]
}

/**
 * Creates a ring of decisions.
 *
 * @param options the number of decisions to remember
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
  let next = 0

  return {
    add (decision) {
      ring[next] = decision
      next = (next + 1) % size
    },
    find (requestId) {
      const inOrder = [...ring.slice(next), ...ring.slice(0, next)]
      return inOrder.filter((decision) => decision.request === requestId)
    }
  }
}
