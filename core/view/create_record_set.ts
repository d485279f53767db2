/**
 * The records of the store that a process knows.
 */
import { comparePositions } from './compare_positions.ts'
import type { StoreChange, StorePosition } from './compare_positions.ts'

/** Changes by whether they had an effect. */
export interface AppliedChanges {
  /** Changes that are later than what was known. */
  later: StoreChange[]
  /** Changes that had no effect although they differ from what is known. */
  passedOver: StoreChange[]
}

/** Configures the application of a complete read. */
export interface ApplyAllOptions {
  /** Keys of items that the read found and could not use: what is known of them stays. */
  unusableKeys?: readonly string[]
}

/** Holds the latest change of each key, by era and revision. */
export interface RecordSet {
  /** Returns the latest change of a key, which may be its deletion. */
  get (key: string): StoreChange | undefined
  /** Returns the latest changes of all keys, with deletions. */
  all (): StoreChange[]
  /** Returns the latest position of any change; it never goes back. */
  position (): Required<StorePosition>
  /** Takes changes that are later than the known ones of their keys. */
  apply (changes: readonly StoreChange[]): AppliedChanges
  /** Takes all items with a prefix, as a complete read up to a position found them; known ones that it did not find are deleted. */
  applyAll (prefix: string, items: readonly StoreChange[], position: StorePosition, options?: ApplyAllOptions): AppliedChanges
  /** Returns the latest changes of the keys with a prefix that are not deleted. */
  listItems (prefix: string): StoreChange[]
  /** Returns the changes with a prefix after a position, with deletions; all of a later era are after all of an earlier one. */
  listAfter (prefix: string, after: StorePosition): StoreChange[]
}

/**
 * Creates an empty record set.
 *
 * A store that comes back from an older copy gives out revisions again, so the order of records is their era and then their revision.
 * A deletion in one era says nothing about a record of a later one, and a record of an earlier era nothing about what was deleted since.
 *
 * @returns the record set
 *
 * @example
 * ```ts
 * import { createRecordSet } from 'briarloom/core/view'
 *
 * const records = createRecordSet()
 * records.apply([{ key: 'a', revision: 20, value: 'old' }, { key: 'a', era: 1, revision: 12, value: 'new' }])
 * console.assert(records.get('a')?.value === 'new')
 * ```
 */
export function createRecordSet (): RecordSet {
  const known = new Map<string, StoreChange>()

  function apply (changes: readonly StoreChange[]): AppliedChanges {
    const applied: AppliedChanges = { later: [], passedOver: [] }
    for (const change of changes) {
      const current = known.get(change.key)
      if (current === undefined || comparePositions(current, change) < 0) {
        known.set(change.key, change)
        applied.later.push(change)
      } else if (current.value !== change.value) applied.passedOver.push(change)
    }
    return applied
  }

  return {
    get: (key) => known.get(key),
    all: () => [...known.values()],
    position () {
      let latest: StorePosition = { revision: 0 }
      for (const change of known.values()) if (comparePositions(latest, change) < 0) latest = change
      return { era: latest.era ?? 0, revision: latest.revision }
    },
    apply,
    applyAll (prefix, items, position, { unusableKeys = [] } = {}) {
      const present = new Set([...items.map(({ key }) => key), ...unusableKeys])
      const isMissing = (change: StoreChange): boolean =>
        change.key.startsWith(prefix) && change.value !== null && !present.has(change.key) && comparePositions(change, position) < 0
      const deletions = [...known.values()].filter(isMissing).map(({ key }) => ({ key, ...position, value: null }))
      return apply([...deletions, ...items])
    },
    listItems: (prefix) => [...known.values()].filter(({ key, value }) => key.startsWith(prefix) && value !== null),
    listAfter: (prefix, after) => [...known.values()].filter((change) => change.key.startsWith(prefix) && comparePositions(change, after) > 0)
  }
}
