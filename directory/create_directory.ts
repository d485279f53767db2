/**
 * Keeps the current routing rules and the known workers, as the store and other processes report them.
 */
import { createRecordSet, createViewTracker } from '../core/view/mod.ts'
import { createFleet } from '../core/fleet/mod.ts'
import { createRouteTable } from '../core/route/mod.ts'
import { createExchangePool } from '../exchange/mod.ts'
import { decodeRoutingRules, decodeWorkerEntry, rulesKey, workerPrefix } from '../platform/mod.ts'
import { describeKeys } from './_describe_keys.ts'
import { describeRules } from './_describe_rules.ts'
import { followPrefix, storeConnectTimeoutMs } from './_follow_prefix.ts'
import { createViewUpdates } from './_view_updates.ts'
import { createWorkerRecords } from './_worker_records.ts'
import { PassedOver } from './_types.ts'
import type { RouteTable } from '../core/route/mod.ts'
import type { AppliedChanges, StoreChange } from '../core/view/mod.ts'
import type { Directory, DirectoryOptions } from './_types.ts'

/** A watch that stops responding is detected well within the time in which changes must take effect. */
const defaultWatchMs = 1_500
/** Time in milliseconds that one watch call of a process waits that reads for others. */
const readerWatchMs = 1_500
/** Age in milliseconds beyond which a view is not relied on: one wait of a reader, and the response of a slow store. */
const maxViewAgeMs = 2_000
/** Time in milliseconds after an outage of the store within which live workers have written their entries again. */
const reregistrationMs = 2_300
/** Number of items that one log line names. */
const maxLoggedReasons = 5

/**
 * Creates a directory and begins to watch the store.
 *
 * @param options the store, the timer, the log and a source of randomness
 * @returns the directory
 *
 * @example
 * ```ts
 * import { createDirectory } from 'briarloom/directory'
 *
 * console.assert(typeof createDirectory === 'function')
 * ```
 */
export function createDirectory (options: DirectoryOptions): Directory {
  const { timer, log, storeAddress, random, watchMs = defaultWatchMs } = options
  const fleet = createFleet()
  const pool = createExchangePool({ connectTimeoutMs: storeConnectTimeoutMs })
  const records = createRecordSet()
  const readPrefixes = new Set<string>()
  /** Number of items that the last complete read of each prefix could not use. */
  const unusableItems = new Map<string, number>()
  const prefixes = [rulesKey, workerPrefix]
  const tracker = createViewTracker({ prefixes: prefixes.length, maxAgeMs: maxViewAgeMs })
  const viewHandlers: Array<() => void> = []
  let isReader = false
  let table: RouteTable | undefined
  /** The record of the rules in force; a restored store may hold an older version for a while. */
  let rulesRecord: StoreChange | undefined
  let lastFailureMs = -Infinity
  /** Time in milliseconds at which a call of another process last failed. */
  let toldFailureMs = -Infinity
  const startedMs = timer.now()
  let failure: string | undefined
  const workers = createWorkerRecords({ fleet, timer, log, reregistrationMs, lastFailureMs: () => lastFailureMs, viewAgeMs, onRecordPassedOver })

  function onRecordPassedOver (reason: PassedOver): void { options.onRecordPassedOver?.(reason) }

  /** Puts rules in force when their version is higher, wherever their record stands: a version never goes back. */
  function applyRules (record: StoreChange): void {
    if (record.value === null) return
    const rules = decodeRoutingRules(record.value, options.ruleParts)
    if (rules.err) {
      log.error({ reason: rules.val }, 'configuration refused')
      return
    }
    if (table !== undefined && rules.val.version <= table.version) {
      if (rules.val.version < table.version) passOver(record, rulesRecord, PassedOver.OlderVersion)
      return
    }
    const before = table
    table = createRouteTable(rules.val)
    rulesRecord = record
    log.info({ version: table.version, routes: rules.val.routes.length, ...describeKeys(before, table) }, 'configuration in force')
    options.onRules?.(table)
  }

  function passOver (change: StoreChange, current: StoreChange | undefined, reason: PassedOver): void {
    const { key, era, revision } = change
    log.info({ key, era, revision, knownEra: current?.era, knownRevision: current?.revision, reason }, 'record passed over')
    onRecordPassedOver(reason)
  }

  /** Drops the text of entries that name no worker: it may be as long as the store allows, and would be passed on with the readable ones. */
  function blankUnreadable (changes: readonly StoreChange[]): StoreChange[] {
    const isUnreadable = ({ key, value }: StoreChange): boolean =>
      key.startsWith(workerPrefix) && value !== null && decodeWorkerEntry(key, value) === undefined
    return changes.map((change) => isUnreadable(change) ? { ...change, value: '' } : change)
  }

  function takeEffect ({ later, passedOver }: AppliedChanges): void {
    for (const change of later) guard(change, applyChange)
    for (const change of passedOver) {
      if (change.key === rulesKey) guard(change, applyRules)
      else passOver(change, records.get(change.key), PassedOver.NotLater)
    }
  }

  function applyChange (change: StoreChange): void {
    if (change.key === rulesKey) applyRules(change)
    else if (change.key.startsWith(workerPrefix)) workers.apply(change)
  }

  /** Applies one change; an error in it must not keep the others from their effect. */
  function guard (change: StoreChange, fn: (change: StoreChange) => void): void {
    try {
      fn(change)
    } catch (err) {
      log.error({ key: change.key, revision: change.revision, err }, 'change not applied')
    }
  }

  /** Notes that the store has come back from an older copy: what it lacks is written again soon, if it still holds. */
  function onNewEra (era: number): void {
    const last = records.position()
    log.info({ era, before: tracker.era(), revision: last.revision }, 'store era')
    if (last.revision > 0 && last.era < era) lastFailureMs = timer.now()
  }

  function onCallResult (message: string | undefined): void {
    options.onStoreCall?.(message === undefined)
    if (message !== undefined) {
      lastFailureMs = timer.now()
      notifyView()
    }
    if ((message === undefined) === (failure === undefined)) return
    if (message === undefined) log.info({ store: storeAddress }, 'store answers again')
    else log.warn({ store: storeAddress, reason: message }, 'store does not answer')
    failure = message
  }

  function viewAgeMs (): number {
    return Math.max(0, ...tracker.state(timer.now())?.agesMs ?? [timer.now() - startedMs])
  }

  function failureAgeMs (): number | undefined {
    const ageMs = timer.now() - lastFailureMs
    return ageMs < reregistrationMs ? ageMs : undefined
  }

  function checkCoverage (): void {
    const wasCovered = watches.map((watch) => watch.isSuspended())
    for (const watch of watches) watch.checkCoverage()
    // What the readers could not read may be entries that expired while the store was unavailable.
    if (watches.some((watch, index) => wasCovered[index] && !watch.isSuspended())) lastFailureMs = Math.max(lastFailureMs, toldFailureMs)
  }

  function notifyView (): void { for (const fn of viewHandlers) fn() }

  const watches = prefixes.map((prefix, index) => followPrefix({
    address: storeAddress,
    prefix,
    pool,
    timer,
    random,
    watchMs: () => isReader ? readerWatchMs : watchMs,
    revision: () => tracker.revision(index),
    era: () => tracker.era(),
    isCovered: () => !isReader && tracker.isCovered(index, timer.now()),
    onCallResult,
    onLeftOut: (reasons) => log.warn({ prefix, count: reasons.length, reasons: reasons.slice(0, maxLoggedReasons) }, 'store items left out'),
    onError: (err) => log.error({ prefix, err }, 'changes not applied'),
    onHistoryGone () {
      log.info({ prefix, revision: tracker.revision(index) }, 'store has no history after the known revision')
      tracker.forget(index)
    },
    onChanges (changes, { era = 0, revision }, { isComplete, unusableKeys }) {
      const isNewEra = era > tracker.era()
      const hasReadBefore = readPrefixes.size > 0
      if (isNewEra) {
        onNewEra(era)
        tracker.enterEra(era)
      }
      const readable = blankUnreadable(changes)
      takeEffect(isComplete ? records.applyAll(prefix, readable, { era, revision }, { unusableKeys }) : records.apply(readable))
      if (isComplete) {
        readPrefixes.add(prefix)
        unusableItems.set(prefix, unusableKeys.length)
      }
      tracker.recordRead(index, revision, timer.now(), isComplete)
      notifyView()
      // A watch that waits after a revision of the era before may never be woken.
      if (isNewEra && hasReadBefore) for (const watch of watches) if (watch !== watches[index]) watch.restart()
    }
  }))

  const updates = createViewUpdates({
    prefixes,
    tracker,
    records,
    log,
    now: timer.now,
    hasUnusable: (prefix) => (unusableItems.get(prefix) ?? 0) > 0,
    rulesRecord: () => rulesRecord,
    failureAgeMs,
    onSenderFailure (ageMs) { lastFailureMs = Math.max(lastFailureMs, timer.now() - ageMs) },
    onNewEra,
    blankUnreadable,
    takeEffect
  })

  return {
    fleet,
    routeTable: () => table,
    records () {
      const others = records.all().filter((record) => record.value !== null && record.key !== rulesKey)
      return rulesRecord === undefined ? others : [rulesRecord, ...others]
    },
    applyRecords (changes) {
      const isRead = (key: string): boolean => prefixes.some((prefix) => readPrefixes.has(prefix) && key.startsWith(prefix))
      takeEffect(records.apply(blankUnreadable(changes).filter(({ key }) => key === rulesKey || !isRead(key))))
    },
    position: records.position,
    storeEra: () => tracker.era(),
    ageMs: viewAgeMs,
    describeRules: () => describeRules({ table, tracker, index: 0, isCovered: watches[0]?.isSuspended() === true, nowMs: timer.now() }),
    setReader (next) {
      if (next === isReader) return
      isReader = next
      log.info({ isReader }, 'store reader')
      checkCoverage()
    },
    viewState: () => tracker.state(timer.now()),
    failureAgeMs,
    recordViewState (state, ageMs) {
      toldFailureMs = Math.max(toldFailureMs, timer.now() - (ageMs ?? Infinity))
      return tracker.recordState(state, timer.now())
    },
    changesAfter: updates.changesAfter,
    applyChanges (after, update) {
      const isNewEra = updates.apply(after, update)
      if (isNewEra === undefined) return
      notifyView()
      if (isNewEra) for (const watch of watches) watch.restart()
    },
    checkCoverage,
    onView (fn) { viewHandlers.push(fn) },
    hasReadStore: () => readPrefixes.size === prefixes.length,
    async close () {
      for (const watch of watches) watch.stop()
      workers.close()
      await pool.close()
    }
  }
}
