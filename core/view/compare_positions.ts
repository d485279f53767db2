/**
 * The order of the records of the store.
 */

/** A point in the history of the store. Revisions count within an era; a new era begins when the store comes back from an older copy. */
export interface StorePosition {
  /** Number of the era, which rises by one each time; absent for the lowest era, 0. */
  era?: number
  revision: number
}

/** An item of the store, or its deletion, at the position at which it changed. */
export interface StoreChange extends StorePosition {
  key: string
  /** The text of the item, or null when it was deleted. */
  value: string | null
}

/**
 * Compares two points in the history of the store: by era, and by revision within an era.
 *
 * @param a a position
 * @param b another position
 * @returns a number below 0 when `a` is earlier, above 0 when it is later, 0 when they are the same
 *
 * @example
 * ```ts
 * import { comparePositions } from 'briarloom/core/view'
 *
 * console.assert(comparePositions({ revision: 20 }, { era: 1, revision: 12 }) < 0)
 * ```
 */
export function comparePositions (a: StorePosition, b: StorePosition): number {
  return (a.era ?? 0) - (b.era ?? 0) || a.revision - b.revision
}
