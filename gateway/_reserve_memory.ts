/**
 * Reserves memory of engines for generations.
 */
import { HoldReason, isFailing, SendRank, Stage, stageOf } from '../core/fleet/mod.ts'
import { PrefillPlace } from '../core/prefill/mod.ts'
import { Err, Ok } from '../core/results/mod.ts'
import { RefusalCode } from '../core/types/mod.ts'
import { callJson, FailureKind } from '../exchange/mod.ts'
import { buildReleaseCall, buildReportCall, buildReserveCall, decodeEngineReport, decodeReservationId } from '../platform/mod.ts'
import { checkWorker, getEarliestMs, mayStart, recordCallAnswer, recordHeld } from './_check_worker.ts'
import { isReturning, planPrefill } from './_prefill.ts'
import { estimatePrefillAtDecodeMs } from './_prefill_times.ts'
import type { Result } from '../core/results/mod.ts'
import type { Worker } from '../core/fleet/mod.ts'
import type { PrefillPlan } from './_prefill.ts'
import type { ClientRequest, GatewayContext } from './_types.ts'

/** Timeout in milliseconds of a call that reserves or releases memory; the call takes two trips and no computation. */
const reservationTimeoutMs = 400
/** Delay in milliseconds between two rounds of attempts to reserve memory. */
const reservationRetryMs = 60
/** Share of the target latency for which a request waits for memory; the rest is for the prefill. */
const reservationWaitShare = 0.55
/** Time in milliseconds for which the request of a retrying client waits for memory. */
const retryingWaitMs = 500
/** Engines allocate memory in blocks of this many tokens. */
const blockTokens = 16

/** Memory that a decode engine has reserved for one generation. */
export interface Reservation {
  worker: Worker
  /** The engine for the prefill; undefined when the decode engine runs it. */
  prefillEngine: Worker | undefined
  /** Id of the reservation at the engine. */
  id: string
  tokens: number
  /** Software version of the engine when the memory was reserved. */
  softwareVersion: string
  /** Engines of the service that the choice held back, with the reasons, for the log. */
  held?: string | undefined
}

/** Returns the most tokens that a request may need, in whole blocks and with one block to spare. */
function countReservedTokens (request: ClientRequest): number {
  const { promptTokens, maxOutputTokens } = request.head
  return Math.ceil((promptTokens + maxOutputTokens) / blockTokens) * blockTokens + blockTokens
}

/** Cost of a distant engine in tokens of free memory for each millisecond of round trip time. */
const distanceCostTokensPerMs = 100

/** Sorts engines in the order in which they are asked: those that fail their streams last, and else the one with the most room first. */
function sortByRoom (context: GatewayContext, engines: Worker[], memoryTokens: number): Worker[] {
  const nowMs = context.timer.now()
  const score = (worker: Worker): number => scoreFreeTokens(context, worker, memoryTokens)
  return engines.sort((a, b) => Number(isFailing(a, nowMs)) - Number(isFailing(b, nowMs)) || score(b) - score(a))
}

/** Returns the free tokens of an engine, less the cost of its distance. */
function scoreFreeTokens (context: GatewayContext, worker: Worker, memoryTokens: number): number {
  const free = worker.capacity === undefined ? memoryTokens - worker.ownTokens : worker.capacity.freeTokens
  return free - distanceCostTokensPerMs * context.roundTripMs(worker.entry.zone)
}

function round (ms: number | undefined): number | undefined {
  return ms === undefined ? undefined : Math.round(ms)
}

/** Returns whether all of some engines want no requests for a time or take none any more. */
export function areAllHeld (context: GatewayContext, engines: readonly Worker[]): boolean {
  return engines.length > 0 && engines.every((worker) => checkWorker(context, worker).rank >= SendRank.Held)
}

/** Returns the engines that take a stream now; one that leaves only when no other does. */
function listOpenEngines (context: GatewayContext, request: ClientRequest, engines: readonly Worker[]): Worker[] {
  const ranked = engines.map((worker) => ({ worker, rank: checkWorker(context, worker, request.head.sharedParts).rank }))
  // The sidecar of an engine keeps the limit of its rate for all gateways, so the rank of the limit is that of an open engine.
  const open = ranked.filter(({ rank }) => rank === SendRank.Open || rank === SendRank.Delayed)
  return (open.length > 0 ? open : ranked.filter(({ rank }) => rank === SendRank.Leaving)).map(({ worker }) => worker)
}

/** Which engines are asked for memory. */
export interface EngineFilter {
  /** Ids of the engines that are not asked. */
  exclude: ReadonlySet<string>
  /** Software version of the engines that are asked; those of any version when it is absent. */
  softwareVersion?: string | undefined
}

/** Returns the engines of a request's service that generate, or will when their stage has changed back: of one software version if it is given. */
export function listDecodeEngines (context: GatewayContext, request: ClientRequest, softwareVersion?: string): Worker[] {
  return context.directory.fleet.serving(request.service.name).filter((worker) =>
    stageOf(worker) !== Stage.Prefill && (softwareVersion === undefined || worker.entry.softwareVersion === softwareVersion))
}

/** Reserves memory at an engine; returns undefined when no engine grants it in time, or when the request has stopped. */
export async function reserveMemory (
  context: GatewayContext, request: ClientRequest, { exclude, softwareVersion }: EngineFilter
): Promise<Reservation | undefined> {
  const { timer, directory } = context
  // A retrying client has already missed its target latency: it may wait longer, and a second refusal has no benefit.
  const isBack = isReturning(request)
  // A stream that goes on has lost its time already.
  const goesOn = exclude.size > 0 || softwareVersion !== undefined
  const untilMs = (goesOn ? timer.now() : request.startedMs) +
    (isBack ? retryingWaitMs : reservationWaitShare * request.route.targetLatencyMs)
  const memoryTokens = request.service.engine?.memoryTokens ?? 0
  /** Number of refusals of engines by their code. */
  const refusals: { [code: string]: number } = {}
  let plan: PrefillPlan | undefined
  const held = recordHeld(context, request.service.name, directory.fleet.serving(request.service.name))
  const logNotReserved = (engines: Worker[]): undefined => {
    const rooms = engines.map(({ entry, capacity }) => `${entry.id}:${capacity?.freeTokens ?? 'unknown'}`)
    context.log.warn({
      request: request.requestId,
      promptTokens: request.head.promptTokens,
      rooms,
      isBack,
      place: plan?.place,
      prefillEngineMs: round(plan?.prefillEngineMs),
      decodeEngineMs: round(plan?.decodeEngineMs),
      refusals,
      held,
      stopped: request.stopReason()
    }, 'not reserved')
    return undefined
  }
  for (;;) {
    const decodeEngines = listDecodeEngines(context, request, softwareVersion).filter(({ entry }) => !exclude.has(entry.id))
    const engines = sortByRoom(context, listOpenEngines(context, request, decodeEngines), memoryTokens)
    if (softwareVersion !== undefined && decodeEngines.length === 0) return logNotReserved(engines)
    if (areAllHeld(context, decodeEngines) && timer.now() + (getEarliestMs(context, decodeEngines) ?? Infinity) > untilMs) return logNotReserved(engines)
    const prefilling: Worker[] = []
    for (const candidates of [engines, prefilling]) {
      for (const worker of candidates) {
        if (request.stopReason() !== undefined) return logNotReserved(engines)
        if (worker.capacity !== undefined && worker.capacity.freeTokens < request.head.promptTokens) continue
        // Engines that refused because they run a prefill are asked again with a separate prefill engine, once all others have refused.
        plan = planPrefill(context, request, { decodeEngine: worker, areDecodeEnginesBusy: candidates === prefilling, isLate: isBack || goesOn })
        if (plan.place === PrefillPlace.Later) continue
        const reservation = await reserveAtEngine(context, request, worker, plan.engine)
        if (reservation.ok) return { ...reservation.val, held }
        refusals[reservation.val] = (refusals[reservation.val] ?? 0) + 1
        if (reservation.val === RefusalCode.TargetMissed) prefilling.push(worker)
        if (timer.now() > untilMs) return logNotReserved(engines)
      }
    }
    if (request.stopReason() !== undefined || timer.now() + reservationRetryMs > untilMs) return logNotReserved(engines)
    await new Promise<void>((resolve) => { timer.after(reservationRetryMs, resolve) })
  }
}

/** Reserves memory through the engine's sidecar, or, when it is not connected, the most that the request may need at the engine itself. */
export async function reserveAtEngine (
  context: GatewayContext, request: ClientRequest, worker: Worker, prefillEngine: Worker | undefined
): Promise<Result<Reservation, RefusalCode>> {
  const { rank } = checkWorker(context, worker)
  if (rank >= SendRank.Held) return Err(RefusalCode.LimitExceeded)
  // The stream goes to the engine from here, so it takes a place after the end of a hold, whoever reserves the memory.
  worker.word.hold.take(context.timer.now())
  if (!context.sidecars.isConnected(worker)) {
    // A connected sidecar keeps the limit of its engine for all gateways.
    if (rank === SendRank.Delayed) return Err(RefusalCode.LimitExceeded)
    worker.pacer?.take(context.timer.now())
    return await reserveDirectly(context, request, worker, prefillEngine)
  }
  const { promptTokens, maxOutputTokens: maxTokens, likelyOutputTokens } = request.head
  const withoutEstimate = { requestId: request.requestId, promptTokens, maxTokens }
  const packRequest = likelyOutputTokens === undefined ? withoutEstimate : { ...withoutEstimate, likelyTokens: likelyOutputTokens }
  const readMs = prefillEngine === undefined ? estimatePrefillAtDecodeMs(context, request, worker) : undefined
  const { softwareVersion } = worker.entry
  const response = await context.sidecars.reserve(worker, packRequest, readMs)
  if (response.err) {
    if (response.val === RefusalCode.NoCapacity && worker.capacity) worker.capacity.freeTokens = Math.min(worker.capacity.freeTokens, promptTokens)
    return response
  }
  if (worker.capacity) worker.capacity.freeTokens = Math.max(0, worker.capacity.freeTokens - countReservedTokens(request))
  return releaseIfStopped(context, request, { worker, prefillEngine, id: response.val, tokens: countReservedTokens(request), softwareVersion })
}

/** Releases a reservation at once when its request has stopped meanwhile. */
function releaseIfStopped (context: GatewayContext, request: ClientRequest, reservation: Reservation): Result<Reservation, RefusalCode> {
  if (request.stopReason() === undefined) return Ok(reservation)
  releaseReservation(context, reservation, request.requestId)
  return Err(RefusalCode.DeadlineExceeded)
}

/**
 * Tells whether the engine at the address of an entry is the one that the entry describes. An engine may start again with another software
 * version under its id, while this gateway is behind the store; its sidecar would see that.
 */
async function isAsPublished (context: GatewayContext, { entry }: Worker): Promise<boolean> {
  const { timer, controlPool: pool } = context
  const response = await callJson(entry.address, buildReportCall(), { pool, timer, timeoutMs: reservationTimeoutMs })
  const bornMs = response.ok ? decodeEngineReport(response.val.body)?.bornMs : undefined
  return bornMs !== undefined && (bornMs === 0 || bornMs === entry.bornMs)
}

async function reserveDirectly (
  context: GatewayContext, request: ClientRequest, worker: Worker, prefillEngine: Worker | undefined
): Promise<Result<Reservation, RefusalCode>> {
  const tokens = countReservedTokens(request)
  const { softwareVersion } = worker.entry
  const { timer, controlPool: pool, directory } = context
  const call = buildReserveCall(worker.entry.id, tokens, request.service.engine?.holdMs ?? 0)
  // Only a stream that may go on elsewhere depends on the version of its engine.
  const [response, isSameEngine] = await Promise.all([
    callJson(worker.entry.address, call, { pool, timer, timeoutMs: reservationTimeoutMs, mayStart: () => mayStart(context, worker) }),
    request.route.mayResume ? isAsPublished(context, worker) : true
  ])
  if (response.err) {
    if (response.val.kind === FailureKind.Withheld) return Err(RefusalCode.LimitExceeded)
    directory.fleet.markSuspect(worker, timer.now())
    return Err(RefusalCode.Unreachable)
  }
  recordCallAnswer(context, worker, response.val)
  const id = response.val.status === 200 ? decodeReservationId(response.val.body) : undefined
  if (id === undefined) return Err(RefusalCode.NoCapacity)
  const reservation = { worker, prefillEngine, id, tokens, softwareVersion }
  if (isSameEngine) return releaseIfStopped(context, request, reservation)
  releaseReservation(context, reservation, request.requestId)
  return Err(RefusalCode.Stale)
}

/** Releases a reservation that will not be used. */
export function releaseReservation (context: GatewayContext, reservation: Reservation, requestId: string): void {
  const { timer, controlPool: pool } = context
  const { worker, id } = reservation
  context.sidecars.release(worker, requestId)
  // An engine that wants no requests for a time releases the reservation when it expires.
  if (checkWorker(context, worker).reason === HoldReason.RetryAfter) return
  callJson(worker.entry.address, buildReleaseCall(id), { pool, timer, timeoutMs: reservationTimeoutMs })
    .then((response) => { if (response.ok) recordCallAnswer(context, worker, response.val) })
}
