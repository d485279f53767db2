/**
 * The exchange point at which the spending of all gateways is summed.
 */
import { MessageKind } from '../../wire/mod.ts'
import { createBucket } from './_bucket.ts'
import { getCapacity } from './_allowance_terms.ts'
import type { AllowanceLevels, AllowanceReport } from '../../wire/mod.ts'
import type { AllowanceLimit, AllowancePoint, AllowancePointOptions } from './_allowance_types.ts'
import type { Bucket } from './_bucket.ts'

/** Time constant in milliseconds over which the demand of a gateway is averaged. */
const demandMs = 1000
/** Time in milliseconds without a report after which a gateway does not count as one that is heard, and after which it is forgotten. */
const unheardMs = 2000
const forgetMs = 10_000
/** Time in milliseconds after the fall of a limit in which gateways may still spend by the higher one. */
const fallMs = 1000
/** Share of its capacity below which the level of an organisation is told to all gateways. */
const scarceShare = 0.5
/** Time in milliseconds for which the list of scarce organisations is kept. */
const scarceListMs = 50

/** A sum that decays with the time constant of the demand. */
interface Decayed { value: number, atMs: number }

interface Spending { spent: number, offered: number, demand: Decayed }
interface Sender { seq: number, heardMs: number, spending: Map<string, Spending> }
interface Account {
  bucket: Bucket
  limit: AllowanceLimit
  demand: Decayed
  /** Time in milliseconds at which the limit fell. */
  fallenMs: number
}

function addDecayed (sum: Decayed, amount: number, nowMs: number): void {
  sum.value = sum.value * Math.exp(-Math.max(0, nowMs - sum.atMs) / demandMs) + amount
  sum.atMs = nowMs
}

/**
 * Creates an exchange point that knows no gateways.
 *
 * It keeps a token bucket for each organisation, refilled by its limit up to the burst and a part of the tolerance, and takes from it what
 * each gateway reports to have spent: reports carry sums, so that one that is lost, late or repeated changes nothing. The level may
 * become negative. What a gateway spent before its first report, or before one that it sent without having heard the answer to the one
 * before, is not taken: the gateway has done without this point meanwhile, and a point that took it at once would refuse what others know
 * to be free. A point that starts has a full burst for each organisation.
 *
 * @param options the limits and their tolerance
 * @returns the exchange point
 *
 * @example
 * ```ts
 * import { createAllowancePoint } from 'briarloom/core/limits'
 *
 * const tolerance = { windowMs: 8000, over: 0.25, slack: 0 }
 * const point = createAllowancePoint({ tolerance, getLimit: () => ({ perS: 100, burst: 100 }) })
 * console.assert(point.countGateways(0) === 0)
 * ```
 */
export function createAllowancePoint ({ tolerance, getLimit }: AllowancePointOptions): AllowancePoint {
  const senders = new Map<string, Sender>()
  const accounts = new Map<string, Account>()
  let scarce: { names: string[], atMs: number } = { names: [], atMs: -Infinity }
  let liveSenders = 0
  let sweptMs = -Infinity

  /** Returns the account of an organisation, refilled; undefined when it has no limit. */
  function getAccount (name: string, nowMs: number): Account | undefined {
    const limit = getLimit(name)
    if (limit === undefined) {
      accounts.delete(name)
      return undefined
    }
    const known = accounts.get(name)
    const account = known ?? { bucket: createBucket(limit.burst, nowMs), limit, demand: { value: 0, atMs: nowMs }, fallenMs: -Infinity }
    if (known === undefined) accounts.set(name, account)
    account.bucket.refill(account.limit.perS, getCapacity(limit, tolerance), nowMs)
    if (account.limit !== limit) applyLimit(account, limit, nowMs)
    return account
  }

  /** Puts a new limit in force. What was spent beyond the old one is paid back in the same time. */
  function applyLimit (account: Account, limit: AllowanceLimit, nowMs: number): void {
    const level = account.bucket.level()
    if (limit.perS < account.limit.perS) {
      account.fallenMs = nowMs
      if (level < 0) account.bucket.setLevel(level * limit.perS / account.limit.perS)
    }
    account.limit = limit
  }

  function sweep (nowMs: number): void {
    if (nowMs - sweptMs < demandMs / 4) return
    sweptMs = nowMs
    liveSenders = 0
    for (const [name, sender] of senders) {
      if (nowMs - sender.heardMs > forgetMs) senders.delete(name)
      else if (nowMs - sender.heardMs <= unheardMs) liveSenders += 1
    }
  }

  function applySpending (sender: Sender, isBaseline: boolean, item: AllowanceReport['spending'][number], nowMs: number): void {
    const { organisation, spent, offered } = item
    const known = sender.spending.get(organisation)
    const spending = known ?? { spent: 0, offered: 0, demand: { value: 0, atMs: nowMs } }
    if (known === undefined) sender.spending.set(organisation, spending)
    const account = getAccount(organisation, nowMs)
    if (account !== undefined && !isBaseline) {
      // What gateways spent by a higher limit is not owed by the lower one, nor is what was spent longer ago than a window.
      const floor = nowMs - account.fallenMs < fallMs ? 0 : -account.limit.perS * tolerance.windowMs / 1000
      account.bucket.spend(spent - spending.spent)
      if (account.bucket.level() < floor) account.bucket.setLevel(floor)
      const demand = Math.max(0, offered - spending.offered)
      addDecayed(spending.demand, demand, nowMs)
      addDecayed(account.demand, demand, nowMs)
    }
    spending.spent = spent
    spending.offered = offered
  }

  function listScarce (nowMs: number): string[] {
    if (nowMs - scarce.atMs < scarceListMs) return scarce.names
    const names = [...accounts.keys()].filter((name) => {
      const account = getAccount(name, nowMs)
      return account !== undefined && account.bucket.level() < scarceShare * getCapacity(account.limit, tolerance)
    })
    scarce = { names, atMs: nowMs }
    return names
  }

  function describeLevel (name: string, sender: Sender, nowMs: number): AllowanceLevels['levels'] {
    const account = getAccount(name, nowMs)
    if (account === undefined) return []
    const demand = sender.spending.get(name)?.demand
    if (demand !== undefined) addDecayed(demand, 0, nowMs)
    addDecayed(account.demand, 0, nowMs)
    const share = demand === undefined || account.demand.value <= 0 ? 0 : Math.min(1, demand.value / account.demand.value)
    return [{ organisation: name, level: Math.round(account.bucket.level()), share: Math.round(share * 1000) / 1000, demandPerS: Math.round(account.demand.value / demandMs * 1000) }]
  }

  return {
    onReport (report, nowMs) {
      const known = senders.get(report.sender)
      if (known !== undefined && report.seq <= known.seq) return undefined
      sweep(nowMs)
      if (known === undefined && !report.full) {
        return { kind: MessageKind.AllowanceLevels, seq: report.seq, wantsFull: true, gateways: Math.max(1, liveSenders), levels: [] }
      }
      const sender = known ?? { seq: 0, heardMs: nowMs, spending: new Map() }
      // Reports that waited on their way come together: their sender has heard no answer to the ones before and did without this point.
      const isBaseline = known === undefined || report.after !== known.seq
      if (known === undefined) senders.set(report.sender, sender)
      if (known === undefined || nowMs - known.heardMs > unheardMs) liveSenders += 1
      for (const item of report.spending) applySpending(sender, isBaseline, item, nowMs)
      sender.seq = report.seq
      sender.heardMs = nowMs
      const names = new Set([...report.spending.map(({ organisation }) => organisation), ...listScarce(nowMs)])
      const levels = [...names].flatMap((name) => describeLevel(name, sender, nowMs))
      return { kind: MessageKind.AllowanceLevels, seq: report.seq, wantsFull: false, gateways: Math.max(1, liveSenders), levels }
    },
    countGateways (nowMs) {
      sweep(nowMs)
      return liveSenders
    },
    getLevel: (name, nowMs) => accounts.has(name) ? getAccount(name, nowMs)?.bucket.level() : undefined
  }
}
