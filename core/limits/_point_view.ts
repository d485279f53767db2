/**
 * What a gateway knows of one exchange point.
 */
import { freshMs, getCapacity, getReportMs, unreportedFactor, unreportedShare } from './_allowance_terms.ts'
import type { AllowanceLevels } from '../../wire/mod.ts'
import type { AllowanceLimit, AllowanceTolerance } from './_allowance_types.ts'

/** What a gateway has spent and was asked for, over all its life. */
export interface Spent { spent: number, offered: number }

/** Share of the capacity that the level of an organisation has at least when a point does not tell it. */
const untoldShare = 0.5
/** Time in milliseconds after which a report that got no answer is followed by another one. */
const answerTimeoutMs = 1000

/** How a request looks to one point. */
export interface PointVerdict {
  /** Units that are left by what this point knows and this gateway adds; negative when more is spent. */
  left: number
  /** Chance from 0 to 1 with which the request may be admitted, so that all gateways together spend what is left. */
  chance: number
  /** True when this gateway may not spend more before the point knows what it has spent. */
  isUnreported: boolean
}

/** The state of the exchange with one point. */
export interface PointView {
  /** Number of gateways that the point hears. */
  gateways (): number
  isFresh (nowMs: number): boolean
  /** Age in milliseconds of the newest levels. */
  ageMs (nowMs: number): number
  /** Judges a request that counts `cost` units at a gateway that has spent `total` units. */
  judge (organisation: string, limit: AllowanceLimit, cost: number, total: number, nowMs: number): PointVerdict
  /** Begins a report; undefined when the answer to the last one is awaited. */
  beginReport (connection: number, totals: Map<string, Spent>, nowMs: number): { seq: number, after: number, full: boolean, changed: Array<[string, Spent]> } | undefined
  /** Time in milliseconds at which the last report was begun. */
  lastReportMs (): number
  /** Tells whether the point does not know all of the totals. */
  hasNews (): boolean
  markChanged (organisation: string): void
  onLevels (msg: AllowanceLevels, nowMs: number): void
}

/**
 * Creates the view of a point that has not been heard.
 *
 * @param tolerance the tolerance of all limits
 * @param nextSeq returns a counter that grows with each report of the gateway, so that a point that is chosen again takes no report for an old one
 * @returns the view
 */
export function createPointView (tolerance: AllowanceTolerance, nextSeq: () => number): PointView {
  const msPerS = 1000
  /** What the point has accounted for, by organisation. */
  const acked = new Map<string, number>()
  const changed = new Set<string>()
  let levels = new Map<string, { level: number, share: number, demandPerS: number }>()
  let connectionNumber: number | undefined
  let isFullDue = true
  let answeredSeq = 0
  let sentMs = -Infinity
  let awaited: { seq: number, totals: Array<[string, number]> } | undefined
  let asOfMs = -Infinity
  let receivedMs = -Infinity
  let gateways = 1

  return {
    gateways: () => gateways,
    isFresh: (nowMs) => nowMs - asOfMs <= freshMs,
    ageMs: (nowMs) => nowMs - asOfMs,
    lastReportMs: () => sentMs,
    hasNews: () => changed.size > 0 || isFullDue,
    markChanged (organisation) { changed.add(organisation) },
    judge (organisation, limit, cost, total, nowMs) {
      const capacity = getCapacity(limit, tolerance)
      const told = levels.get(organisation)
      const refilled = limit.perS * (nowMs - receivedMs) / msPerS
      const level = Math.min(capacity, (told?.level ?? untoldShare * capacity) + refilled)
      const unreported = total - (acked.get(organisation) ?? 0)
      const part = Math.max(unreportedShare, 1 / gateways, unreportedFactor * (told?.share ?? 0)) * Math.max(0, level)
      // What all gateways are asked for until the answer to the next report comes, by their recent demand.
      const awaitedDemand = (told?.demandPerS ?? 0) * (getReportMs(gateways) + receivedMs - asOfMs) / msPerS
      const chance = awaitedDemand <= level ? 1 : Math.max(0, level) / awaitedDemand
      // One request is admitted whatever its size, so that requests larger than the part are not refused for ever.
      return { left: level - unreported, chance, isUnreported: unreported > 0 && unreported + cost > part }
    },
    beginReport (connection, totals, nowMs) {
      if (connection !== connectionNumber) {
        connectionNumber = connection
        isFullDue = true
        awaited = undefined
      }
      if (awaited !== undefined && nowMs - sentMs < answerTimeoutMs) return undefined
      for (const [name] of awaited?.totals ?? []) changed.add(name)
      const full = isFullDue
      const names = full ? [...totals.keys()] : [...changed]
      const items = names.flatMap((name): Array<[string, Spent]> => {
        const total = totals.get(name)
        return total === undefined ? [] : [[name, { ...total }]]
      })
      changed.clear()
      const seq = nextSeq()
      sentMs = nowMs
      awaited = { seq, totals: items.map(([name, { spent }]) => [name, spent]) }
      return { seq, after: answeredSeq, full, changed: items }
    },
    onLevels (msg, nowMs) {
      if (awaited === undefined || msg.seq !== awaited.seq) return
      const { totals } = awaited
      awaited = undefined
      answeredSeq = msg.seq
      isFullDue = msg.wantsFull
      if (msg.wantsFull) return
      for (const [name, spent] of totals) acked.set(name, spent)
      levels = new Map(msg.levels.map(({ organisation, ...told }) => [organisation, told]))
      gateways = Math.max(1, msg.gateways)
      asOfMs = sentMs
      receivedMs = nowMs
    }
  }
}
