/**
 * Records the result of a request in the log and the metrics.
 */
import { Count, Latency } from '../metrics/mod.ts'
import type { ClientRequest, GatewayContext, RequestResult } from './_types.ts'

/** Lowest status that is logged as a failure. */
const minFailureStatus = 400

/** Logs and counts a request by its result, and observes the times in milliseconds that are known of it. */
export function recordResult (context: GatewayContext, request: ClientRequest, result: RequestResult, tookMs: number): void {
  const { metrics, log } = context
  const { promptTokens, maxOutputTokens, likelyOutputTokens, sharedParts } = request.head
  const size = promptTokens === 0 ? {} : { promptTokens, maxOutputTokens, likelyOutputTokens, parts: sharedParts.join(' ') }
  const fields = {
    request: request.requestId,
    route: request.route.name,
    organisation: request.organisation?.name,
    priority: request.priority,
    service: request.service.name,
    version: context.directory.routeTable()?.version,
    tookMs,
    ...size,
    ...result
  }
  if (result.status >= minFailureStatus) log.warn(fields, 'ended')
  else log.info(fields, 'ended')
  const reason = result.reason.length > 0 ? result.reason : 'answered'
  metrics.count(Count.Requests, { service: request.service.name, status: String(result.status), reason })
  metrics.observe(Latency.Request, tookMs)
  const latencies: Array<[Latency, number | undefined]> = [
    [Latency.FirstEvent, result.firstMs], [Latency.Pause, result.pauseMs], [Latency.Reservation, result.holdMs], [Latency.Prefill, result.prefillMs]
  ]
  for (const [metric, ms] of latencies) if (ms !== undefined) metrics.observe(metric, ms)
}
