/**
 * The times that engines are expected to take for a prompt.
 */
import { defaultPrefillMsPerToken, estimatePrefillAtMs, recordDecodePrefill } from '../core/prefill/mod.ts'
import type { Worker } from '../core/fleet/mod.ts'
import type { ClientRequest, GatewayContext } from './_types.ts'

/** Prompts below this length in tokens measure the path to the engine more than its speed. */
export const minMeasuredTokens = 1_000
/** Age in milliseconds up to which a report shows that its engine works; sidecars send at least every 500 ms. */
const maxReportAgeMs = 700

/** Estimates the time in milliseconds until a prefill engine has finished a prompt, behind those that are queued there. */
export function estimatePrefillMs (context: GatewayContext, request: ClientRequest, worker: Worker): number {
  const perTokenMs = worker.prefillMsPerToken ?? defaultPrefillMsPerToken
  const queuedTokens = Math.max(
    worker.ownQueuedPromptTokens, (worker.capacity?.waitingRequests ?? 0) * (worker.typicalPromptTokens ?? request.head.promptTokens)
  )
  return (queuedTokens + request.head.promptTokens) * perTokenMs + context.roundTripMs(worker.entry.zone)
}

/** Estimates the time in milliseconds that the prefill of a request takes at a decode engine. */
export function estimatePrefillAtDecodeMs (context: GatewayContext, request: ClientRequest, worker: Worker): number {
  const { promptTokens } = request.head
  const msPerToken = context.workerLoads.readMsPerToken(worker)
  if (msPerToken !== undefined) return promptTokens * msPerToken
  return estimatePrefillAtMs(promptTokens, worker, context.directory.fleet.serving(request.service.name))
}

/** Records the time in milliseconds that a decode engine took from a request to its first event, when it ran the prefill itself. */
export function recordPrefillAtDecode (context: GatewayContext, request: ClientRequest, worker: Worker, tookMs: number): void {
  const { promptTokens } = request.head
  if (promptTokens < minMeasuredTokens) return
  const msPerToken = Math.max(0, tookMs - context.roundTripMs(worker.entry.zone)) / promptTokens
  recordDecodePrefill(worker, msPerToken)
  context.workerLoads.recordRead(worker, msPerToken)
}

/**
 * Estimates the time in milliseconds in which a prefill engine works off the prompts that it still has, by the newest report of its sidecar; 0
 * when it has none or does not report. Prompts that others sent after the choice may be ahead of one that was expected sooner.
 */
export function estimateLeftMs (context: GatewayContext, request: ClientRequest, worker: Worker): number {
  const { capacity, typicalPromptTokens = request.head.promptTokens, prefillMsPerToken = defaultPrefillMsPerToken } = worker
  if (capacity === undefined || context.timer.now() - capacity.receivedAtMs > maxReportAgeMs) return 0
  return capacity.waitingRequests * typicalPromptTokens * prefillMsPerToken
}
