/**
 * Reserves the memory of engines for generations.
 */
import { Stage, stageOf } from '../core/fleet/mod.ts'
import { Err, Ok } from '../core/results/mod.ts'
import { RefusalCode } from '../core/types/mod.ts'
import { callJson } from '../exchange/mod.ts'
import { decodeReservationId, buildReleaseCall, buildReserveCall } from '../platform/mod.ts'
import { choosePrefillEngine, findFastestPrefillEngine } from './_prefill.ts'
import type { Result } from '../core/results/mod.ts'
import type { Worker } from '../core/fleet/mod.ts'
import type { ClientRequest, GatewayContext } from './_types.ts'

/** Time in milliseconds for a call that reserves or releases memory; it takes two trips and no work. */
const holdTimeoutMs = 400
/** Time in milliseconds between two rounds of attempts to reserve memory. */
const holdPauseMs = 60
/** Share of the target latency for which memory is waited for; the rest is for reading the prompt. */
const waitShare = 0.55
/** A client that waits for less than this share of the route's timeout has been here before. */
const returnedShare = 0.97
/** Time in milliseconds for which the request of such a client waits for memory. */
const returnedWaitMs = 500
/** Memory of an engine goes by blocks of this many tokens. */
const blockTokens = 16

/** Memory that an engine keeps for one generation. */
export interface Reservation {
  worker: Worker
  /** The engine that reads the prompt; undefined when the one that generates does. */
  prefillEngine: Worker | undefined
  /** Name of the reservation at the engine. */
  id: string
  tokens: number
}

function tokensOf (job: ClientRequest): number {
  const { promptTokens, maxOutputTokens } = job.head
  return Math.ceil((promptTokens + maxOutputTokens) / blockTokens) * blockTokens + blockTokens
}

/** Cost of a distant engine in tokens of free memory for each millisecond of the way there and back. */
const tokensPerTripMs = 100

function freeTokens (shared: GatewayContext, worker: Worker, memoryTokens: number): number {
  const free = worker.capacity === undefined ? memoryTokens - worker.ownTokens : worker.capacity.freeTokens
  return free - tokensPerTripMs * shared.roundTripMs(worker.entry.zone)
}

/** Reserves memory at an engine; undefined when none has any in time, or the job has stopped. */
export async function reserveMemory (shared: GatewayContext, job: ClientRequest, exclude: ReadonlySet<string>): Promise<Reservation | undefined> {
  const { timer, directory } = shared
  // A client that comes back has missed its target already; it may wait longer, and a second refusal helps nobody.
  const isBack = (job.head.deadlineMs ?? Infinity) < returnedShare * job.route.timeoutMs
  const untilMs = (exclude.size > 0 ? timer.now() : job.startedMs) + (isBack ? returnedWaitMs : waitShare * job.route.targetLatencyMs)
  const memoryTokens = job.service.engine?.memoryTokens ?? 0
  const refused = (engines: Worker[]): undefined => {
    const rooms = engines.map(({ entry, capacity: room }) => `${entry.id}:${room?.freeTokens ?? 'unknown'}`)
    shared.log.warn({ request: job.requestId, promptTokens: job.head.promptTokens, rooms, isBack, stopped: job.stopReason() }, 'not reserved')
    return undefined
  }
  for (;;) {
    const engines = directory.fleet.serving(job.service.name)
      .filter((worker) => stageOf(worker) !== Stage.Prefill && worker.suspectUntilMs <= timer.now() && !exclude.has(worker.entry.id))
      .sort((a, b) => freeTokens(shared, b, memoryTokens) - freeTokens(shared, a, memoryTokens))
    const busy: Worker[] = []
    for (const [asked, readerOf] of [[engines, choosePrefillEngine], [busy, findFastestPrefillEngine]] as const) {
      for (const worker of asked) {
        if (job.stopReason() !== undefined) return refused(engines)
        if (worker.capacity !== undefined && worker.capacity.freeTokens < job.head.promptTokens) continue
        const reader = readerOf(shared, job)
        // Engines that read another prompt themselves are asked again for one that is read apart, once no other has taken it.
        if (asked === busy && reader === undefined) break
        const hold = await reserveAtEngine(shared, job, worker, reader)
        if (hold.ok) return hold.val
        if (hold.val === RefusalCode.TargetMissed) busy.push(worker)
        if (timer.now() > untilMs) return refused(engines)
      }
    }
    if (job.stopReason() !== undefined || timer.now() + holdPauseMs > untilMs) return refused(engines)
    await new Promise<void>((resolve) => { timer.after(holdPauseMs, resolve) })
  }
}

/** Asks the process beside the engine; without it, reserves the most that the request may need at the engine itself. */
export async function reserveAtEngine (shared: GatewayContext, job: ClientRequest, worker: Worker, reader: Worker | undefined): Promise<Result<Reservation, RefusalCode>> {
  if (!shared.sidecars.isConnected(worker)) return await takeHold(shared, job, worker, reader)
  const { promptTokens, maxOutputTokens: maxTokens, likelyOutputTokens } = job.head
  const ask = { requestId: job.requestId, promptTokens, maxTokens }
  const sized = likelyOutputTokens === undefined ? ask : { ...ask, likelyTokens: likelyOutputTokens }
  const answer = await shared.sidecars.reserve(worker, sized, reader === undefined)
  if (answer.err) {
    if (answer.val === RefusalCode.NoCapacity && worker.capacity) worker.capacity.freeTokens = Math.min(worker.capacity.freeTokens, promptTokens)
    return answer
  }
  if (worker.capacity) worker.capacity.freeTokens = Math.max(0, worker.capacity.freeTokens - tokensOf(job))
  return keepOrRelease(shared, job, { worker, prefillEngine: reader, id: answer.val, tokens: tokensOf(job) })
}

/** Gives a reservation back at once when its request has stopped meanwhile. */
function keepOrRelease (shared: GatewayContext, job: ClientRequest, hold: Reservation): Result<Reservation, RefusalCode> {
  if (job.stopReason() === undefined) return Ok(hold)
  releaseReservation(shared, hold, job.requestId)
  return Err(RefusalCode.DeadlineExceeded)
}

async function takeHold (shared: GatewayContext, job: ClientRequest, worker: Worker, reader: Worker | undefined): Promise<Result<Reservation, RefusalCode>> {
  const tokens = tokensOf(job)
  const { timer, controlPool: pool, directory } = shared
  const call = buildReserveCall(worker.entry.id, tokens, job.service.engine?.holdMs ?? 0)
  const answer = await callJson(worker.entry.address, call, { pool, timer, timeoutMs: holdTimeoutMs })
  if (answer.err) {
    directory.fleet.markSuspect(worker, timer.now())
    return Err(RefusalCode.Unreachable)
  }
  const name = answer.val.status === 200 ? decodeReservationId(answer.val.body) : undefined
  return name === undefined ? Err(RefusalCode.NoCapacity) : keepOrRelease(shared, job, { worker, prefillEngine: reader, id: name, tokens })
}

/** Gives a reservation back that will not be used. */
export function releaseReservation (shared: GatewayContext, hold: Reservation, requestId: string): void {
  const { timer, controlPool: pool } = shared
  shared.sidecars.release(hold.worker, requestId)
  callJson(hold.worker.entry.address, buildReleaseCall(hold.id), { pool, timer, timeoutMs: holdTimeoutMs })
}
