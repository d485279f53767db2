/**
 * One process's part of a bound on repeated sends that many processes keep together without telling each other.
 */

/** Configures the part of one process. */
export interface SharedRetryBudgetOptions {
  /** Repeated sends that are allowed for each request, as a share, over all processes. */
  ratio: number
  /** Repeated sends in each window that are allowed beyond that share, over all processes. */
  slack: number
  /** Length of the sliding window in milliseconds. */
  windowMs: number
  /** Returns the number of processes that share the slack, this one included. */
  memberCount: () => number
  /** Time in milliseconds at which the process started. */
  startedAtMs: number
}

/** Bounds the repeated sends of one process. */
export interface SharedRetryBudget {
  /** Counts a request for which repeated sends may follow. */
  recordRequest (nowMs: number): void
  /** Takes one repeated send out of the budget; false when it is used up. */
  take (nowMs: number): boolean
  /** Returns the number of repeated sends that are left in the current window. */
  remaining (nowMs: number): number
}

/** Parts into which a window is divided; a part that is only half inside counts against the process. */
const windowParts = 20
/** Share of the ratio that is used; the bench of the users counts requests in windows that may lie apart from ours. */
const ratioShare = 0.8
/**
 * Share of the slack that is used. A process that ends and starts again does not know what it has spent, so one window may
 * hold its part twice.
 */
const slackShare = 0.5
/** Share of its slack that a process has when it starts; the rest grows over the first window. */
const startShare = 0.2

interface Part {
  index: number
  requests: number
  taken: number
}

/**
 * Creates the part of one process.
 *
 * In any window, all processes together take at most `ratio * requests + slack`, also when each of them restarts, at most once in
 * a third of the window.
 *
 * @param options the bound, and how many processes share it
 * @returns the budget
 *
 * @example
 * ```ts
 * import { createSharedBudget } from 'briarloom/core/retry'
 *
 * const budget = createSharedBudget({ ratio: 0.5, slack: 0, windowMs: 10_000, members: () => 1, startedMs: 0 })
 * console.assert(!budget.take(0))
 * for (let i = 0; i < 5; i++) budget.requested(0)
 * console.assert(budget.take(0) && budget.take(0) && !budget.take(0))
 * ```
 */
export function createSharedRetryBudget (options: SharedRetryBudgetOptions): SharedRetryBudget {
  const { ratio, slack, windowMs, memberCount: members, startedAtMs: startedMs } = options
  const partMs = windowMs / windowParts
  let parts: Part[] = []

  function partAt (nowMs: number): Part {
    const index = Math.floor(nowMs / partMs)
    const newest = parts.at(-1)
    if (newest?.index === index) return newest
    parts = parts.filter((part) => part.index >= index - windowParts)
    const fresh = { index, requests: 0, taken: 0 }
    parts.push(fresh)
    return fresh
  }

  function left (nowMs: number): number {
    const oldest = partAt(nowMs).index - windowParts
    const requests = parts.reduce((sum, part) => sum + (part.index > oldest ? part.requests : 0), 0)
    const taken = parts.reduce((sum, part) => sum + part.taken, 0)
    // The slack grows, so that processes that restart again and again do not spend all of it each time.
    const grown = Math.min(1, Math.max(startShare, (nowMs - startedMs) / windowMs))
    return Math.floor(ratioShare * ratio * requests + grown * slackShare * slack / Math.max(1, members()) - taken)
  }

  return {
    recordRequest (nowMs) { partAt(nowMs).requests++ },
    take (nowMs) {
      if (left(nowMs) < 1) return false
      partAt(nowMs).taken++
      return true
    },
    remaining: left
  }
}
