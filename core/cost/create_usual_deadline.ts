/**
 * The deadline that first requests of a kind usually have.
 */

/** Knows the usual deadlines. */
export interface UsualDeadline {
  /** Records the deadline in milliseconds that a client stated. */
  record (kind: string, deadlineMs: number): void
  /** Returns the time in milliseconds that a client has used up before this request: its deadline is so much shorter than usual; 0 for a first request. */
  usedMs (kind: string, deadlineMs: number): number
}

/** Number of the newest deadlines of a kind, their rank that counts as usual, and the number of kinds. */
const maxValues = 32
const usualRank = 0.75
const maxKinds = 512
/** A deadline below this share of the usual one is that of a client that has sent the request before; those of first requests differ by a tenth. */
const returningShare = 0.85

/**
 * Creates an empty record. Three quarters of the newest deadlines bound what is usual, so that neither many who come back nor a few who
 * state a long time change it.
 *
 * @returns the record
 *
 * @example
 * ```ts
 * import { createUsualDeadline } from 'briarloom/core/cost'
 *
 * const deadlines = createUsualDeadline()
 * for (let i = 0; i < 8; i++) deadlines.record('stamp', 4000)
 * console.assert(deadlines.usedMs('stamp', 2500) === 1500 && deadlines.usedMs('stamp', 4000) === 0)
 * ```
 */
export function createUsualDeadline (): UsualDeadline {
  const kinds = new Map<string, { values: number[], usualMs: number }>()
  return {
    record (kind, deadlineMs) {
      const known = kinds.get(kind) ?? { values: [], usualMs: deadlineMs }
      kinds.delete(kind)
      kinds.set(kind, known)
      if (kinds.size > maxKinds) kinds.delete(kinds.keys().next().value as string)
      known.values.push(deadlineMs)
      if (known.values.length > maxValues) known.values.shift()
      const sorted = [...known.values].sort((a, b) => a - b)
      known.usualMs = sorted[Math.floor(usualRank * (sorted.length - 1))] ?? deadlineMs
    },
    usedMs (kind, deadlineMs) {
      const usualMs = kinds.get(kind)?.usualMs ?? 0
      return deadlineMs < returningShare * usualMs ? usualMs - deadlineMs : 0
    }
  }
}
