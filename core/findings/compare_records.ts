/**
 * The comparison of configuration records with those in force.
 */
import { RecordKind } from '../records/mod.ts'
import { ChangeKind } from './_types.ts'
import type { Difference } from './_types.ts'
import type { ConfigRecord } from '../records/mod.ts'

/** What follows for callers when a record is removed. */
const removedWords: { readonly [K in RecordKind]: string } = {
  [RecordKind.Tier]: 'its callers get 401',
  [RecordKind.Caller]: 'gets 401',
  [RecordKind.Model]: 'requests for it are refused',
  [RecordKind.Backend]: 'gets no more work',
  [RecordKind.Service]: 'calls to it are refused',
  [RecordKind.Policy]: 'the default policies take its place'
}

/** Fields whose values stay out of the output. */
const secretFields: ReadonlySet<string> = new Set(['keyHash'])

/**
 * Lists what changes when records take the place of those in force.
 *
 * @param before the records in force
 * @param after the next records
 * @returns the differences
 *
 * @example
 * ```ts
 * import { compareRecords } from 'briarloom/core/findings'
 *
 * console.assert(compareRecords([], []).length === 0)
 * ```
 */
export function compareRecords (before: readonly ConfigRecord[], after: readonly ConfigRecord[]): Difference[] {
  const known = new Map(before.map((record) => [keyOf(record), record]))
  const next = new Map(after.map((record) => [keyOf(record), record]))
  const removed = before.filter((record) => !next.has(keyOf(record)))
    .map((record) => ({ kind: ChangeKind.Removed, subject: keyOf(record), text: removedWords[record.kind] }))
  const others = after.flatMap((record): Difference[] => {
    const subject = keyOf(record)
    const old = known.get(subject)
    if (old === undefined) return [{ kind: ChangeKind.Added, subject, text: 'is new' }]
    return listChanges(old, record).map((text) => ({ kind: ChangeKind.Changed, subject, text }))
  })
  return [...removed, ...others]
}

function keyOf ({ kind, name }: ConfigRecord): string { return `${kind}/${name}` }

function listChanges (before: ConfigRecord, after: ConfigRecord): string[] {
  const old = new Map(Object.entries(before))
  return Object.entries(after).flatMap(([field, value]) => {
    const [from, to] = [JSON.stringify(old.get(field)), JSON.stringify(value)]
    if (from === to) return []
    return [secretFields.has(field) ? `${field} changes: the old key gets 401` : `${field}: ${from} becomes ${to}`]
  })
}
