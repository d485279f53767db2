/**
 * Builds the updates by which a process passes its view of the store on, and applies those of other processes.
 */
import type { AppliedChanges, RecordSet, StoreChange, ViewTracker } from '../core/view/mod.ts'
import type { Log } from '../log/mod.ts'
import type { Directory, ViewUpdate } from './_types.ts'

/** Configures the updates. */
export interface ViewUpdatesOptions {
  prefixes: readonly string[]
  tracker: ViewTracker
  records: RecordSet
  log: Log
  now: () => number
  /** Tells whether the last complete read of a prefix found items that cannot be used. */
  hasUnusable: (prefix: string) => boolean
  /** Returns the record of the rules in force. */
  rulesRecord: () => StoreChange | undefined
  failureAgeMs: () => number | undefined
  /** Called with the age in milliseconds of the sender's last failed call, before its changes take effect. */
  onSenderFailure: (ageMs: number) => void
  onNewEra: (era: number) => void
  blankUnreadable: (changes: readonly StoreChange[]) => StoreChange[]
  takeEffect: (applied: AppliedChanges) => void
}

/** Passes updates on and applies them; `apply` returns whether they have begun a new era, and undefined when they have no effect. */
export interface ViewUpdates {
  changesAfter: Directory['changesAfter']
  apply (after: readonly number[], update: ViewUpdate): boolean | undefined
}

/** Creates the updates of one process. */
export function createViewUpdates (options: ViewUpdatesOptions): ViewUpdates {
  const { prefixes, tracker, records, log, now } = options

  return {
    changesAfter (after, afterEra) {
      const state = tracker.state(now())
      if (state === undefined) return undefined
      const { era = 0 } = state
      // A process that has read nothing reads the store itself; part of a later era would pass for all of it.
      if (afterEra < era && after.length < prefixes.length) return undefined
      const complete = prefixes.map((_prefix, index) => afterEra === era && after[index] !== undefined && !tracker.knowsAllAfter(index, after[index] as number))
      // Items that could not be used would be missing from the list, and count as deleted.
      if (prefixes.some((prefix, index) => complete[index] && options.hasUnusable(prefix))) return undefined
      const ageMs = options.failureAgeMs()
      const changes = prefixes.flatMap((prefix, index) => {
        const revision = after[index]
        if (revision === undefined) return []
        return complete[index] ? records.listItems(prefix) : records.listAfter(prefix, { era: afterEra, revision })
      })
      // A restored store may hold an older version than the one in force, which the other process may lack.
      const rulesRecord = options.rulesRecord()
      if (afterEra < era && rulesRecord !== undefined && !changes.includes(rulesRecord)) changes.push(rulesRecord)
      return { state, afterEra, complete, ...(ageMs === undefined ? {} : { failureAgeMs: ageMs }), changes }
    },
    apply (after, { state, afterEra = 0, complete, failureAgeMs, changes: told }) {
      if (!tracker.canAdd(after, afterEra, state, complete)) return undefined
      const { era = 0, revisions } = state
      const isNewEra = era > tracker.era()
      // A sender that does not say how far back its knowledge reaches may lack a deletion after the known revision.
      if (!isNewEra && complete === undefined) return undefined
      const changes = options.blankUnreadable(told)
      if (isNewEra) options.onNewEra(era)
      if (failureAgeMs !== undefined) options.onSenderFailure(failureAgeMs)
      prefixes.forEach((prefix, index) => {
        const items = changes.filter(({ key }) => key.startsWith(prefix))
        const isComplete = isNewEra || complete?.[index] === true
        if (isComplete) log.info({ prefix, after: after[index], revision: revisions[index], items: items.length }, 'all items learned from a store reader')
        options.takeEffect(isComplete ? records.applyAll(prefix, items, { era, revision: revisions[index] as number }) : records.apply(items))
      })
      tracker.recordChanges(state, now(), complete)
      return isNewEra
    }
  }
}
