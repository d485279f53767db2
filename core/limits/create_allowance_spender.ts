/**
 * The allowances of organisations at one gateway.
 */
import { Err, Ok } from '../results/mod.ts'
import { MessageKind } from '../../wire/mod.ts'
import { createBucket } from './_bucket.ts'
import { createPointView } from './_point_view.ts'
import { getCapacity, getIsolatedLimit, getReportMs } from './_allowance_terms.ts'
import { AllowanceRefusal } from './_allowance_types.ts'
import type { Result } from '../results/mod.ts'
import type { Bucket } from './_bucket.ts'
import type { AllowanceDenial, AllowanceRequest, AllowanceSpender, AllowanceSpenderOptions } from './_allowance_types.ts'
import type { PointView, Spent } from './_point_view.ts'

/** Time in milliseconds after which a gateway with nothing to tell reports to a point. */
const idleReportMs = 400
/** Shortest time in milliseconds between two reports when a request was refused only because the points don't know of the last ones. */
const urgentReportMs = 20
/** Number of gateways that is assumed until a point has told it. */
const assumedGateways = 64
/** Shortest delay in milliseconds that a refused caller is told. */
const minRetryMs = 50
/** Delay in milliseconds after which a gateway that hears too few points is likely to hear them. */
const isolatedRetryMs = 600
const msPerS = 1000
/** Factor by which each request lessens the weight of those before it in the typical cost. */
const costDecay = 0.9

interface Account extends Spent {
  /** What may be spent while too few points are heard. */
  isolated: Bucket
  /** Units refused in the last second, about. */
  refused: number
  refusedMs: number
  /** Sums of the costs of recent requests, and of their squares. */
  costs: number
  squares: number
}

/**
 * Creates the allowances of one gateway that has spent nothing.
 *
 * The gateway reports to each exchange point what it has spent of each allowance, and gets back the levels of those that it asked for or
 * that are scarce. It admits a request without a round trip: when each fresh point's level, refilled since, less what the gateway has spent
 * since its report, holds the request, or a typical one of the organisation if that is less. When all gateways together are asked for more
 * than the level before the points know of it, each admits a typical request with a chance, so that about the level is spent, and smaller
 * ones with a higher one, so that a few large requests don't crowd out many small ones. Before a point knows of it, the gateway spends at
 * most one request, a quarter of the level, or 1.5 times the level by its share of the demand. A gateway that hears no majority of the points
 * spends what is set aside.
 *
 * With `T = over * (perS * window + burst) + slack`, any window of length `W` has at most
 * - `perS * W + burst + 0.45 * T`: the refill and the depth of the bucket;
 * - `0.3 * T`: all isolated gateways together, of which a gateway that has just started and knows no number of gateways takes 1/128;
 * - what gateways spend before the points know of it: at most what they are asked for between a report and the next answer, 0.1 s (1 ms for
 *   each gateway, if that is more) and a round trip as a rule and one second at most;
 * - `burst`, once, when all points that gateways hear have started anew.
 *
 * @param options the name of the sender, the tolerance, a source of randomness and the time of the start in milliseconds
 * @returns the allowances
 *
 * @example
 * ```ts
 * import { createAllowanceSpender } from 'briarloom/core/limits'
 *
 * const tolerance = { windowMs: 8000, over: 0.25, slack: 0 }
 * const spender = createAllowanceSpender({ sender: 'g1/1', tolerance, random: Math.random, startMs: 0 })
 * console.assert(spender.isIsolated(0))
 * ```
 */
export function createAllowanceSpender (options: AllowanceSpenderOptions): AllowanceSpender {
  const { sender, tolerance, random, startMs } = options
  const totals = new Map<string, Account>()
  const views = new Map<string, PointView>()
  let knownGateways: number | undefined
  let isUrgent = false

  function getAccount (organisation: string): Account {
    const known = totals.get(organisation)
    if (known !== undefined) return known
    const account = { spent: 0, offered: 0, isolated: createBucket(Infinity, startMs), refused: 0, refusedMs: startMs, costs: 0, squares: 0 }
    totals.set(organisation, account)
    return account
  }

  /** Returns the points with a fresh answer; undefined when these are no majority. */
  function listFresh (nowMs: number): PointView[] | undefined {
    const fresh = [...views.values()].filter((view) => view.isFresh(nowMs))
    return fresh.length * 2 > views.size ? fresh : undefined
  }

  function add (organisation: string, account: Account, cost: number): void {
    account.spent += cost
    for (const view of views.values()) view.markChanged(organisation)
  }

  function spendIsolated (request: AllowanceRequest, account: Account, nowMs: number): Result<void, AllowanceDenial> {
    const { organisation, limit, cost, maxRetryAfterMs } = request
    const own = getIsolatedLimit(limit, tolerance, knownGateways ?? assumedGateways)
    account.isolated.refill(own.perS, own.burst, nowMs)
    if (!account.isolated.canSpend(cost)) {
      return Err({ reason: AllowanceRefusal.Isolated, retryAfterMs: spread(isolatedRetryMs, isolatedRetryMs, maxRetryAfterMs) })
    }
    account.isolated.spend(cost)
    add(organisation, account, cost)
    return Ok(undefined)
  }

  /** Returns a delay from `fromMs` on, spread over `overMs`; below the longest delay that the caller honours. */
  function spread (fromMs: number, overMs: number, maxMs: number): number {
    const highest = Math.max(minRetryMs, maxMs)
    const lowest = Math.min(Math.max(minRetryMs, fromMs), highest / 2)
    return Math.round(lowest + random() * Math.min(highest - lowest, Math.max(overMs, lowest)))
  }

  function refuse (request: AllowanceRequest, account: Account, worst: { left: number, need: number, isUnreported: boolean, gateways: number }, nowMs: number): AllowanceDenial {
    const { limit, cost, maxRetryAfterMs } = request
    const left = Math.round(worst.left)
    account.refused = account.refused * Math.exp((account.refusedMs - nowMs) / msPerS) + cost
    account.refusedMs = nowMs
    if (worst.left >= worst.need && worst.isUnreported) {
      isUrgent = true
      return { reason: AllowanceRefusal.Unreported, left, retryAfterMs: spread(getReportMs(worst.gateways), getReportMs(worst.gateways), maxRetryAfterMs) }
    }
    const untilMs = Math.max(0, worst.need - worst.left) / Math.max(limit.perS, 1) * msPerS
    // What this gateway has refused comes back together with what others have, so that it takes as long as all of it needs.
    const backlogMs = account.refused * worst.gateways / Math.max(limit.perS, 1) * msPerS
    return { reason: AllowanceRefusal.Spent, left, retryAfterMs: spread(untilMs, backlogMs, maxRetryAfterMs) }
  }

  return {
    spend (request, nowMs) {
      const { organisation, limit, cost } = request
      const account = getAccount(organisation)
      account.offered += cost
      for (const view of views.values()) view.markChanged(organisation)
      const fresh = listFresh(nowMs)
      if (fresh === undefined) return spendIsolated(request, account, nowMs)
      account.costs = account.costs * costDecay + cost
      account.squares = account.squares * costDecay + cost * cost
      // Costs of the requests that make up most of the spending; larger ones are refused no more often, smaller ones less.
      const typicalCost = account.squares / account.costs
      const need = Math.min(cost, typicalCost, getCapacity(limit, tolerance) / 2)
      let left = Infinity
      let chance = 1
      let isUnreported = false
      for (const view of fresh) {
        const verdict = view.judge(organisation, limit, cost, account.spent, nowMs)
        left = Math.min(left, verdict.left)
        chance = Math.min(chance, verdict.chance)
        isUnreported ||= verdict.isUnreported
      }
      if (left >= need && !isUnreported && (chance >= 1 || random() < chance ** (need / typicalCost))) {
        add(organisation, account, cost)
        return Ok(undefined)
      }
      return Err(refuse(request, account, { left, need, isUnreported, gateways: knownGateways ?? 1 }, nowMs))
    },
    giveBack (organisation, cost) { add(organisation, getAccount(organisation), -cost) },
    setPoints (points) {
      for (const name of views.keys()) if (!points.includes(name)) views.delete(name)
      for (const name of points) if (!views.has(name)) views.set(name, createPointView(tolerance))
    },
    createReport (point, connection, nowMs) {
      const view = views.get(point)
      if (view === undefined) return undefined
      const usualMs = getReportMs(knownGateways ?? 1)
      const dueMs = isUrgent ? urgentReportMs : view.hasNews() ? usualMs : Math.max(usualMs, idleReportMs)
      if (nowMs - view.lastReportMs() < dueMs) return undefined
      const report = view.beginReport(connection, totals, nowMs)
      if (report === undefined) return undefined
      const spending = report.changed.map(([organisation, { spent, offered }]) => ({ organisation, spent, offered }))
      return { kind: MessageKind.AllowanceReport, sender, seq: report.seq, after: report.after, full: report.full, spending }
    },
    onLevels (point, msg, nowMs) {
      const view = views.get(point)
      if (view === undefined) return
      view.onLevels(msg, nowMs)
      isUrgent = false
      const fresh = [...views.values()].filter((one) => one.isFresh(nowMs))
      if (fresh.length > 0) knownGateways = Math.max(...fresh.map((one) => one.gateways()))
    },
    isIsolated: (nowMs) => listFresh(nowMs) === undefined,
    levelAgeMs: (nowMs) => Math.max(...(listFresh(nowMs) ?? []).map((view) => view.ageMs(nowMs)), listFresh(nowMs) === undefined ? Infinity : 0)
  }
}
