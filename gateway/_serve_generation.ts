/**
 * Serves generations: reserves memory at a decode engine, then has the prompt prefilled, then forwards the stream.
 */
import { createEventSplitter } from '../core/stream/mod.ts'
import { Count } from '../metrics/mod.ts'
import { forwardStream, StreamEnd } from './_forward_stream.ts'
import { findCallerReply } from './_identify_caller.ts'
import { prepareAttempt, releaseAttempt } from './_prepare_attempt.ts'
import { areAllHeld, listDecodeEngines, reserveAtEngine } from './_reserve_memory.ts'
import { askAgainMs, describeMissing, mayVersionServe, versionGone, versionPrefills, viewOld } from './_resume_stream.ts'
import { getReturnMs } from './_send_to_worker.ts'
import { StopReason } from './_types.ts'
import type { EventSplitter } from '../core/stream/mod.ts'
import type { Worker } from '../core/fleet/mod.ts'
import type { Origin } from '../core/origin/mod.ts'
import type { StreamResult } from './_forward_stream.ts'
import type { PreparedAttempt } from './_prepare_attempt.ts'
import type { Reservation } from './_reserve_memory.ts'
import type { ResumedStream } from './_resume_stream.ts'
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
  /** What began the stream; absent until it has an event. It goes on at the same software version only. */
  origin?: Origin
}

/** Serves one generation, or the rest of one whose client takes it up, and returns its result. */
export async function serveGeneration (context: GatewayContext, { request, origin }: ResumedStream): Promise<RequestResult> {
  const state: GenerationState = { attempts: 0, exclude: new Set(), mayHaveRun: false, ...(origin === undefined ? {} : { origin }) }
  if (request.route.mayResume) state.events = createEventSplitter(request.head.lastEventId)
  let prepared: PreparedAttempt | undefined
  for (;;) {
    if (prepared === undefined) {
      const result = await prepareAttempt(context, request, { exclude: state.exclude, takesRetry: false, softwareVersion: state.origin?.softwareVersion })
      if (result.err) return failRequest(context, request, state, result.val === 'no_memory' ? findRefusalReason(context, request, state) : result.val)
      prepared = result.val
    }
    const { reservation: { worker }, kvCache, holdMs, prefillMs } = prepared
    state.attempts++
    const { next, ...result } = await forwardWithFallback(context, request, state, prepared)
    const fields = { ...result, holdMs, prefillMs, prefilled: kvCache?.worker.entry.id }
    state.mayHaveRun ||= result.end === StreamEnd.Lost
    if (result.end === StreamEnd.Completed || result.end === StreamEnd.Stopped) {
      return { ...fields, reason: result.detail || result.end, attempts: state.attempts }
    }
    recordFailedAttempt(context, request, state, prepared, result)
    prepared = await next
    if (prepared !== undefined && (!fitsOrigin(state, prepared) || !request.reply.canChangeWorker())) {
      releaseAttempt(context, request, prepared)
      prepared = undefined
    }
    if (prepared !== undefined && request.stopReason() !== undefined) {
      releaseAttempt(context, request, prepared)
      return { ...fields, ...failRequest(context, request, state, result.end) }
    }
    // The retry of an attempt that was prepared during a silence has been taken from the budget already.
    if (prepared === undefined && !tryTakeRetry(context, request, state, result)) {
      return { ...fields, ...failRequest(context, request, state, result.end) }
    }
    context.metrics.count(Count.Retries, { service: request.service.name })
    context.log.warn({ request: request.requestId, afterEvent: state.events?.lastId(), attempts: state.attempts }, 'resuming')
    state.exclude.add(worker.entry.id)
    state.events?.reset()
  }
}

function recordFailedAttempt (
  context: GatewayContext, request: ClientRequest, state: GenerationState, { reservation, kvCache }: PreparedAttempt, result: StreamResult
): void {
  const { end, status, detail, bytes, framing, ranMs, connection } = result
  const parts = request.head.sharedParts.join(' ')
  context.log.warn({
    request: request.requestId,
    attempt: state.attempts,
    worker: reservation.worker.entry.id,
    end,
    status,
    detail,
    bytes,
    framing,
    ranMs,
    connection,
    parts,
    canChangeWorker: request.reply.canChangeWorker()
  }, 'attempt failed')
  if (end === StreamEnd.Lost) context.metrics.count(Count.StreamsLost, { phase: bytes === 0 ? 'start' : 'midway' })
  if (kvCache !== undefined && end === StreamEnd.Refused) context.metrics.count(Count.WastedPrefillTokens, {}, request.head.promptTokens)
}

/** Prepares the attempt that goes on with a silent stream, if the attempts and the retry budget allow one. */
async function seekReplacement (
  context: GatewayContext, search: ClientRequest, state: GenerationState, silent: Worker
): Promise<PreparedAttempt | undefined> {
  if (state.attempts >= search.route.maxAttempts || !search.reply.canChangeWorker()) return undefined
  if (context.retryBudget(search.service.name).remaining(context.timer.now()) < 1) return undefined
  const exclude = new Set([...state.exclude, silent.entry.id])
  const result = await prepareAttempt(context, search, { exclude, takesRetry: true, softwareVersion: state.origin?.softwareVersion })
  return result.ok ? result.val : undefined
}

/** Tells whether a stream may go on at the engine of an attempt, which may have been sought before the stream had an event. */
function fitsOrigin ({ origin }: GenerationState, { reservation }: PreparedAttempt): boolean {
  return origin === undefined || origin.softwareVersion === reservation.softwareVersion
}

/** Records what begins the stream, before the client has an event of it. */
function recordOrigin (context: GatewayContext, request: ClientRequest, state: GenerationState, { softwareVersion }: Reservation): void {
  state.origin ??= { service: request.service.name, softwareVersion }
  context.streamOrigins.record({ requestId: request.requestId, ...state.origin })
}

/** Forwards a stream. When the engine refuses it with a KV cache to fetch, the same engine is asked once more, to run the prefill itself. */
async function forwardWithFallback (
  context: GatewayContext, request: ClientRequest, state: GenerationState, { reservation, kvCache }: PreparedAttempt
): Promise<StreamResult> {
  const { worker, prefillEngine } = reservation
  const seek = (search: ClientRequest): Promise<PreparedAttempt | undefined> => seekReplacement(context, search, state, worker)
  const onEvents = (): void => recordOrigin(context, request, state, reservation)
  const resumption = state.events === undefined ? {} : { resumption: { events: state.events, seek, onEvents } }
  if (kvCache === undefined) return await forwardStream(context, request, { reservation, ...resumption })
  const kvSource = { address: kvCache.worker.entry.address, handle: kvCache.handle }
  const result = await forwardStream(context, request, { reservation, kvSource, ...resumption })
  if (result.end !== StreamEnd.Refused || result.next !== undefined) return result
  context.log.info({ request: request.requestId, worker: worker.entry.id, connection: result.connection }, 'KV cache not fetched')
  if (findCallerReply(request) !== undefined || !context.retryBudget(request.service.name).take(context.timer.now())) return result
  // The KV cache is gone, so the decode engine that was to fetch it runs the prefill itself; no other engine is asked.
  const renewed = await reserveAtEngine(context, request, worker, prefillEngine)
  return renewed.err ? result : await forwardStream(context, request, { reservation: renewed.val, ...resumption })
}

/** Takes a retry from the budget when a stream may resume at another engine, within its attempts and its deadline; returns whether it may. */
function tryTakeRetry (context: GatewayContext, request: ClientRequest, state: GenerationState, result: StreamResult): boolean {
  if (!request.route.mayResume || state.attempts >= request.route.maxAttempts || !request.reply.canChangeWorker()) return false
  if (request.stopReason() !== undefined || findCallerReply(request) !== undefined) return false
  const isLost = result.end === StreamEnd.Lost || result.end === StreamEnd.Refused
  return isLost && context.retryBudget(request.service.name).take(context.timer.now())
}

/** Ends a request that no engine serves: aborts a partial response, and tells the client to retry only when the request has not run. */
function failRequest (context: GatewayContext, request: ClientRequest, state: GenerationState, reason: string): RequestResult {
  const { attempts, mayHaveRun } = state
  const callerReply = findCallerReply(request)
  const status = mayHaveRun ? 502 : callerReply?.status ?? 503
  const failure = { status, reason: callerReply?.reason ?? reason, attempts }
  if (request.stopReason() === StopReason.ClientDisconnected) return failure
  if (request.reply.hasBegun()) request.reply.abort()
  else if (mayHaveRun) request.reply.sendLocal({ status, reason: failure.reason })
  else if (callerReply !== undefined) request.reply.sendLocal(callerReply)
  else if (reason === versionGone) request.reply.sendLocal({ status, reason })
  else request.reply.sendLocal({ status: 503, reason, retryAfterMs: getRetryAfterMs(context, request, reason) })
  return failure
}

/** Returns why no engine has reserved memory. */
function findRefusalReason (context: GatewayContext, request: ClientRequest, { origin }: GenerationState): string {
  if (origin !== undefined && !mayVersionServe(context, request, origin)) return describeMissing(context).reason
  const engines = listDecodeEngines(context, request, origin?.softwareVersion)
  if (origin !== undefined && engines.length === 0) return versionPrefills
  return areAllHeld(context, engines) && getReturnMs(context, engines) !== undefined ? 'worker_retry_after' : 'no_memory'
}

/** Returns the delay in milliseconds after which a client may retry a request that failed for the given reason. */
function getRetryAfterMs (context: GatewayContext, request: ClientRequest, reason: string): number {
  if (reason === 'no_memory' || reason === versionPrefills) return getMemoryRetryMs(context, request)
  if (reason === viewOld) return askAgainMs
  if (reason === 'worker_retry_after') return getReturnMs(context, listDecodeEngines(context, request)) ?? retryAfterMs
  return Math.round(context.promptGuard.find(request.head.sharedParts)?.remainingMs ?? retryAfterMs)
}

/** Returns the delay in milliseconds after which a client may retry for lack of memory. */
function getMemoryRetryMs (context: GatewayContext, request: ClientRequest): number {
  const leftMs = Math.max(0, request.deadlineMs - context.timer.now())
  return Math.round(Math.min(maxMemoryRetryMs, leftMs * maxMemoryRetryShare) * (1 - memoryRetryJitterShare * context.random()))
}
