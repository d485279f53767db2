/**
 * Reads the items of the store whose keys begin with a prefix, and watches them for changes.
 */
import { decodeStorePage, historyGoneStatus, buildRangeCall, buildWatchCall } from '../platform/mod.ts'
import { callJson, FailureKind } from '../exchange/mod.ts'
import type { ExchangePool } from '../exchange/mod.ts'
import type { Call, StoreChange, StorePage } from '../platform/mod.ts'
import type { Subscription, Timer } from '../timer/mod.ts'

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
  /** Tells whether other processes pass on the changes, so that the prefix need not be watched. */
  isCovered (): boolean
  /** Receives the changes up to a revision; `isComplete` when they are all items with the prefix. */
  onChanges (changes: StoreChange[], revision: number, isComplete: boolean): void
  /** Called when the store no longer has the changes after the known revision. */
  onHistoryGone (): void
  /** Receives the result of each call: undefined when the store responded, or why the call failed. */
  onCallResult (failure: string | undefined): void
  /** Receives the items of a page that cannot be used, each with the reason. */
  onLeftOut (reasons: string[]): void
  /** Called when a receiver of changes has failed; the prefix is followed on. */
  onError (err: unknown): void
}

/** Time in milliseconds beyond its wait after which a watch call times out; the store responds within a few milliseconds. */
const watchTimeoutMarginMs = 700
/** Timeout in milliseconds for reading a page; a slow store takes some hundreds. */
const pageTimeoutMs = 1_500
/** Shortest and longest delay in milliseconds before a failed read is retried. */
const minBackoffMs = 50
const maxBackoffMs = 400
/** Longest delay in milliseconds until the first read has succeeded, because client requests wait for it. */
const maxInitialBackoffMs = 100

/** Controls the watch of a prefix. */
export interface PrefixWatch {
  /** Goes on watching when no other process passes on the changes any more. */
  checkCoverage (): void
  /** Tells whether the prefix is not watched, because other processes pass on its changes. */
  isSuspended (): boolean
  stop (): void
}

/** Reads a prefix and watches it for changes, unless other processes pass them on. */
export function followPrefix (options: FollowOptions): PrefixWatch {
  const { address, prefix, pool, timer } = options
  let isSuspended = false
  let backoffMs = minBackoffMs
  let hasRead = false
  let closed = false
  let pause: Subscription | undefined

  async function read (call: Call, timeoutMs: number): Promise<StorePage | undefined> {
    const response = await callJson(address, call, { pool, timer, timeoutMs })
    if (closed) return undefined
    if (response.err) {
      // A call that timed out has waited long enough.
      if (response.val.kind === FailureKind.TimedOut) backoffMs = minBackoffMs / 2
      return fail(response.val.message)
    }
    if (response.val.status === historyGoneStatus) {
      options.onHistoryGone()
      options.onCallResult(undefined)
      return undefined
    }
    const page = response.val.status === 200 ? decodeStorePage(response.val.body) : undefined
    if (page === undefined) return fail(`GET ${address}${call.path}: status ${response.val.status} or an invalid body`)
    backoffMs = minBackoffMs
    options.onCallResult(undefined)
    if (page.leftOut.length > 0) options.onLeftOut(page.leftOut)
    return page
  }

  function fail (message: string): undefined {
    options.onCallResult(message)
    backoffMs = Math.min(hasRead ? maxBackoffMs : maxInitialBackoffMs, backoffMs * 2)
    return undefined
  }

  async function readAll (): Promise<boolean> {
    const changes: StoreChange[] = []
    let firstRevision: number | undefined
    let afterKey: string | undefined
    for (;;) {
      const page = await read(buildRangeCall(prefix, afterKey), pageTimeoutMs)
      if (page === undefined) return false
      // The pages aren't one snapshot: the watch begins at the revision of the first page, so that it repeats changes made meanwhile.
      firstRevision ??= page.revision
      changes.push(...page.changes)
      if (!page.more) break
      // A page whose last key is not above that of the page before names no next one.
      if (page.lastKey === undefined || !isAbove(page.lastKey, afterKey)) {
        fail(`GET ${address}${buildRangeCall(prefix, afterKey).path}: the last key is "${page.lastKey ?? ''}"`)
        return false
      }
      afterKey = page.lastKey
    }
    hasRead = true
    options.onChanges(changes, firstRevision, true)
    return true
  }

  async function watch (after: number): Promise<boolean> {
    const watchMs = options.watchMs()
    const page = await read(buildWatchCall(prefix, after, watchMs), watchMs + watchTimeoutMarginMs)
    if (page === undefined) return options.revision() === undefined
    options.onChanges(page.changes, page.revision, false)
    return true
  }

  async function step (): Promise<void> {
    if (closed) return
    isSuspended = options.isCovered()
    if (isSuspended) return
    const revision = options.revision()
    const done = await (revision === undefined ? readAll() : watch(revision)).catch((err: unknown) => {
      options.onError(err)
      return false
    })
    if (closed) return
    if (done) step()
    else pause = timer.after(backoffMs * (0.5 + options.random()), () => { step() })
  }

  step()
  return {
    checkCoverage () { if (isSuspended && !options.isCovered()) step() },
    isSuspended: () => isSuspended,
    stop () {
      closed = true
      pause?.cancel()
    }
  }
}

/** Tells whether a key comes after another one in the order of the store, that of their bytes. */
function isAbove (key: string, other: string | undefined): boolean {
  return other === undefined || Buffer.compare(Buffer.from(key), Buffer.from(other)) > 0
}
