/**
 * The records of the configuration service with their revisions.
 */

/** Carries one record as it goes over HTTP; the value is null once it was deleted. */
export interface StoredChange {
  key: string
  revision: number
  value: string | null
}

/** Carries records up to a revision. */
export interface StoredPage {
  revision: number
  changes: StoredChange[]
}

/** Answers a write: the new revision, or the revision that the record has when the condition did not hold. */
export interface WriteResult {
  accepted: boolean
  revision: number
}

/** Holds records. */
export interface RecordStore {
  listAll (): StoredPage
  listChangesAfter (revision: number): StoredPage
  /** Writes a record; `ifRevision` must equal its revision when given (0 when it does not exist). */
  write (key: string, value: string | null, ifRevision?: number): WriteResult
  copy (): RecordStore
}

/** Creates a store from earlier records. */
export function createRecordStore (start: StoredPage = { revision: 0, changes: [] }): RecordStore {
  let revision = start.revision
  const records = new Map(start.changes.map((change) => [change.key, change]))

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
