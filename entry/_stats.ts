/**
 * Counts and times what callers experience.
 */
import { Outcome } from '../core/types/mod.ts'
import { Metric } from '../metrics/mod.ts'
import type { TierRecord } from '../core/records/mod.ts'
import type { Metrics } from '../metrics/mod.ts'

/** Counts requests by outcome and measures latency against the targets of the tier. */
export interface EntryStats {
  firstToken (tier: TierRecord, ms: number): void
  betweenTokens (tier: TierRecord, ms: number): void
  ended (tier: TierRecord, outcome: Outcome, ms: number): void
  callerGone (tier: TierRecord): void
  /** Counter of requests that ended; a stuck process stops to count. */
  finished (): number
  status (): Record<string, unknown>
}

/**
 * Creates the counters; `onDone` is told of each request that was answered.
 */
export function createEntryStats (metrics: Metrics, onDone: () => void): EntryStats {
  const outcomes: { [O in Outcome]: number } = { [Outcome.NotRun]: 0, [Outcome.Done]: 0, [Outcome.Unknown]: 0 }
  let gone = 0
  let firstTokenMissed = 0

  return {
    firstToken (tier, ms) {
      metrics.timing(Metric.FirstToken, ms, { tier: tier.name })
      if (ms > tier.firstTokenMs) firstTokenMissed += 1
    },
    betweenTokens (tier, ms) {
      metrics.timing(Metric.BetweenTokens, ms, { tier: tier.name })
    },
    ended (tier, outcome, ms) {
      outcomes[outcome] += 1
      if (outcome === Outcome.Done) onDone()
      metrics.count(Metric.Requests, 1, { tier: tier.name, outcome })
      metrics.timing(Metric.RequestTime, ms, { tier: tier.name })
    },
    callerGone (tier) {
      gone += 1
      metrics.count(Metric.CallersGone, 1, { tier: tier.name })
    },
    finished: () => outcomes[Outcome.NotRun] + outcomes[Outcome.Done] + outcomes[Outcome.Unknown] + gone,
    status: () => ({ outcomes: { ...outcomes }, callersGone: gone, firstTokenMissed })
  }
}
