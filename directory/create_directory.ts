/**
 * Keeps the current routing rules and the known workers, as the store and other processes report them.
 */
import { createFleet } from '../core/fleet/mod.ts'
import { createRouteTable } from '../core/route/mod.ts'
import { createExchangePool } from '../exchange/mod.ts'
import { decodeRoutingRules, decodeWorkerEntry, rulesKey, workerPrefix } from '../platform/mod.ts'
import { followPrefix } from './_follow_prefix.ts'
import type { Fleet } from '../core/fleet/mod.ts'
import type { RouteTable } from '../core/route/mod.ts'
import type { Log } from '../log/mod.ts'
import type { StoreChange } from '../platform/mod.ts'
import type { Subscription, Timer } from '../timer/mod.ts'

/** Configures a directory. */
export interface DirectoryOptions {
  storeAddress: string
  timer: Timer
  log: Log
  random: () => number
  /** Time in milliseconds that one watch call waits; 1,500 by default. A watch that stops responding is detected that much later. */
  watchMs?: number
  /** Receives each version of the rules that takes effect. */
  onRules?: (table: RouteTable) => void
  /** Receives the result of each call to the store: true when the store responded. */
  onStoreCall?: (hasResponded: boolean) => void
}

/** The routing rules and workers that the store and other processes have reported. */
export interface Directory {
  readonly fleet: Fleet
  /** Returns the current rules; undefined before the first ones are known. */
  routeTable (): RouteTable | undefined
  /** Returns all known records that are not deleted, for a process that cannot read the store. */
  records (): StoreChange[]
  /** Applies records from another process; a record that is not newer than the known one has no effect. */
  applyRecords (records: StoreChange[]): void
  /** Returns the highest revision seen. */
  revision (): number
  /** Returns the time in milliseconds since the store last responded. */
  ageMs (): number
  /** Tells whether both the rules and the workers have been read from the store. */
  hasReadStore (): boolean
  close (): Promise<void>
}

/** A watch that stops responding is detected well within the time in which changes must take effect. */
const defaultWatchMs = 1_500
/** Time in milliseconds after an outage of the store within which live workers have written their entries again. */
const reregistrationMs = 2_300

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
  let table: RouteTable | undefined
  let lastFailureMs = -Infinity
  let lastResponseMs = timer.now()
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
      if (change.value !== null) log.warn({ worker: id, revision: change.revision }, 'entry cannot be read')
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
      if (change.key === rulesKey) {
        if (change.value !== null) applyRules(change.value)
      } else if (change.key.startsWith(workerPrefix)) applyWorker(change)
    }
  }

  function removeMissing (prefix: string, changes: StoreChange[]): void {
    const present = new Set(changes.map((change) => change.key))
    for (const key of [...known.keys()]) {
      if (!key.startsWith(prefix) || present.has(key)) continue
      known.delete(key)
      if (prefix === workerPrefix) removeWorker(key.slice(workerPrefix.length))
    }
  }

  function onCallResult (message: string | undefined): void {
    options.onStoreCall?.(message === undefined)
    if (message === undefined) lastResponseMs = timer.now()
    if (message !== undefined) lastFailureMs = timer.now()
    if ((message === undefined) === (failure === undefined)) return
    if (message === undefined) log.info({ store: storeAddress }, 'store answers again')
    else log.warn({ store: storeAddress, reason: message }, 'store does not answer')
    failure = message
  }

  const stopWatches = [rulesKey, workerPrefix].map((prefix) => followPrefix({
    address: storeAddress,
    prefix,
    pool,
    timer,
    random,
    watchMs,
    onCallResult,
    onChanges (changes, isComplete) {
      if (isComplete) {
        removeMissing(prefix, changes)
        readPrefixes.add(prefix)
      }
      apply(changes)
    }
  }))

  return {
    fleet,
    routeTable: () => table,
    records: () => [...known.values()].filter((record) => record.value !== null),
    applyRecords: apply,
    revision: () => Math.max(0, ...[...known.values()].map((record) => record.revision)),
    ageMs: () => timer.now() - lastResponseMs,
    hasReadStore: () => readPrefixes.size === stopWatches.length,
    async close () {
      for (const stop of stopWatches) stop()
      for (const removal of removals.values()) removal.cancel()
      await pool.close()
    }
  }
}
