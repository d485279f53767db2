/**
 * Keeps the current routing rules and the known workers, as the store and other processes report them.
 */
import { createViewTracker } from '../core/view/mod.ts'
import { createFleet } from '../core/fleet/mod.ts'
import { createRouteTable } from '../core/route/mod.ts'
import { createExchangePool } from '../exchange/mod.ts'
import { decodeRoutingRules, decodeWorkerEntry, rulesKey, workerPrefix } from '../platform/mod.ts'
import { followPrefix } from './_follow_prefix.ts'
import type { RouteTable } from '../core/route/mod.ts'
import type { StoreChange } from '../platform/mod.ts'
import type { Subscription } from '../timer/mod.ts'
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
  const pool = createExchangePool()
  const known = new Map<string, StoreChange>()
  const removals = new Map<string, Subscription>()
  const readPrefixes = new Set<string>()
  const prefixes = [rulesKey, workerPrefix]
  const tracker = createViewTracker({ prefixes: prefixes.length, maxAgeMs: maxViewAgeMs })
  const viewHandlers: Array<() => void> = []
  let isReader = false
  let table: RouteTable | undefined
  let lastFailureMs = -Infinity
  /** Time in milliseconds at which a call of another process last failed. */
  let toldFailureMs = -Infinity
  const startedMs = timer.now()
  let failure: string | undefined

  function applyRules (value: string): void {
    const rules = decodeRoutingRules(value)
    if (rules.err) {
      log.error({ reason: rules.val }, 'configuration refused')
      return
    }
    if (table !== undefined && rules.val.version <= table.version) return
    table = createRouteTable(rules.val)
    log.info({ version: table.version, routes: rules.val.routes.length }, 'configuration in force')
    options.onRules?.(table)
  }

  function removeWorker (id: string): void {
    removals.get(id)?.cancel()
    const waitMs = lastFailureMs + reregistrationMs - timer.now()
    if (waitMs <= 0) {
      fleet.remove(id)
      log.info({ worker: id }, 'worker gone')
      return
    }
    // Entries expire while the store is unavailable; live workers write them again soon afterwards.
    removals.set(id, timer.after(waitMs, () => removeWorker(id)))
  }

  function applyWorker (change: StoreChange): void {
    const id = change.key.slice(workerPrefix.length)
    const entry = change.value === null ? undefined : decodeWorkerEntry(change.key, change.value)
    if (entry === undefined) {
      if (change.value !== null) {
        log.warn({ worker: id, revision: change.revision }, 'entry cannot be read')
        // The text may be as long as the store allows, and would be passed on to other processes with the readable entries.
        known.set(change.key, { ...change, value: '' })
      }
      if (fleet.get(id) !== undefined) removeWorker(id)
      return
    }
    removals.get(id)?.cancel()
    const before = fleet.get(id)?.entry
    fleet.upsert(entry, timer.now())
    if (before?.state !== entry.state || before.stage !== entry.stage || before.bornMs !== entry.bornMs) {
      log.info({ worker: id, service: entry.service, address: entry.address, state: entry.state, stage: entry.stage }, 'worker')
    }
  }

  function apply (changes: StoreChange[]): void {
    for (const change of changes) {
      const current = known.get(change.key)
      if (current !== undefined && current.revision >= change.revision) continue
      known.set(change.key, change)
      try {
        applyChange(change)
      } catch (err) {
        log.error({ key: change.key, revision: change.revision, err }, 'change not applied')
      }
    }
  }

  function applyChange (change: StoreChange): void {
    if (change.key === rulesKey) {
      if (change.value !== null) applyRules(change.value)
    } else if (change.key.startsWith(workerPrefix)) applyWorker(change)
  }

  /** Records the deletion of the items that a complete read up to a revision did not find. */
  function listMissing (prefix: string, found: StoreChange[], revision: number): StoreChange[] {
    const present = new Set(found.map((change) => change.key))
    const isMissing = ({ key, value, revision: known }: StoreChange): boolean =>
      key.startsWith(prefix) && value !== null && known < revision && !present.has(key)
    return [...known.values()].filter(isMissing).map(({ key }) => ({ key, revision, value: null }))
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
    isCovered: () => !isReader && tracker.isCovered(index, timer.now()),
    onCallResult,
    onLeftOut: (reasons) => log.warn({ prefix, count: reasons.length, reasons: reasons.slice(0, maxLoggedReasons) }, 'store items left out'),
    onError: (err) => log.error({ prefix, err }, 'changes not applied'),
    onHistoryGone: () => tracker.forget(index),
    onChanges (changes, revision, isComplete) {
      apply(isComplete ? [...listMissing(prefix, changes, revision), ...changes] : changes)
      if (isComplete) readPrefixes.add(prefix)
      tracker.recordRead(index, revision, timer.now())
      notifyView()
    }
  }))

  return {
    fleet,
    routeTable: () => table,
    records: () => [...known.values()].filter((record) => record.value !== null),
    applyRecords: apply,
    revision: () => Math.max(0, ...[...known.values()].map((record) => record.revision)),
    ageMs: () => Math.max(0, ...tracker.state(timer.now())?.agesMs ?? [timer.now() - startedMs]),
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
    changesAfter (after) {
      const state = tracker.state(timer.now())
      if (state === undefined) return undefined
      const ageMs = failureAgeMs()
      const isNew = ({ key, revision }: StoreChange): boolean =>
        prefixes.some((prefix, index) => key.startsWith(prefix) && revision > (after[index] ?? Infinity))
      return { state, ...(ageMs === undefined ? {} : { failureAgeMs: ageMs }), changes: [...known.values()].filter(isNew) }
    },
    applyChanges (after, { state, failureAgeMs: ageMs, changes }) {
      if (!tracker.canAdd(after)) return
      lastFailureMs = Math.max(lastFailureMs, timer.now() - (ageMs ?? Infinity))
      apply(changes)
      tracker.recordChanges(state, timer.now())
      notifyView()
    },
    checkCoverage,
    onView (fn) { viewHandlers.push(fn) },
    hasReadStore: () => readPrefixes.size === prefixes.length,
    async close () {
      for (const watch of watches) watch.stop()
      for (const removal of removals.values()) removal.cancel()
      await pool.close()
    }
  }
}
