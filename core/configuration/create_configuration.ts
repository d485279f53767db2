/**
 * A store of configuration records in which no record returns to a lower revision.
 */
import type { ConfigChange } from '../../source/mod.ts'
import { decodeRecord } from '../records/mod.ts'
import type { ConfigRecord, RecordError, RecordKind, RecordOf } from '../records/mod.ts'
import type {
  ApplyResult, Configuration, ConfigurationEvent, ConfigurationPage, ConfigurationProblem, RejectedChange
} from './_types.ts'

/** Options of a store of configuration records. */
export interface ConfigurationOptions {
  /** Maximum number of deleted records that the store remembers for peers with a lower revision; 4096 by default. */
  maxTombstones?: number
}

const defaultMaxTombstones = 4096

/** State of one key. */
interface Entry {
  /** Revision up to which the key had no record when the entry was created. */
  absentUpTo: number
  /** The change in force: the newest one that can be decoded, or a deletion. */
  inForce?: ConfigChange
  /** The newest change, when it cannot be decoded. */
  unusable?: ConfigChange & { error: RecordError }
}

/**
 * Creates a store of configuration records in which no record returns to a lower revision.
 *
 * The newest change of each record that can be decoded is in force. A newer one that cannot be decoded is kept for peers that
 * may be able to decode it. Pages may come from any source in any order; a page that is older than the contents of the store
 * has no effect.
 *
 * @param options the limit on remembered deletions
 * @returns the empty store, at revision 0
 *
 * @example
 * ```ts
 * import { createConfiguration } from 'briarloom/core/configuration'
 * import { RecordKind } from 'briarloom/core/records'
 *
 * const configuration = createConfiguration()
 * const value = '{"schema":1,"calls":[],"timeoutMs":5000}'
 * configuration.apply({ revision: 1, complete: true, changes: [{ key: 'service/registre', revision: 1, value }] })
 * console.assert(configuration.get(RecordKind.Service, 'registre')?.timeoutMs === 5000)
 * ```
 */
export function createConfiguration (options: ConfigurationOptions = {}): Configuration {
  const maxTombstones = options.maxTombstones ?? defaultMaxTombstones
  const entries = new Map<string, Entry>()
  const records = new Map<string, Map<string, ConfigRecord>>()
  const listeners = new Set<(event: ConfigurationEvent) => void>()
  let tombstoneCount = 0
  let contiguousRevision = 0
  let highestSeen = 0
  // Peers below this revision get a complete page, because some deletions above it are no longer remembered.
  let completePageBelow = 0

  function setInForce (change: ConfigChange, record: ConfigRecord | undefined, result: ApplyResult): void {
    const entry = getOrCreateEntry(change.key)
    tombstoneCount += Number(change.value === null) - Number(entry.inForce?.value === null)
    entry.inForce = change
    if (entry.unusable !== undefined && entry.unusable.revision <= change.revision) delete entry.unusable
    updateIndex(change.key, record)
    result.applied.push(change)
  }

  function updateIndex (key: string, record: ConfigRecord | undefined): void {
    const slash = key.indexOf('/')
    const kind = key.slice(0, slash)
    const name = key.slice(slash + 1)
    const named = records.get(kind) ?? new Map<string, ConfigRecord>()
    records.set(kind, named)
    if (record === undefined) named.delete(name)
    else named.set(name, record)
  }

  function getOrCreateEntry (key: string): Entry {
    const entry = entries.get(key) ?? { absentUpTo: contiguousRevision }
    entries.set(key, entry)
    return entry
  }

  function isStale (change: ConfigChange): boolean {
    const entry = entries.get(change.key)
    if (change.revision <= (entry?.inForce?.revision ?? entry?.absentUpTo ?? 0)) return true
    if (change.revision === entry?.unusable?.revision) return true
    // Up to the contiguous revision, a change that the store lacks was superseded by a later one. The exception is the last
    // usable value before an unusable one, which may still be missing.
    return change.revision <= contiguousRevision && entry?.unusable === undefined
  }

  function applyChange (change: ConfigChange, result: ApplyResult): void {
    const { key, revision, value } = change
    if (isStale(change)) {
      result.rejected.push({ key, revision })
      return
    }
    highestSeen = Math.max(highestSeen, revision)
    if (value === null) {
      setInForce({ key, revision, value }, undefined, result)
      return
    }
    const decoded = decodeRecord(key, value)
    if (decoded.ok) setInForce({ key, revision, value }, decoded.val, result)
    else rejectUnusable(change, decoded.val, result.rejected)
  }

  function rejectUnusable (change: ConfigChange, error: RecordError, rejected: RejectedChange[]): void {
    const { key, revision, value } = change
    const entry = getOrCreateEntry(key)
    if (revision > (entry.unusable?.revision ?? 0)) entry.unusable = { key, revision, value, error }
    rejected.push({ key, revision, error })
  }

  function deleteMissing (page: ConfigurationPage, result: ApplyResult): void {
    const present = new Set(page.changes.map((change) => change.key))
    for (const [key, entry] of entries) {
      if (present.has(key) || !isLive(entry)) continue
      const newest = Math.max(entry.inForce?.revision ?? 0, entry.unusable?.revision ?? 0)
      if (newest <= page.revision) setInForce({ key, revision: page.revision, value: null }, undefined, result)
    }
  }

  function pruneTombstones (): void {
    if (tombstoneCount <= maxTombstones) return
    const prunable = [...entries].filter(([, entry]) => !isLive(entry) && getRevision(entry) <= contiguousRevision)
    prunable.sort(([, a], [, b]) => getRevision(a) - getRevision(b))
    // Half of the tombstones are removed at once, so that the sort is rare.
    for (const [key, entry] of prunable.slice(0, tombstoneCount - Math.floor(maxTombstones / 2))) {
      completePageBelow = Math.max(completePageBelow, getRevision(entry))
      entries.delete(key)
      tombstoneCount--
    }
  }

  function notifyListeners (applied: ConfigChange[]): void {
    for (const { key, revision } of applied) {
      const slash = key.indexOf('/')
      const record = records.get(key.slice(0, slash))?.get(key.slice(slash + 1))
      for (const fn of [...listeners]) fn(record === undefined ? { key, revision } : { key, revision, record })
    }
  }

  function apply (page: ConfigurationPage): ApplyResult {
    const result: ApplyResult = { applied: [], rejected: [], hasChanged: false }
    const before = contiguousRevision
    for (const change of page.changes) applyChange(change, result)
    if (page.complete && page.revision > contiguousRevision) {
      deleteMissing(page, result)
      // Records that were created and deleted before this revision may be unknown here, so their deletion cannot be passed on.
      completePageBelow = page.revision
    }
    const after = page.complete ? 0 : page.after ?? Infinity
    if (after <= contiguousRevision) contiguousRevision = Math.max(contiguousRevision, page.revision)
    highestSeen = Math.max(highestSeen, contiguousRevision)
    result.hasChanged = contiguousRevision > before || result.applied.length > 0 ||
      result.rejected.some((change) => change.error !== undefined)
    pruneTombstones()
    notifyListeners(result.applied)
    return result
  }

  function createPageSince (revision: number): ConfigurationPage {
    const complete = revision === 0 || revision < completePageBelow
    // A complete page implies the deletions up to its own revision; later ones must be sent explicitly.
    const isMissingAtPeer = ({ inForce }: Entry): boolean => inForce !== undefined &&
      (complete ? inForce.value !== null || inForce.revision > contiguousRevision : inForce.revision > revision)
    const changes: ConfigChange[] = []
    for (const entry of entries.values()) {
      const { inForce, unusable } = entry
      const includesUnusable = unusable !== undefined && (complete || unusable.revision > revision)
      // A peer without the unusable value may also be missing the one in force before it.
      if (inForce !== undefined && (includesUnusable || isMissingAtPeer(entry))) changes.push(inForce)
      if (includesUnusable) changes.push({ key: unusable.key, revision: unusable.revision, value: unusable.value })
    }
    return { revision: contiguousRevision, after: complete ? 0 : revision, complete, changes }
  }

  function problems (): ConfigurationProblem[] {
    return [...entries.values()].flatMap(({ inForce, unusable }) => {
      if (unusable === undefined) return []
      const fields = inForce !== undefined && inForce.value !== null ? { inForce: inForce.revision } : {}
      return [{ error: unusable.error, revision: unusable.revision, ...fields }]
    })
  }

  return {
    apply,
    get: <K extends RecordKind>(kind: K, name: string) => records.get(kind)?.get(name) as RecordOf<K> | undefined,
    list: <K extends RecordKind>(kind: K) => [...records.get(kind)?.values() ?? []]
      .sort((a, b) => a.name < b.name ? -1 : 1) as Array<RecordOf<K>>,
    revision: () => contiguousRevision,
    highestSeen: () => highestSeen,
    createPageSince,
    problems,
    onChange (fn) {
      listeners.add(fn)
      return () => { listeners.delete(fn) }
    }
  }
}

/** Returns whether the key has a record, usable or not. */
function isLive (entry: Entry): boolean {
  return entry.unusable !== undefined || (entry.inForce !== undefined && entry.inForce.value !== null)
}

/** Returns the revision of the change in force. */
function getRevision (entry: Entry): number {
  return entry.inForce?.revision ?? 0
}
