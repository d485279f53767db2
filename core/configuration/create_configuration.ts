/**
 * A store of configuration records that only moves forward.
 */
import type { ConfigChange } from '../../source/mod.ts'
import { decodeRecord } from '../records/mod.ts'
import type { ConfigRecord, RecordError, RecordKind, RecordOf } from '../records/mod.ts'
import type {
  ApplyResult, Configuration, ConfigurationEvent, ConfigurationPage, ConfigurationProblem, RejectedChange
} from './_types.ts'

/** Configures a store of configuration records. */
export interface ConfigurationOptions {
  /** Most deleted records that the store remembers for peers that are behind; 4096 by default. */
  maxTombstones?: number
}

const defaultMaxTombstones = 4096

interface Entry {
  /** Revision up to which the key is known to have had no record when the entry was made. */
  absentUpTo: number
  /** The change in force: the newest one that decodes, or a deletion. */
  good?: ConfigChange
  /** The newest change when it does not decode. */
  bad?: ConfigChange & { error: RecordError }
}

/**
 * Creates a store of configuration records that never goes back to a lower revision of a record.
 *
 * The newest change of each record that decodes is in force. A newer one that does not decode is kept for peers that
 * may be able to read it. Pages may come from anywhere in any order: a page that is older than what the store holds
 * changes nothing.
 *
 * @param options the bound on remembered deletions
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
  let tombstones = 0
  let contiguous = 0
  let highest = 0
  // Peers below this revision cannot be told of each deletion any more; they get a complete page.
  let forgottenBelow = 0

  function setInForce (change: ConfigChange, record: ConfigRecord | undefined, result: ApplyResult): void {
    const entry = entryOf(change.key)
    tombstones += Number(change.value === null) - Number(entry.good?.value === null)
    entry.good = change
    if (entry.bad !== undefined && entry.bad.revision <= change.revision) delete entry.bad
    index(change.key, record)
    result.applied.push(change)
  }

  function index (key: string, record: ConfigRecord | undefined): void {
    const slash = key.indexOf('/')
    const kind = key.slice(0, slash)
    const name = key.slice(slash + 1)
    const named = records.get(kind) ?? new Map<string, ConfigRecord>()
    records.set(kind, named)
    if (record === undefined) named.delete(name)
    else named.set(name, record)
  }

  function entryOf (key: string): Entry {
    const entry = entries.get(key) ?? { absentUpTo: contiguous }
    entries.set(key, entry)
    return entry
  }

  function isStale (change: ConfigChange): boolean {
    const entry = entries.get(change.key)
    if (change.revision <= (entry?.good?.revision ?? entry?.absentUpTo ?? 0)) return true
    if (change.revision === entry?.bad?.revision) return true
    // At or below the contiguous revision, a change that is not held was superseded; only the last good value below
    // an unusable one may still be missing.
    return change.revision <= contiguous && entry?.bad === undefined
  }

  function applyChange (change: ConfigChange, result: ApplyResult): void {
    const { key, revision, value } = change
    if (isStale(change)) {
      result.rejected.push({ key, revision })
      return
    }
    highest = Math.max(highest, revision)
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
    const entry = entryOf(key)
    if (revision > (entry.bad?.revision ?? 0)) entry.bad = { key, revision, value, error }
    rejected.push({ key, revision, error })
  }

  function deleteMissing (page: ConfigurationPage, result: ApplyResult): void {
    const present = new Set(page.changes.map((change) => change.key))
    for (const [key, entry] of entries) {
      if (present.has(key) || !isLive(entry)) continue
      const newest = Math.max(entry.good?.revision ?? 0, entry.bad?.revision ?? 0)
      if (newest <= page.revision) setInForce({ key, revision: page.revision, value: null }, undefined, result)
    }
  }

  function forgetTombstones (): void {
    if (tombstones <= maxTombstones) return
    const dead = [...entries].filter(([, entry]) => !isLive(entry) && revisionOf(entry) <= contiguous)
    dead.sort(([, a], [, b]) => revisionOf(a) - revisionOf(b))
    // Half of the room is freed at once, so that the sort is rare.
    for (const [key, entry] of dead.slice(0, tombstones - Math.floor(maxTombstones / 2))) {
      forgottenBelow = Math.max(forgottenBelow, revisionOf(entry))
      entries.delete(key)
      tombstones--
    }
  }

  function notify (applied: ConfigChange[]): void {
    for (const { key, revision } of applied) {
      const slash = key.indexOf('/')
      const record = records.get(key.slice(0, slash))?.get(key.slice(slash + 1))
      for (const fn of [...listeners]) fn(record === undefined ? { key, revision } : { key, revision, record })
    }
  }

  function apply (page: ConfigurationPage): ApplyResult {
    const result: ApplyResult = { applied: [], rejected: [], hasChanged: false }
    const before = contiguous
    for (const change of page.changes) applyChange(change, result)
    if (page.complete && page.revision > contiguous) {
      deleteMissing(page, result)
      // Records that came and went before the page was read are unknown here, so their deletion cannot be passed on.
      forgottenBelow = page.revision
    }
    const after = page.complete ? 0 : page.after ?? Infinity
    if (after <= contiguous) contiguous = Math.max(contiguous, page.revision)
    highest = Math.max(highest, contiguous)
    result.hasChanged = contiguous > before || result.applied.length > 0 ||
      result.rejected.some((change) => change.error !== undefined)
    forgetTombstones()
    notify(result.applied)
    return result
  }

  function since (revision: number): ConfigurationPage {
    const complete = revision === 0 || revision < forgottenBelow
    // A complete page implies the deletions up to its own revision, but not those above it.
    const isLacking = ({ good }: Entry): boolean => good !== undefined &&
      (complete ? good.value !== null || good.revision > contiguous : good.revision > revision)
    const changes: ConfigChange[] = []
    for (const entry of entries.values()) {
      const { good, bad } = entry
      const sendsBad = bad !== undefined && (complete || bad.revision > revision)
      // Whoever lacks an unusable value may also lack the one before it that stays in force.
      if (good !== undefined && (sendsBad || isLacking(entry))) changes.push(good)
      if (sendsBad) changes.push({ key: bad.key, revision: bad.revision, value: bad.value })
    }
    return { revision: contiguous, after: complete ? 0 : revision, complete, changes }
  }

  function problems (): ConfigurationProblem[] {
    return [...entries.values()].flatMap(({ good, bad }) => {
      if (bad === undefined) return []
      const inForce = good !== undefined && good.value !== null ? { inForce: good.revision } : {}
      return [{ error: bad.error, revision: bad.revision, ...inForce }]
    })
  }

  return {
    apply,
    get: <K extends RecordKind>(kind: K, name: string) => records.get(kind)?.get(name) as RecordOf<K> | undefined,
    list: <K extends RecordKind>(kind: K) => [...records.get(kind)?.values() ?? []]
      .sort((a, b) => a.name < b.name ? -1 : 1) as Array<RecordOf<K>>,
    revision: () => contiguous,
    highestSeen: () => highest,
    createPageSince: since,
    problems,
    onChange (fn) {
      listeners.add(fn)
      return () => { listeners.delete(fn) }
    }
  }
}

function isLive (entry: Entry): boolean {
  return entry.bad !== undefined || (entry.good !== undefined && entry.good.value !== null)
}

function revisionOf (entry: Entry): number {
  return entry.good?.revision ?? 0
}
