/**
 * Describes how fresh the rules of a process are for the log.
 */
import type { RouteTable } from '../core/route/mod.ts'
import type { ViewTracker } from '../core/view/mod.ts'
import type { RulesView } from './_types.ts'

/** What the description is made from. */
export interface DescribeRulesOptions {
  table: RouteTable | undefined
  tracker: ViewTracker
  /** Index of the prefix of the rules. */
  index: number
  isCovered: boolean
  nowMs: number
}

/** Describes the rules in force and the age of what is known of them. */
export function describeRules ({ table, tracker, index, isCovered, nowMs }: DescribeRulesOptions): RulesView {
  const { readAgeMs, toldAgeMs } = tracker.ages(index, nowMs)
  const revision = tracker.revision(index)
  return {
    ...(table === undefined ? {} : { version: table.version }),
    ...(revision === undefined ? {} : { revision }),
    ...(Number.isFinite(readAgeMs) ? { readAgeMs: Math.round(readAgeMs) } : {}),
    ...(Number.isFinite(toldAgeMs) ? { toldAgeMs: Math.round(toldAgeMs) } : {}),
    isCovered
  }
}
