/**
 * Chooses the engine for the prefill of a prompt, and has it run the prefill.
 */
import { HoldReason, SendRank, smooth, Stage, stageOf, takeSendPlace } from '../core/fleet/mod.ts'
import {
  canPrefillWithinPause, choosePrefillPlace, PrefillPlace, recordPrefill
} from '../core/prefill/mod.ts'
import { callJson } from '../exchange/mod.ts'
import { decodeKvCacheHandle, buildFreeKvCacheCall } from '../platform/mod.ts'
import { checkWorker, recordCallAnswer } from './_check_worker.ts'
import { estimateLeftMs, estimatePrefillAtDecodeMs, estimatePrefillMs, minMeasuredTokens } from './_prefill_times.ts'
import { sendToWorker } from './_send_to_worker.ts'
import type { Worker } from '../core/fleet/mod.ts'
import type { ClientRequest, GatewayContext } from './_types.ts'

/** Timeout in milliseconds of the call that frees a KV cache. */
const freeTimeoutMs = 400
/** Time in milliseconds for which an engine that refused a prefill is not asked for another; the store reports a changed stage within it. */
const refusalPauseMs = 2_000
/** Time in milliseconds from the end of the prefill to the first event: the transfer of the KV cache, and the tokens of one event. */
const firstEventMs = 80
/** Largest response to a prefill in bytes; it names a handle and some numbers. */
const maxResponseBytes = 65_536
/** A prefill counts as lost after this many times the expected time, plus a margin in milliseconds. */
const timeoutFactor = 2
const timeoutMarginMs = 150
/** Number of times that the wait is extended while the engine works on other prompts. */
const maxExtensions = 2
/** Cost in milliseconds of a lost response in the choice of an engine; about the time until the loss is detected. */
const lossCostMs = 400
/**
 * Cost in milliseconds of a prefill engine of another software version in that choice. The versions of engines come apart in a release, and
 * without any prefill engine the prompts would delay the streams of the decode engines.
 */
const otherVersionCostMs = 200
/** A client whose deadline is shorter than this share of the route's timeout has come back after a refusal. */
const returningDeadlineShare = 0.97

/** Returns the prefill engine with the lowest estimated cost for a decode engine; undefined when none can be asked. */
function findFastestPrefillEngine (context: GatewayContext, request: ClientRequest, decodeEngine: Worker): Worker | undefined {
  const nowMs = context.timer.now()
  const ranked = context.directory.fleet.serving(request.service.name)
    .filter((worker) => stageOf(worker) === Stage.Prefill && (worker.prefillRetryAtMs ?? 0) <= nowMs)
    .map((worker) => ({ worker, rank: checkWorker(context, worker, request.head.sharedParts).rank }))
  const bestRank = Math.min(SendRank.Leaving, ...ranked.map(({ rank }) => rank))
  const engines = ranked.filter(({ rank }) => rank === bestRank).map(({ worker }) => worker)
  const cost = (worker: Worker): number => estimateCostMs(context, request, worker) + getVersionCostMs(worker, decodeEngine)
  return engines.sort((a, b) => cost(a) - cost(b))[0]
}

/** Returns the cost in milliseconds of a KV cache that comes from another software version. */
function getVersionCostMs (worker: Worker, decodeEngine: Worker): number {
  return worker.entry.softwareVersion === decodeEngine.entry.softwareVersion ? 0 : otherVersionCostMs
}

/** Estimates the time in milliseconds until a prefill engine has finished the prompt, plus the expected cost of lost responses. */
function estimateCostMs (context: GatewayContext, request: ClientRequest, worker: Worker): number {
  return estimatePrefillMs(context, request, worker) + worker.failureShare * lossCostMs
}

/** Where a prompt is prefilled, and the engine when that is a prefill engine. */
export interface PrefillPlan {
  place: PrefillPlace
  engine: Worker | undefined
  /** Expected times in milliseconds, for the log. */
  prefillEngineMs: number | undefined
  decodeEngineMs: number
}

/** Returns whether a client has come back after a refusal: its deadline is shorter than that of a first request. */
export function isReturning (request: ClientRequest): boolean {
  return (request.head.deadlineMs ?? Infinity) < returningDeadlineShare * request.route.timeoutMs
}

/** Configures a plan. */
export interface PlanPrefillOptions {
  /** Decode engine that would run the prefill otherwise. */
  decodeEngine: Worker
  /** True when the decode engines that have memory for the request run prefills already. */
  areDecodeEnginesBusy: boolean
  /** True when the request cannot reach its target latency any more, because its client has come back or its stream was lost. */
  isLate: boolean
}

/** Plans the prefill of a request. */
export function planPrefill (context: GatewayContext, request: ClientRequest, options: PlanPrefillOptions): PrefillPlan {
  const engine = findFastestPrefillEngine(context, request, options.decodeEngine)
  const { targetLatencyMs, longestPauseMs } = request.route
  // A late request may wait for the whole target from now on.
  const sinceMs = options.isLate ? context.timer.now() : request.startedMs
  const prefillEngineMs = engine === undefined ? undefined : estimateCostMs(context, request, engine)
  const decodeEngineMs = estimatePrefillAtDecodeMs(context, request, options.decodeEngine)
  const place = choosePrefillPlace({
    ...(prefillEngineMs === undefined ? {} : { prefillEngineMs }),
    decodeEngineMs,
    leftMs: sinceMs + targetLatencyMs - context.timer.now() - firstEventMs,
    targetLatencyMs,
    longestPauseMs,
    areDecodeEnginesBusy: options.areDecodeEnginesBusy,
    isMeasured: !context.workerLoads.isKnown() || context.workerLoads.readMsPerToken(options.decodeEngine) !== undefined
  })
  return { place, engine: place === PrefillPlace.PrefillEngine ? engine : undefined, prefillEngineMs, decodeEngineMs }
}

/** The result of a prefill at a prefill engine. */
export interface PrefillResult {
  /** The KV cache and the engine that has it; absent when there is none. */
  kvCache?: { worker: Worker, handle: string }
  /** True when the engine refused the call, which counts against the retry budget. */
  isRefused: boolean
  /** True when the response was lost; the engine may have run the prefill. */
  isLost: boolean
}

const withoutKvCache: PrefillResult = { isRefused: false, isLost: false }

/**
 * Has the given engine run the prefill; does nothing without an engine. When the response is lost and a prefill at the decode engine
 * would delay its streams too long, a prefill engine runs it once more. When the result has no KV cache, the decode engine runs it.
 */
export async function prefillWithRetry (
  context: GatewayContext, request: ClientRequest, engine: Worker | undefined, decodeEngine: Worker
): Promise<PrefillResult> {
  if (engine === undefined) return withoutKvCache
  const result = await runPrefill(context, request, engine)
  if (!result.isLost || request.stopReason() !== undefined) return result
  if (canPrefillWithinPause(estimatePrefillAtDecodeMs(context, request, decodeEngine), request.route.longestPauseMs)) return result
  const secondEngine = findFastestPrefillEngine(context, request, decodeEngine)
  if (secondEngine === undefined || !context.retryBudget(request.service.name).take(context.timer.now())) return result
  context.log.warn({ request: request.requestId, reader: engine.entry.id, other: secondEngine.entry.id }, 'prompt read again')
  return await runPrefill(context, request, secondEngine)
}

/** Has an engine run the prefill. */
function runPrefill (context: GatewayContext, request: ClientRequest, worker: Worker): Promise<PrefillResult> {
  const isIdle = worker.ownQueuedPromptTokens === 0 && worker.capacity?.waitingRequests === 0
  const startedMs = context.timer.now()
  const timeoutMs = timeoutFactor * estimatePrefillMs(context, request, worker) + timeoutMarginMs
  takeSendPlace(worker, startedMs)
  worker.ownQueuedPromptTokens += request.head.promptTokens
  worker.typicalPromptTokens = smooth(worker.typicalPromptTokens, request.head.promptTokens)
  return new Promise((resolve) => {
    const chunks: Buffer[] = []
    let bytes = 0
    let status = 0
    let isSettled = false
    let extensions = 0
    let timeout = context.timer.after(timeoutMs, onTimeout)

    function onTimeout (): void {
      const moreMs = extensions++ < maxExtensions ? estimateLeftMs(context, request, worker) : 0
      if (moreMs > 0) {
        timeout = context.timer.after(moreMs, onTimeout)
        return
      }
      exchange.abort()
      settleLost(`no response within ${Math.round(context.timer.now() - startedMs)} ms`)
    }

    function settle (handle: string | undefined, { isRefused = false, isLost = false } = {}): void {
      if (isSettled) return
      isSettled = true
      timeout.cancel()
      worker.ownQueuedPromptTokens -= request.head.promptTokens
      if (handle !== undefined || isLost) context.directory.fleet.recordResult(worker, { failed: isLost })
      resolve(handle === undefined ? { isRefused, isLost } : { kvCache: { worker, handle }, isRefused, isLost })
    }

    function settleLost (reason: string): void {
      context.log.warn({ request: request.requestId, reader: worker.entry.id, reason }, 'prompt lost')
      settle(undefined, { isLost: true })
    }

    const exchange = sendToWorker(context, request, worker, { prefill: true }, {
      onHead (head) { status = head.status },
      onData (chunk) {
        bytes += chunk.length
        chunks.push(chunk)
        if (bytes <= maxResponseBytes) return
        exchange.abort()
        settleLost(`the response is longer than ${maxResponseBytes} bytes`)
      },
      onEnd () {
        const tookMs = context.timer.now() - startedMs - context.roundTripMs(worker.entry.zone)
        if (isIdle && status === 200 && request.head.promptTokens >= minMeasuredTokens) recordPrefill(worker, tookMs / request.head.promptTokens)
        const handle = status === 200 ? decodeKvCacheHandle(parse(Buffer.concat(chunks))) : undefined
        if (handle === undefined) settleLost(`the response with status ${status} names no KV cache`)
        else settle(handle)
      },
      onRefused ({ hasArrived }) {
        // The engine may have changed its stage; asking it for every prompt would exhaust the retry budget.
        if (hasArrived) worker.prefillRetryAtMs = context.timer.now() + refusalPauseMs
        settle(undefined, { isRefused: hasArrived })
      },
      onLost: ({ reason }) => settleLost(reason)
    })
    request.onStop(() => {
      if (isSettled) return
      exchange.abort()
      settle(undefined)
    })
  })
}

function parse (body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'))
  } catch {
    return undefined // Invalid JSON names no KV cache, so the decode engine runs the prefill itself.
  }
}

/** Frees a KV cache that no engine will fetch. */
export function freeKvCache (context: GatewayContext, worker: Worker, handle: string): void {
  const { timer, controlPool: pool } = context
  // An engine that wants no requests for a time frees the KV cache when it expires.
  if (checkWorker(context, worker).reason === HoldReason.RetryAfter) return
  callJson(worker.entry.address, buildFreeKvCacheCall(handle), { pool, timer, timeoutMs: freeTimeoutMs })
    .then((response) => { if (response.ok) recordCallAnswer(context, worker, response.val) })
}
