/**
 * Counts and times what callers experience.
 */
import { Outcome, RefusalCode } from '../core/types/mod.ts'
import { Metric } from '../metrics/mod.ts'
import type { TierRecord } from '../core/records/mod.ts'
import type { Metrics } from '../metrics/mod.ts'
import type { CallDone } from '../wire/mod.ts'

/** Counts requests by outcome and measures latency against the targets of the tier. */
export interface EntryStats {
  firstToken (tier: TierRecord, ms: number): void
  betweenTokens (tier: TierRecord, ms: number): void
  /** Counts tokens that were sent to a caller; they are reported with the next `flush`. */
  tokens (tier: TierRecord, count: number): void
  ended (tier: TierRecord, outcome: Outcome, ms: number): void
  callerGone (tier: TierRecord): void
  refused (tier: TierRecord, code: RefusalCode): void
  /** A service call ended with the answer that its caller gets. */
  callEnded (tier: TierRecord, service: string, done: Pick<CallDone, 'outcome' | 'code' | 'replayed'>): void
  callRetried (code: RefusalCode): void
  ticketIssued (service: string): void
  /** Reports the tokens since the last time. */
  flush (): void
  /** Counter of requests that ended; a stuck process stops to count. */
  finished (): number
  status (): Record<string, unknown>
}

/**
 * Creates the counters; `onDone` is told of each request that was answered.
 */
export function createEntryStats (metrics: Metrics, onDone: () => void): EntryStats {
  const outcomes: { [O in Outcome]: number } = { [Outcome.NotRun]: 0, [Outcome.Done]: 0, [Outcome.Unknown]: 0 }
  const tokensByTier = new Map<string, number>()
  let gone = 0
  let firstTokenMissed = 0

  function count (outcome: Outcome): void {
    outcomes[outcome] += 1
    if (outcome === Outcome.Done) onDone()
  }

  function refused (tier: TierRecord, code: RefusalCode): void {
    metrics.count(Metric.Refusals, 1, { tier: tier.name, code })
  }

  return {
    firstToken (tier, ms) {
      metrics.timing(Metric.FirstToken, ms, { tier: tier.name })
      if (ms > tier.firstTokenMs) firstTokenMissed += 1
    },
    betweenTokens (tier, ms) {
      metrics.timing(Metric.BetweenTokens, ms, { tier: tier.name })
    },
    tokens (tier, added) {
      tokensByTier.set(tier.name, (tokensByTier.get(tier.name) ?? 0) + added)
    },
    ended (tier, outcome, ms) {
      count(outcome)
      metrics.count(Metric.Requests, 1, { tier: tier.name, outcome })
      metrics.timing(Metric.RequestTime, ms, { tier: tier.name })
    },
    callerGone (tier) {
      gone += 1
      metrics.count(Metric.CallersGone, 1, { tier: tier.name })
    },
    refused,
    callEnded (tier, service, { outcome, code, replayed }) {
      count(outcome)
      metrics.count(Metric.Calls, 1, { service, outcome })
      if (replayed) metrics.count(Metric.CallsReplayed, 1, { service })
      if (outcome !== Outcome.Done) refused(tier, code ?? RefusalCode.BackendError)
    },
    callRetried (code) {
      metrics.count(Metric.Retries, 1, { code })
    },
    ticketIssued (service) {
      metrics.count(Metric.TicketsIssued, 1, { service })
    },
    flush () {
      for (const [tier, tokens] of tokensByTier) metrics.count(Metric.Tokens, tokens, { tier })
      tokensByTier.clear()
    },
    finished: () => outcomes[Outcome.NotRun] + outcomes[Outcome.Done] + outcomes[Outcome.Unknown] + gone,
    status: () => ({ outcomes: { ...outcomes }, callersGone: gone, firstTokenMissed })
  }
}
