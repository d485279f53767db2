/**
 * The records of the configuration service with their revisions.
 */

/** Describes one record, as JSON over HTTP; the value is null once the record was deleted. */
export interface StoredChange {
  key: string
  revision: number
  value: string | null
}

/** Holds records, and the revision of the store at which they were read. */
export interface StoredPage {
  revision: number
  changes: StoredChange[]
}

/** Describes the result of a write: the new revision, or the current revision of the record when the condition didn't hold. */
export interface WriteResult {
  accepted: boolean
  revision: number
}

/** Holds the records, and assigns a revision to each write. */
export interface RecordStore {
  /** Lists all records that exist. */
  listAll (): StoredPage
  /** Lists the records that changed after a revision, including deleted ones. */
  listChangesAfter (revision: number): StoredPage
  /** Writes a record, or deletes it when the value is null. `ifRevision`, when given, must equal its revision (0 when it never existed). */
  write (key: string, value: string | null, ifRevision?: number): WriteResult
  /** Returns an independent copy of the store. */
  copy (): RecordStore
}

/** Creates a store with the records of a page; empty by default. */
export function createRecordStore (initial: StoredPage = { revision: 0, changes: [] }): RecordStore {
  let revision = initial.revision
  const records = new Map(initial.changes.map((change) => [change.key, change]))

  return {
    listAll: () => ({ revision, changes: [...records.values()].filter((change) => change.value !== null) }),
    listChangesAfter: (from) => ({ revision, changes: [...records.values()].filter((change) => change.revision > from) }),
    write (key, value, ifRevision) {
      const current = records.get(key)?.revision ?? 0
      if (ifRevision !== undefined && ifRevision !== current) return { accepted: false, revision: current }
      revision += 1
      records.delete(key)
      records.set(key, { key, revision, value })
      return { accepted: true, revision }
    },
    copy: () => createRecordStore({ revision, changes: [...records.values()] })
  }
}
