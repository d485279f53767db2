/**
 * Counts requests and measures latency as callers see them.
 */
import { Outcome, RefusalCode } from '../core/types/mod.ts'
import { Metric } from '../metrics/mod.ts'
import type { TierRecord } from '../core/records/mod.ts'
import type { Metrics } from '../metrics/mod.ts'
import type { CallDone } from '../wire/mod.ts'

/** Counts requests by outcome and measures latency against the targets of the tier. */
export interface EntryStats {
  recordFirstToken (tier: TierRecord, ms: number): void
  recordTokenInterval (tier: TierRecord, ms: number): void
  /** Counts tokens that were sent to a caller; the next `flush` reports them. */
  recordTokens (tier: TierRecord, count: number): void
  recordRequest (tier: TierRecord, outcome: Outcome, ms: number): void
  recordCallerDisconnect (tier: TierRecord): void
  recordRefusal (tier: TierRecord, code: RefusalCode): void
  /** Counts a service call by the outcome that its caller receives. */
  recordCall (tier: TierRecord, service: string, done: Pick<CallDone, 'outcome' | 'code' | 'replayed'>): void
  recordCallRetry (code: RefusalCode): void
  recordTicketIssued (service: string): void
  /** Reports the tokens counted since the last `flush`. */
  flush (): void
  /** Returns the number of requests that have ended; it stops growing while the process is stuck. */
  countFinished (): number
  status (): Record<string, unknown>
}

/**
 * Creates the counters; `onDone` is called for each request and call with the outcome `Done`.
 */
export function createEntryStats (metrics: Metrics, onDone: () => void): EntryStats {
  const outcomes: { [O in Outcome]: number } = { [Outcome.NotRun]: 0, [Outcome.Done]: 0, [Outcome.Unknown]: 0 }
  const tokensByTier = new Map<string, number>()
  let disconnectedCallers = 0
  let firstTokenMissed = 0

  function countOutcome (outcome: Outcome): void {
    outcomes[outcome] += 1
    if (outcome === Outcome.Done) onDone()
  }

  function recordRefusal (tier: TierRecord, code: RefusalCode): void {
    metrics.count(Metric.Refusals, 1, { tier: tier.name, code })
  }

  return {
    recordFirstToken (tier, ms) {
      metrics.timing(Metric.TimeToFirstToken, ms, { tier: tier.name })
      if (ms > tier.firstTokenMs) firstTokenMissed += 1
    },
    recordTokenInterval (tier, ms) {
      metrics.timing(Metric.TokenInterval, ms, { tier: tier.name })
    },
    recordTokens (tier, added) {
      tokensByTier.set(tier.name, (tokensByTier.get(tier.name) ?? 0) + added)
    },
    recordRequest (tier, outcome, ms) {
      countOutcome(outcome)
      metrics.count(Metric.Requests, 1, { tier: tier.name, outcome })
      metrics.timing(Metric.RequestTime, ms, { tier: tier.name })
    },
    recordCallerDisconnect (tier) {
      disconnectedCallers += 1
      metrics.count(Metric.CallersDisconnected, 1, { tier: tier.name })
    },
    recordRefusal,
    recordCall (tier, service, { outcome, code, replayed }) {
      countOutcome(outcome)
      metrics.count(Metric.Calls, 1, { service, outcome })
      if (replayed) metrics.count(Metric.CallsReplayed, 1, { service })
      if (outcome !== Outcome.Done) recordRefusal(tier, code ?? RefusalCode.BackendError)
    },
    recordCallRetry (code) {
      metrics.count(Metric.Retries, 1, { code })
    },
    recordTicketIssued (service) {
      metrics.count(Metric.TicketsIssued, 1, { service })
    },
    flush () {
      for (const [tier, tokens] of tokensByTier) metrics.count(Metric.Tokens, tokens, { tier })
      tokensByTier.clear()
    },
    countFinished: () => outcomes[Outcome.NotRun] + outcomes[Outcome.Done] + outcomes[Outcome.Unknown] + disconnectedCallers,
    status: () => ({ outcomes: { ...outcomes }, callersGone: disconnectedCallers, firstTokenMissed })
  }
}
