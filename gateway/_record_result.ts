/**
 * Records the result of a request in the metrics.
 */
import { Count, Latency } from '../metrics/mod.ts'
import type { PrometheusMetrics } from '../metrics/mod.ts'
import type { ClientRequest, RequestResult } from './_types.ts'

/** Counts a request by its result, and observes the times in milliseconds that are known of it. */
export function recordResult (metrics: PrometheusMetrics, request: ClientRequest, result: RequestResult, tookMs: number): void {
  const reason = result.reason.length > 0 ? result.reason : 'answered'
  metrics.count(Count.Requests, { service: request.service.name, status: String(result.status), reason })
  metrics.observe(Latency.Request, tookMs)
  const latencies: Array<[Latency, number | undefined]> = [
    [Latency.FirstEvent, result.firstMs], [Latency.Pause, result.pauseMs], [Latency.Reservation, result.holdMs], [Latency.Prefill, result.prefillMs]
  ]
  for (const [metric, ms] of latencies) if (ms !== undefined) metrics.observe(metric, ms)
}
