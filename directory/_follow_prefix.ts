/**
 * Follows the items of the store whose keys begin with a prefix.
 */
import { decodeStorePage, historyGoneStatus, buildRangeCall, buildWatchCall } from '../platform/mod.ts'
import { callJson } from '../exchange/mod.ts'
import type { ExchangePool } from '../exchange/mod.ts'
import type { Call, StoreChange, StorePage } from '../platform/mod.ts'
import type { Subscription, Timer } from '../timer/mod.ts'

/** Configures a follower. */
export interface FollowOptions {
  address: string
  prefix: string
  pool: ExchangePool
  timer: Timer
  /** Returns a number from 0 up to but not including 1; spreads retries. */
  random: () => number
  /** Time in milliseconds that one watch waits. */
  watchMs: number
  /** Gets changes; `whole` when they are every item there is. */
  onChanges (changes: StoreChange[], whole: boolean): void
  /** Gets the result of each call: that the store answered, or why it did not. */
  onState (failure: string | undefined): void
}

/** Time in milliseconds beyond its wait after which a silent watch is given up; the store answers in some milliseconds. */
const answerSlackMs = 700
/** Time in milliseconds for a page; a slow store takes some hundreds. */
const pageTimeoutMs = 1_500
/** Shortest and longest wait in milliseconds before a failed read is repeated. */
const minBackoffMs = 50
const maxBackoffMs = 400
/** Longest wait in milliseconds before the first read has succeeded, since requests wait for it. */
const firstBackoffMs = 100

/** Follows a prefix until the result is called. */
export function followPrefix (options: FollowOptions): () => void {
  const { address, prefix, pool, timer } = options
  let revision: number | undefined
  let backoffMs = minBackoffMs
  let hasRead = false
  let closed = false
  let pause: Subscription | undefined

  async function read (call: Call, timeoutMs: number): Promise<StorePage | undefined> {
    const answer = await callJson(address, call, { pool, timer, timeoutMs })
    if (closed) return undefined
    if (answer.err) return fail(answer.val.message)
    if (answer.val.status === historyGoneStatus) {
      revision = undefined
      options.onState(undefined)
      return undefined
    }
    const page = answer.val.status === 200 ? decodeStorePage(answer.val.body) : undefined
    if (page === undefined) return fail(`GET ${address}${call.path}: status ${answer.val.status} or a body that cannot be read`)
    backoffMs = minBackoffMs
    options.onState(undefined)
    return page
  }

  function fail (message: string): undefined {
    options.onState(message)
    backoffMs = Math.min(hasRead ? maxBackoffMs : firstBackoffMs, backoffMs * 2)
    return undefined
  }

  async function readAll (): Promise<boolean> {
    const changes: StoreChange[] = []
    let first: number | undefined
    let afterKey: string | undefined
    for (;;) {
      const page = await read(buildRangeCall(prefix, afterKey), pageTimeoutMs)
      if (page === undefined) return false
      // Pages are no snapshot: the watch begins at the first one, so that it repeats what changed in between.
      first ??= page.revision
      changes.push(...page.changes)
      afterKey = page.changes.at(-1)?.key
      if (!page.more || afterKey === undefined) break
    }
    revision = first
    hasRead = true
    options.onChanges(changes, true)
    return true
  }

  async function watch (after: number): Promise<boolean> {
    const page = await read(buildWatchCall(prefix, after, options.watchMs), options.watchMs + answerSlackMs)
    if (page === undefined) return revision === undefined
    revision = page.revision
    if (page.changes.length > 0) options.onChanges(page.changes, false)
    return true
  }

  async function step (): Promise<void> {
    if (closed) return
    const done = revision === undefined ? await readAll() : await watch(revision)
    if (closed) return
    if (done) step()
    else pause = timer.after(backoffMs * (0.5 + options.random()), () => { step() })
  }

  step()
  return () => {
    closed = true
    pause?.cancel()
  }
}
