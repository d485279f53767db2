/**
 * The share of one process in a limit on repeated sends that several processes keep together without communication.
 */

/** Configures the share of one process. */
export interface SharedRetryBudgetOptions {
  /** Number of repeated sends allowed for each request, over all processes. */
  ratio: number
  /** Number of repeated sends allowed in each window beyond the ratio, over all processes. */
  slack: number
  /** Length of the sliding window in milliseconds. */
  windowMs: number
  /** Returns the number of processes that share the slack, this one included. */
  memberCount: () => number
  /** Time in milliseconds at which the process started. */
  startedAtMs: number
}

/** Limits the repeated sends of one process. */
export interface SharedRetryBudget {
  /** Counts a request towards the ratio. */
  recordRequest (nowMs: number): void
  /** Takes one repeated send; false when none is left. */
  take (nowMs: number): boolean
  /** Returns the number of repeated sends that are left in the current window; negative when the limit has shrunk below those taken. */
  remaining (nowMs: number): number
}

/** Number of parts of a window; of a part that lies only partly inside the window, the sends count and the requests do not. */
const windowParts = 20
/** Share of the ratio that is used, because the benchmark of the users counts requests in windows that may not align with these. */
const ratioShare = 0.8
/**
 * Share of the slack that is used. A restarted process does not know what it has spent, so it may spend its slack twice in one
 * window.
 */
const slackShare = 0.5
/** Share of its slack that a process has when it starts; it reaches the whole after one window. */
const startShare = 0.2

/** Counts of one part of the window. */
interface WindowPart {
  /** Time divided by the length of a part. */
  index: number
  requests: number
  taken: number
}

/**
 * Creates the budget of one process.
 *
 * In any window, all processes together take at most `ratio * requests + slack` repeated sends, even when each of them restarts, as
 * long as it does so at most once in a third of the window.
 *
 * @param options the limit, the window in milliseconds, and the number of processes that share the limit
 * @returns the budget
 *
 * @example
 * ```ts
 * import { createSharedRetryBudget } from 'briarloom/core/retry'
 *
 * const budget = createSharedRetryBudget({ ratio: 0.5, slack: 0, windowMs: 10_000, memberCount: () => 1, startedAtMs: 0 })
 * console.assert(!budget.take(0))
 * for (let i = 0; i < 5; i++) budget.recordRequest(0)
 * console.assert(budget.take(0) && budget.take(0) && !budget.take(0))
 * ```
 */
export function createSharedRetryBudget (options: SharedRetryBudgetOptions): SharedRetryBudget {
  const { ratio, slack, windowMs, memberCount, startedAtMs } = options
  const partMs = windowMs / windowParts
  let parts: WindowPart[] = []

  function findPart (nowMs: number): WindowPart {
    const index = Math.floor(nowMs / partMs)
    const newest = parts.at(-1)
    if (newest?.index === index) return newest
    parts = parts.filter((part) => part.index >= index - windowParts)
    const added = { index, requests: 0, taken: 0 }
    parts.push(added)
    return added
  }

  function remaining (nowMs: number): number {
    const oldest = findPart(nowMs).index - windowParts
    const requests = parts.reduce((sum, part) => sum + (part.index > oldest ? part.requests : 0), 0)
    const taken = parts.reduce((sum, part) => sum + part.taken, 0)
    // The slack grows after the start, so that a process that restarts repeatedly does not spend all of it each time.
    const slackGrowth = Math.min(1, Math.max(startShare, (nowMs - startedAtMs) / windowMs))
    return Math.floor(ratioShare * ratio * requests + slackGrowth * slackShare * slack / Math.max(1, memberCount()) - taken)
  }

  return {
    recordRequest (nowMs) { findPart(nowMs).requests++ },
    take (nowMs) {
      if (remaining(nowMs) < 1) return false
      findPart(nowMs).taken++
      return true
    },
    remaining
  }
}
