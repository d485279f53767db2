/**
 * Types of the configuration store.
 */
import type { ConfigChange } from '../../source/mod.ts'
import type { ConfigRecord, RecordError, RecordKind, RecordOf } from '../records/mod.ts'

/** Changes of records, and the range of revisions that they cover. */
export interface ConfigurationPage {
  /** Revision up to which the page is complete. */
  revision: number
  /** The page contains every change above this revision up to `revision`; absent when changes may be missing. */
  after?: number
  /** True when the page contains every record at `revision`, so that a missing record was deleted. */
  complete: boolean
  changes: ConfigChange[]
}

/** A change that the store rejected. */
export interface RejectedChange {
  key: string
  revision: number
  /** Why the record is unusable; absent when the store already had this revision or a later one. */
  error?: RecordError
}

/** Result of applying a page. */
export interface ApplyResult {
  /** Changes that came into force. */
  applied: ConfigChange[]
  /** Changes that did not come into force. */
  rejected: RejectedChange[]
  /** True when the page contained something new: a change, an unusable record or a higher revision. */
  hasChanged: boolean
}

/** A record whose newest value is unusable. */
export interface ConfigurationProblem {
  error: RecordError
  /** Revision of the unusable value. */
  revision: number
  /** Revision of the value that stays in force; absent when there is none. */
  inForce?: number
}

/** A record that came into force or was deleted. */
export interface ConfigurationEvent {
  key: string
  revision: number
  /** The record in force; absent when it was deleted. */
  record?: ConfigRecord
}

/** Store of the configuration that is in force in one process. */
export interface Configuration {
  /** Applies a page from the configuration service or from a peer. Pages may arrive in any order and repeatedly. */
  apply (page: ConfigurationPage): ApplyResult
  /** Returns the record of a kind and name that is in force; undefined when there is none. */
  get<K extends RecordKind> (kind: K, name: string): RecordOf<K> | undefined
  /** Returns every record of a kind that is in force, sorted by name. */
  list<K extends RecordKind> (kind: K): Array<RecordOf<K>>
  /** Returns the highest revision up to which the store has every change. */
  revision (): number
  /** Returns the highest revision of any change that was applied; changes below it may be missing. */
  highestSeen (): number
  /** Returns a page for a peer that has every change up to `revision`, with the changes that it is missing. */
  createPageSince (revision: number): ConfigurationPage
  /** Returns the records whose newest value is unusable. */
  problems (): ConfigurationProblem[]
  /** Calls `fn` for each record that comes into force or is deleted; returns a function that ends the subscription. */
  onChange (fn: (event: ConfigurationEvent) => void): () => void
}
