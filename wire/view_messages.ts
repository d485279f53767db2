/**
 * The messages by which processes that read the platform's store pass on what it holds.
 */
import type { StoreChange } from '../core/view/mod.ts'
import type { MessageKind } from './message_kind.ts'

/** Tells a process that follows the sender how much of the store the sender knows; sent whenever the store has answered it or a call has failed. */
export interface ViewStateMessage {
  kind: MessageKind.ViewState
  /** Era of the store to which the revisions belong; absent for the lowest era, 0, and from builds that know no eras. */
  era?: number
  /** For each prefix, the revision up to which the sender knows all changes. */
  revisions: readonly number[]
  /** For each prefix, milliseconds since the store had no later change. */
  agesMs: readonly number[]
  /** Milliseconds since a call of the sender to the store failed; absent when none did lately. */
  failureAgeMs?: number
}

/** Asks for the changes after the revisions that the sender knows; the first message on a connection. Answered by `ViewChanges`. */
export interface ViewRequest {
  kind: MessageKind.ViewRequest
  /** For each prefix, the revision up to which the sender knows all changes; none when it only wants to follow. */
  after: readonly number[]
  /** Era to which these revisions belong; absent from builds that know no eras, which cannot follow a store in another era than 0. */
  era?: number
  /** True when the sender reads packed changes; absent from builds that do not. */
  readsPacked?: boolean
}

/** Carries the changes of all prefixes after the revisions that were asked for; all items when these belong to an earlier era, or as `complete` says. */
export interface ViewChanges {
  kind: MessageKind.ViewChanges
  after: readonly number[]
  /** Era of the revisions `after`; absent for 0. */
  afterEra?: number
  /** Era of `revisions`; absent for 0. */
  era?: number
  revisions: readonly number[]
  agesMs: readonly number[]
  /** Milliseconds since a call of the sender to the store failed; absent when none did lately. */
  failureAgeMs?: number
  /**
   * For each prefix, true when the changes are all its items, because the sender does not know every deletion after the revision that was
   * asked for. Builds that do not send it may leave such a deletion out; those that do not read it take the items for changes.
   */
  complete?: readonly boolean[]
  changes: StoreChange[]
  /** The changes as `packChanges` packs them, in place of `changes`, which is empty then; sent only to those that read it. */
  packed?: Uint8Array
}
