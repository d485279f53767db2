/**
 * The view of the platform: the routing rules in force and the workers.
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
  /** Time in milliseconds that one watch waits; 1,500 by default. A watch that fell silent is found that much later. */
  watchMs?: number
  /** Gets each version of the rules that comes into force. */
  onRules?: (table: RouteTable) => void
  /** Gets the result of each call to the store. */
  onStoreCall?: (answered: boolean) => void
}

/** Holds what the store and other processes told of rules and workers. */
export interface Directory {
  readonly fleet: Fleet
  /** Returns the rules in force; undefined before the first ones are known. */
  routeTable (): RouteTable | undefined
  /** Returns every record behind the view, for a process that cannot read the store. */
  records (): StoreChange[]
  /** Takes records that another process holds; older ones than those known change nothing. */
  applyRecords (records: StoreChange[]): void
  /** Returns the highest revision seen. */
  revision (): number
  /** Returns the time in milliseconds since the store last answered. */
  ageMs (): number
  /** Returns true once the store has answered for rules and workers. */
  hasReadStore (): boolean
  close (): Promise<void>
}

/** A watch that fell silent is found well within the bound for changes in force. */
const defaultWatchMs = 1_500
/** Time in milliseconds after an outage of the store within which live workers have written their entries again. */
const returnMs = 2_300

/**
 * Creates a directory and begins to follow the store.
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
  const read = new Set<string>()
  let table: RouteTable | undefined
  let troubleMs = -Infinity
  let answeredMs = timer.now()
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
    const waitMs = troubleMs + returnMs - timer.now()
    if (waitMs <= 0) {
      fleet.remove(id)
      log.info({ worker: id }, 'worker gone')
      return
    }
    // Entries lapse while the store is down; the workers that live write them again soon after.
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
      const before = known.get(change.key)
      if (before !== undefined && before.revision >= change.revision) continue
      known.set(change.key, change)
      if (change.key === rulesKey) {
        if (change.value !== null) applyRules(change.value)
      } else if (change.key.startsWith(workerPrefix)) applyWorker(change)
    }
  }

  function forgetMissing (prefix: string, changes: StoreChange[]): void {
    const there = new Set(changes.map((change) => change.key))
    for (const key of [...known.keys()]) {
      if (!key.startsWith(prefix) || there.has(key)) continue
      known.delete(key)
      if (prefix === workerPrefix) removeWorker(key.slice(workerPrefix.length))
    }
  }

  function onState (message: string | undefined): void {
    options.onStoreCall?.(message === undefined)
    if (message === undefined) answeredMs = timer.now()
    if (message !== undefined) troubleMs = timer.now()
    if ((message === undefined) === (failure === undefined)) return
    if (message === undefined) log.info({ store: storeAddress }, 'store answers again')
    else log.warn({ store: storeAddress, reason: message }, 'store does not answer')
    failure = message
  }

  const followers = [rulesKey, workerPrefix].map((prefix) => followPrefix({
    address: storeAddress,
    prefix,
    pool,
    timer,
    random,
    watchMs,
    onState,
    onChanges (changes, whole) {
      if (whole) {
        forgetMissing(prefix, changes)
        read.add(prefix)
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
    ageMs: () => timer.now() - answeredMs,
    hasReadStore: () => read.size === followers.length,
    async close () {
      for (const stop of followers) stop()
      for (const removal of removals.values()) removal.cancel()
      await pool.close()
    }
  }
}
