/**
 * Types for the rules and workers that a process knows.
 */
import type { StoreChange, StorePosition, ViewState } from '../core/view/mod.ts'
import type { Fleet } from '../core/fleet/mod.ts'
import type { RouteTable } from '../core/route/mod.ts'
import type { Log } from '../log/mod.ts'
import type { DecodeRoutingRulesOptions } from '../platform/mod.ts'
import type { Timer } from '../timer/mod.ts'

/** Configures a directory. */
export interface DirectoryOptions {
  storeAddress: string
  timer: Timer
  log: Log
  random: () => number
  /** Parts of the rules that the deployment knows; the others are ignored. */
  ruleParts?: DecodeRoutingRulesOptions
  /** Time in milliseconds that one watch call waits; 1,500 by default. A watch that stops responding is detected that much later. */
  watchMs?: number
  /** Receives each version of the rules that takes effect. */
  onRules?: (table: RouteTable) => void
  /** Receives the result of each call to the store: true when the store responded. */
  onStoreCall?: (hasResponded: boolean) => void
  /** Called for each record that has no effect although it differs from the one that is known, with the reason. */
  onRecordPassedOver?: (reason: PassedOver) => void
}

/** Names the reasons for which a record has no effect. */
export enum PassedOver {
  /** The known record has the same or a later position in the history of the store. */
  NotLater = 'not_later',
  /** Rules of a lower version than those in force. */
  OlderVersion = 'older_version',
  /** The entry comes from a restored store and was written before what is known of the worker. */
  OlderEntry = 'older_entry'
}

/** Changes of the store, with how much the process that passes them on knows. */
export interface ViewUpdate {
  state: ViewState
  /** Era of the revisions after which the changes come; absent for 0. With a state of a later era, the changes are all items. */
  afterEra?: number
  /** Time in milliseconds since a call of that process to the store failed; absent when none did lately. */
  failureAgeMs?: number
  /**
   * For each prefix, true when the changes are all its items, because the sender does not know every deletion after the revision that was
   * asked for; absent from builds that do not say it.
   */
  complete?: readonly boolean[]
  changes: StoreChange[]
}

/** How fresh the rules of a process are, for the log. */
export interface RulesView {
  /** Version in force; absent before the first one. */
  version?: number
  /** Revision of the store up to which all changes of the rules are known; absent before the first read. */
  revision?: number
  /** Times in milliseconds since the store is known to have had no later rules, by own reads and by those of others; absent without any. */
  readAgeMs?: number
  toldAgeMs?: number
  /** True while the rules are not read here, because others pass them on. */
  isCovered: boolean
}

/** The routing rules and workers that the store and other processes have reported. */
export interface Directory {
  readonly fleet: Fleet
  /** Returns the current rules; undefined before the first ones are known. */
  routeTable (): RouteTable | undefined
  /** Returns all known records that are not deleted, with the rules in force, for a process that cannot read the store or reads an older copy. */
  records (): StoreChange[]
  /**
   * Applies records from another process; a record that is not newer than the known one has no effect, nor one with a prefix that has been
   * read from the store, but for the rules, of which the highest version is in force wherever it comes from.
   */
  applyRecords (records: StoreChange[]): void
  /** Returns the latest position of any record, which never goes back. */
  position (): Required<StorePosition>
  /** Returns the era of the store in which its records are known; 0 before the first read. */
  storeEra (): number
  /** Returns the time in milliseconds since the store is known to have had no change that is not known here. */
  ageMs (): number
  /** Describes how fresh the rules in force are. */
  describeRules (): RulesView
  /** Sets whether this process reads the store for others. */
  setReader (isReader: boolean): void
  /** Returns how much of the store is known here; undefined before it has been read completely. */
  viewState (): ViewState | undefined
  /** Returns the time in milliseconds since a call to the store failed; undefined when none did lately. */
  failureAgeMs (): number | undefined
  /** Records how much another process knows, and when its calls last failed; returns true when it knows changes that are not known here. */
  recordViewState (state: ViewState, failureAgeMs: number | undefined): boolean
  /** Returns the changes of each prefix after a revision of an era, with deletions; all items when the era is earlier than the one known here. */
  changesAfter (after: readonly number[], afterEra: number): ViewUpdate | undefined
  /** Applies the changes that another process has passed on; those that would leave a gap have no effect. */
  applyChanges (after: readonly number[], update: ViewUpdate): void
  /** Reads the store again when no other process passes on its changes. */
  checkCoverage (): void
  /** Calls `fn` whenever more is known of the store, or the store is known to have had no change. */
  onView (fn: () => void): void
  /** Tells whether both the rules and the workers have been read from the store. */
  hasReadStore (): boolean
  close (): Promise<void>
}
