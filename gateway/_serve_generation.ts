/**
 * Serves generations: reserves memory at a decode engine, then has the prompt prefilled, then forwards the stream.
 */
import { Stage, stageOf } from '../core/fleet/mod.ts'
import { RefusalCode } from '../core/types/mod.ts'
import { createEventSplitter } from '../core/stream/mod.ts'
import { Count } from '../metrics/mod.ts'
import { forwardStream, StreamEnd } from './_forward_stream.ts'
import { areAllHeld, reserveAtEngine, releaseReservation, reserveMemory } from './_reserve_memory.ts'
import { freeKvCache, prefillWithRetry } from './_prefill.ts'
import { getReturnMs } from './_send_to_worker.ts'
import { StopReason } from './_types.ts'
import type { Worker } from '../core/fleet/mod.ts'
import type { EventSplitter } from '../core/stream/mod.ts'
import type { StreamResult } from './_forward_stream.ts'
import type { Reservation } from './_reserve_memory.ts'
import type { RequestResult, ClientRequest, GatewayContext } from './_types.ts'

/** Delay in milliseconds after which a client may retry when an engine has refused its request. */
const retryAfterMs = 700
/** Longest delay in milliseconds after which a client may retry for lack of memory: about the duration of one stream, which frees some. */
const maxMemoryRetryMs = 4_000
/** Longest such delay as a share of the client's remaining time; the protocol allows a third. */
const maxMemoryRetryShare = 0.3
/** Largest share by which such a delay is shortened at random, so that clients refused together do not retry together. */
const memoryRetryJitterShare = 0.4

/** Progress of one generation over its attempts. */
interface GenerationState {
  attempts: number
  /** Ids of the engines that are not asked again. */
  exclude: Set<string>
  /** True when an engine may have run the request. */
  mayHaveRun: boolean
  events?: EventSplitter
}

/** Serves one generation and returns its result. */
export async function serveGeneration (context: GatewayContext, request: ClientRequest): Promise<RequestResult> {
  const state: GenerationState = { attempts: 0, exclude: new Set(), mayHaveRun: false }
  if (request.route.mayResume) state.events = createEventSplitter(request.head.lastEventId)
  for (;;) {
    const startedMs = context.timer.now()
    if (isQuarantined(context, request)) return failRequest(context, request, state, 'prompt_quarantined')
    const reservation = await reserveMemory(context, request, state.exclude)
    const reservedAtMs = context.timer.now()
    context.metrics.count(Count.Reservations, { result: reservation === undefined ? 'refused' : 'taken' })
    if (reservation === undefined) return failRequest(context, request, state, findRefusalReason(context, request))
    const { worker, prefillEngine, tokens, held } = reservation
    const capacityFields = worker.capacity === undefined
      ? {}
      : { roomTokens: worker.capacity.freeTokens, roomAgeMs: Math.round(reservedAtMs - worker.capacity.receivedAtMs) }
    const waitedMs = Math.round(reservedAtMs - startedMs)
    context.log.info({
      request: request.requestId, worker: worker.entry.id, reader: prefillEngine?.entry.id, tokens, waitedMs, held, ...capacityFields
    }, 'reserved')
    // Other requests may have crashed engines while this one waited.
    const { kvCache, isRefused } = isQuarantined(context, request)
      ? { kvCache: undefined, isRefused: false }
      : await prefillWithRetry(context, request, prefillEngine)
    const isHeldBack = isQuarantined(context, request)
    const isOverBudget = isRefused && !context.retryBudget(request.service.name).take(context.timer.now())
    if (isHeldBack || isOverBudget || request.stopReason() !== undefined) {
      releaseReservation(context, reservation, request.requestId)
      if (kvCache !== undefined) freeKvCache(context, kvCache.worker, kvCache.handle)
      const reason = isHeldBack ? 'prompt_quarantined' : RefusalCode.RetryBudgetExhausted
      return failRequest(context, request, state, request.stopReason() ?? reason)
    }
    const prefilledAtMs = context.timer.now()
    state.attempts++
    const kvSource = kvCache === undefined ? undefined : { address: kvCache.worker.entry.address, handle: kvCache.handle }
    const result = await forwardWithFallback(context, request, state, reservation, kvSource)
    const fields = {
      ...result,
      holdMs: Math.round(reservedAtMs - startedMs),
      prefillMs: Math.round(prefilledAtMs - reservedAtMs),
      prefilled: kvCache?.worker.entry.id
    }
    state.mayHaveRun ||= result.end === StreamEnd.Lost
    if (result.end === StreamEnd.Completed || result.end === StreamEnd.Stopped) {
      return { ...fields, reason: result.detail || result.end, attempts: state.attempts }
    }
    const { end, status, detail, bytes, ranMs } = result
    const parts = request.head.sharedParts.join(' ')
    context.log.warn({
      request: request.requestId, attempt: state.attempts, worker: worker.entry.id, end, status, detail, bytes, ranMs, parts
    }, 'attempt failed')
    if (end === StreamEnd.Lost) context.metrics.count(Count.StreamsLost, { phase: bytes === 0 ? 'start' : 'midway' })
    if (kvCache !== undefined && end === StreamEnd.Refused) context.metrics.count(Count.WastedPrefillTokens, {}, request.head.promptTokens)
    if (!tryTakeRetry(context, request, state, result)) return { ...fields, ...failRequest(context, request, state, result.end) }
    context.metrics.count(Count.Retries, { service: request.service.name })
    context.log.warn({ request: request.requestId, afterEvent: state.events?.lastId(), attempts: state.attempts }, 'resuming')
    state.exclude.add(worker.entry.id)
    state.events?.reset()
  }
}

function isQuarantined (context: GatewayContext, request: ClientRequest): boolean {
  return context.promptGuard.find(request.head.sharedParts) !== undefined
}

/** Forwards a stream. When the engine refuses it with a KV cache to fetch, the same engine is asked once more, to run the prefill itself. */
async function forwardWithFallback (
  context: GatewayContext,
  request: ClientRequest,
  state: GenerationState,
  reservation: Reservation,
  kvSource: { address: string, handle: string } | undefined
): Promise<StreamResult> {
  const events = state.events === undefined ? {} : { events: state.events }
  if (kvSource === undefined) return await forwardStream(context, request, { reservation, ...events })
  const result = await forwardStream(context, request, { reservation, kvSource, ...events })
  if (result.end !== StreamEnd.Refused || !context.retryBudget(request.service.name).take(context.timer.now())) return result
  // The KV cache is gone, so the decode engine that was to fetch it runs the prefill itself; no other engine is asked.
  const renewed = await reserveAtEngine(context, request, reservation.worker, reservation.prefillEngine)
  return renewed.err ? result : await forwardStream(context, request, { reservation: renewed.val, ...events })
}

/** Takes a retry from the budget when a stream may resume at another engine, within its attempts and its deadline; returns whether it may. */
function tryTakeRetry (context: GatewayContext, request: ClientRequest, state: GenerationState, result: StreamResult): boolean {
  if (!request.route.mayResume || state.attempts >= request.route.maxAttempts || request.stopReason() !== undefined) return false
  const isLost = result.end === StreamEnd.Lost || result.end === StreamEnd.Refused
  return isLost && context.retryBudget(request.service.name).take(context.timer.now())
}

/** Ends a request that no engine serves: aborts a partial response, and tells the client to retry only when the request has not run. */
function failRequest (context: GatewayContext, request: ClientRequest, state: GenerationState, reason: string): RequestResult {
  const { attempts, mayHaveRun } = state
  const failure = { status: mayHaveRun ? 502 : 503, reason, attempts }
  if (request.stopReason() === StopReason.ClientDisconnected) return failure
  if (request.reply.hasBegun()) request.reply.abort()
  else if (mayHaveRun) request.reply.sendLocal({ status: 502, reason })
  else request.reply.sendLocal({ status: 503, reason, retryAfterMs: getRetryAfterMs(context, request, reason) })
  return failure
}

function listDecodeEngines (context: GatewayContext, request: ClientRequest): Worker[] {
  return context.directory.fleet.serving(request.service.name).filter((worker) => stageOf(worker) !== Stage.Prefill)
}

/** Returns why no engine has reserved memory. */
function findRefusalReason (context: GatewayContext, request: ClientRequest): string {
  const engines = listDecodeEngines(context, request)
  return areAllHeld(context, engines) && getReturnMs(context, engines) !== undefined ? 'worker_retry_after' : 'no_memory'
}

/** Returns the delay in milliseconds after which a client may retry a request that failed for the given reason. */
function getRetryAfterMs (context: GatewayContext, request: ClientRequest, reason: string): number {
  if (reason === 'no_memory') return getMemoryRetryMs(context, request)
  if (reason === 'worker_retry_after') return getReturnMs(context, listDecodeEngines(context, request)) ?? retryAfterMs
  return Math.round(context.promptGuard.find(request.head.sharedParts)?.remainingMs ?? retryAfterMs)
}

/** Returns the delay in milliseconds after which a client may retry for lack of memory. */
function getMemoryRetryMs (context: GatewayContext, request: ClientRequest): number {
  const leftMs = Math.max(0, request.deadlineMs - context.timer.now())
  return Math.round(Math.min(maxMemoryRetryMs, leftMs * maxMemoryRetryShare) * (1 - memoryRetryJitterShare * context.random()))
}
