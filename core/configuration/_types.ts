/**
 * Types of the configuration store.
 */
import type { ConfigChange } from '../../source/mod.ts'
import type { ConfigRecord, RecordError, RecordKind, RecordOf } from '../records/mod.ts'

/** Carries records and says what range of revisions they cover. */
export interface ConfigurationPage {
  /** Revision up to which the page is whole. */
  revision: number
  /** Revision above which the page holds every change up to `revision`; absent when the page claims nothing. */
  after?: number
  /** True when the page holds every record at `revision`, so that a record that is missing was deleted. */
  complete: boolean
  changes: ConfigChange[]
}

/** Describes a change that the store turned down. */
export interface RejectedChange {
  key: string
  revision: number
  /** Why the record is unusable; absent when the store already knew this revision or a later one. */
  error?: RecordError
}

/** Lists what a page changed in the store. */
export interface ApplyResult {
  /** Changes that came into force. */
  applied: ConfigChange[]
  rejected: RejectedChange[]
  /** True when the page taught the store anything: a change, a problem or a higher revision. */
  hasChanged: boolean
}

/** Describes a record whose newest value is unusable. */
export interface ConfigurationProblem {
  error: RecordError
  /** Revision of the unusable value. */
  revision: number
  /** Revision of the value that stays in force; absent when there is none. */
  inForce?: number
}

/** Tells a listener of a record that came into force or was deleted. */
export interface ConfigurationEvent {
  key: string
  revision: number
  /** The record in force; absent when it was deleted. */
  record?: ConfigRecord
}

/** Holds the configuration that is in force in one process. */
export interface Configuration {
  /** Takes in a page from the configuration service or from a peer, in any order and any number of times. */
  apply (page: ConfigurationPage): ApplyResult
  /** Returns the record of a kind and name that is in force. */
  get<K extends RecordKind> (kind: K, name: string): RecordOf<K> | undefined
  /** Returns every record of a kind that is in force, ordered by name. */
  list<K extends RecordKind> (kind: K): Array<RecordOf<K>>
  /** Returns the highest revision up to which no change is missing here. */
  revision (): number
  /** Returns the highest revision of any change that was seen, which may have gaps below it. */
  highestSeen (): number
  /** Returns a page of what a peer lacks that misses nothing up to `revision`. */
  createPageSince (revision: number): ConfigurationPage
  /** Returns the records whose newest value is unusable. */
  problems (): ConfigurationProblem[]
  /** Calls `fn` for each record that comes into force; returns a function that ends the subscription. */
  onChange (fn: (event: ConfigurationEvent) => void): () => void
}
