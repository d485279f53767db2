/**
 * Reads the items of the store whose keys begin with a prefix, and watches them for changes.
 */
import { buildRangeCall, buildWatchCall, decodeStoreEra, decodeStorePage, historyGoneStatus } from '../platform/mod.ts'
import { callJson, FailureKind } from '../exchange/mod.ts'
import type { ExchangePool } from '../exchange/mod.ts'
import type { StoreChange, StorePosition } from '../core/view/mod.ts'
import type { Call, StorePage } from '../platform/mod.ts'
import type { Subscription, Timer } from '../timer/mod.ts'

/** Tells what a call has read. */
export interface ReadKind {
  /** True when the changes are all items with the prefix. */
  isComplete: boolean
  /** Keys of items that a complete read found and could not use. */
  unusableKeys: readonly string[]
}

/** Configures the watch of a prefix. */
export interface FollowOptions {
  address: string
  prefix: string
  pool: ExchangePool
  timer: Timer
  /** Returns a random number from 0 up to but not including 1, for the jitter of retries. */
  random: () => number
  /** Returns the time in milliseconds that the next watch call waits for changes. */
  watchMs: () => number
  /** Returns the revision up to which all changes are known; undefined when the prefix must be read completely. */
  revision (): number | undefined
  /** Returns the era of the store to which the known revisions belong. */
  era (): number
  /** Tells whether other processes pass on the changes, so that the prefix need not be watched. */
  isCovered (): boolean
  /** Receives the changes up to a position; `isComplete` when they are all items with the prefix, as always for a later era than the known one. */
  onChanges (changes: StoreChange[], position: StorePosition, read: ReadKind): void
  /** Called when the store no longer has the changes after the known revision. */
  onHistoryGone (): void
  /** Receives the result of each call: undefined when the store responded, or why the call failed. */
  onCallResult (failure: string | undefined): void
  /** Receives the items of a page that cannot be used, each with the reason. */
  onLeftOut (reasons: string[]): void
  /** Called when a receiver of changes has failed; the prefix is followed on. */
  onError (err: unknown): void
}

/**
 * Time in milliseconds beyond its wait within which the response to a watch call must begin; the store responds within a few milliseconds.
 * It doubles with each failure in a row, up to the longest one, because a busy link delays responses.
 */
const watchTimeoutMarginMs = 700
const maxWatchTimeoutMarginMs = 2_000
/** Time in milliseconds within which the response to a read of a page must begin; a slow store takes some hundreds. */
const pageTimeoutMs = 1_500
/**
 * Time in milliseconds without a byte after which a response that has begun is given up. It is long, since a link that many processes read
 * over at once stops each of them for a second or more, and what is given up is sent once more.
 */
const stallMs = 5_000
/** Time in milliseconds within which a connection to the store must be established; over a busy link between regions it takes more than one second. */
export const storeConnectTimeoutMs = 2_000
/** Largest response of the store in bytes: a watch returns all changes of its history at once, each with a value of up to 1 MiB. */
const maxResponseBytes = 64 * 1_048_576
/** Time in milliseconds that the first watch call after a failure waits: its response tells soon whether the store has come back in a new era. */
const probeWatchMs = 20
/** Shortest and longest delay in milliseconds before a failed read is retried. */
const minBackoffMs = 50
const maxBackoffMs = 400
/** Longest delay in milliseconds until the first read has succeeded, because client requests wait for it. */
const maxInitialBackoffMs = 100

/** Controls the watch of a prefix. */
export interface PrefixWatch {
  /** Goes on watching when no other process passes on the changes any more. */
  checkCoverage (): void
  /** Begins anew at once, and ignores the response to a call that is waiting. */
  restart (): void
  /** Tells whether the prefix is not watched, because other processes pass on its changes. */
  isSuspended (): boolean
  stop (): void
}

/** A page of one era. */
type EraPage = StorePage & Required<StorePosition>

/** Reads a prefix and watches it for changes, unless other processes pass them on. */
export function followPrefix (options: FollowOptions): PrefixWatch {
  const { address, prefix, pool, timer } = options
  let isSuspended = false
  let backoffMs = minBackoffMs
  let hasRead = false
  /** Number of calls that have failed in a row. */
  let failures = 0
  let closed = false
  let pause: Subscription | undefined
  /** Number of times that the watch has begun; a call of an earlier one is ignored. */
  let run = 0
  /**
   * Era that the last response named, whatever its status: a watch is not told that the store went back, and finds revisions that were given
   * out again. A later era counts once two responses in a row name it, so that one odd header does not lock the process out of the true era.
   */
  let namedEra = 0

  async function read (call: Call, timeoutMs: number): Promise<EraPage | undefined> {
    const ownRun = run
    const response = await callJson(address, call, { pool, timer, timeoutMs, stallMs, maxBytes: maxResponseBytes })
    if (ownRun !== run) return undefined
    if (response.err) {
      // A call that timed out has waited long enough.
      if (response.val.kind === FailureKind.TimedOut) backoffMs = minBackoffMs / 2
      return fail(response.val.message)
    }
    const { status, headers, body } = response.val
    const era = decodeStoreEra(headers)
    if (era === undefined || era < options.era()) {
      return fail(`GET ${address}${call.path}: ${era === undefined ? 'the era cannot be read' : `era ${era} after era ${options.era()}`}`)
    }
    namedEra = era
    if (status === historyGoneStatus) {
      failures = 0
      if (era === options.era()) options.onHistoryGone()
      options.onCallResult(undefined)
      return undefined
    }
    const page = status === 200 ? decodeStorePage(body) : undefined
    if (page === undefined) return fail(`GET ${address}${call.path}: status ${status} or an invalid body`)
    backoffMs = minBackoffMs
    failures = 0
    options.onCallResult(undefined)
    if (page.leftOut.length > 0) options.onLeftOut(page.leftOut.map(({ reason }) => reason))
    return { ...page, era, changes: era === 0 ? page.changes : page.changes.map((change) => ({ ...change, era })) }
  }

  function fail (message: string): undefined {
    failures++
    options.onCallResult(message)
    backoffMs = Math.min(hasRead ? maxBackoffMs : maxInitialBackoffMs, backoffMs * 2)
    return undefined
  }

  async function readAll (): Promise<boolean> {
    const changes: StoreChange[] = []
    const unusableKeys: string[] = []
    const announcedEra = hasRead ? Math.max(options.era(), namedEra) : Infinity
    let first: EraPage | undefined
    let afterKey: string | undefined
    for (;;) {
      const page = await read(buildRangeCall(prefix, afterKey), pageTimeoutMs)
      if (page === undefined || page.era > announcedEra || page.era !== (first ?? page).era) return false
      // The pages aren't one snapshot: the watch begins at the revision of the first page, so that it repeats changes made meanwhile.
      first ??= page
      changes.push(...page.changes)
      unusableKeys.push(...page.leftOut.flatMap(({ key }) => key ?? []))
      if (!page.more) break
      // A page whose last key is not above that of the page before names no next one.
      if (page.lastKey === undefined || !isAbove(page.lastKey, afterKey)) {
        fail(`GET ${address}${buildRangeCall(prefix, afterKey).path}: the last key is "${page.lastKey ?? ''}"`)
        return false
      }
      afterKey = page.lastKey
    }
    hasRead = true
    options.onChanges(changes, { era: first.era, revision: first.revision }, { isComplete: true, unusableKeys })
    return true
  }

  async function watch (after: number): Promise<boolean> {
    const watchMs = failures > 0 ? probeWatchMs : options.watchMs()
    const marginMs = Math.min(maxWatchTimeoutMarginMs, watchTimeoutMarginMs * 2 ** failures)
    const era = options.era()
    const page = await read(buildWatchCall(prefix, after, watchMs), watchMs + marginMs)
    if (page === undefined) return options.revision() === undefined || namedEra > options.era()
    if (page.era === era) options.onChanges(page.changes, { era, revision: page.revision }, { isComplete: false, unusableKeys: [] })
    return true
  }

  async function step (): Promise<void> {
    if (closed) return
    isSuspended = options.isCovered()
    if (isSuspended) return
    const ownRun = run
    const revision = options.revision()
    const mustReadAll = revision === undefined || namedEra > options.era()
    const done = await (mustReadAll ? readAll() : watch(revision)).catch((err: unknown) => {
      options.onError(err)
      return false
    })
    if (closed || ownRun !== run) return
    if (done) step()
    else pause = timer.after(backoffMs * (0.5 + options.random()), () => { step() })
  }

  step()
  return {
    checkCoverage () { if (isSuspended && !options.isCovered()) step() },
    restart () {
      run++
      pause?.cancel()
      step()
    },
    isSuspended: () => isSuspended,
    stop () {
      closed = true
      run++
      pause?.cancel()
    }
  }
}

/** Tells whether a key comes after another one in the order of the store, that of their bytes. */
function isAbove (key: string, other: string | undefined): boolean {
  return other === undefined || Buffer.compare(Buffer.from(key), Buffer.from(other)) > 0
}
