/**
 * Reserves the memory of engines for generations.
 */
import { Stage, stageOf } from '../core/fleet/mod.ts'
import { RefusalCode } from '../core/types/mod.ts'
import { callJson } from '../exchange/mod.ts'
import { decodeHold, dropHoldCall, holdCall } from '../platform/mod.ts'
import { choosePrefill, nearestReader } from './_prefill.ts'
import type { Worker } from '../core/fleet/mod.ts'
import type { Job, Shared } from './_types.ts'

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
export interface Hold {
  worker: Worker
  /** The engine that reads the prompt; undefined when the one that generates does. */
  reader: Worker | undefined
  /** Name of the reservation at the engine. */
  name: string
  tokens: number
}

function tokensOf (job: Job): number {
  const { promptTokens, maxOutputTokens } = job.head
  return Math.ceil((promptTokens + maxOutputTokens) / blockTokens) * blockTokens + blockTokens
}

/** Cost of a distant engine in tokens of free memory for each millisecond of the way there and back. */
const tokensPerTripMs = 100

function freeTokens (shared: Shared, worker: Worker, memoryTokens: number): number {
  const free = worker.room === undefined ? memoryTokens - worker.ownTokens : worker.room.roomTokens
  return free - tokensPerTripMs * shared.roundTripMs(worker.entry.zone)
}

/** Reserves memory at an engine; undefined when none has any in time, or the job has stopped. */
export async function reserve (shared: Shared, job: Job, exclude: ReadonlySet<string>): Promise<Hold | undefined> {
  const { timer, directory } = shared
  // A client that comes back has missed its target already; it may wait longer, and a second refusal helps nobody.
  const isBack = (job.head.deadlineMs ?? Infinity) < returnedShare * job.route.timeoutMs
  const untilMs = (exclude.size > 0 ? timer.now() : job.startedMs) + (isBack ? returnedWaitMs : waitShare * job.route.targetLatencyMs)
  const memoryTokens = job.service.engine?.memoryTokens ?? 0
  const refused = (engines: Worker[]): undefined => {
    const rooms = engines.map(({ entry, room }) => `${entry.id}:${room?.roomTokens ?? 'unknown'}`)
    shared.log.warn({ request: job.requestId, promptTokens: job.head.promptTokens, rooms, isBack, stopped: job.stopped() }, 'not reserved')
    return undefined
  }
  for (;;) {
    const engines = directory.fleet.serving(job.service.name)
      .filter((worker) => stageOf(worker) !== Stage.Prefill && worker.suspectUntilMs <= timer.now() && !exclude.has(worker.entry.id))
      .sort((a, b) => freeTokens(shared, b, memoryTokens) - freeTokens(shared, a, memoryTokens))
    for (const worker of engines) {
      if (job.stopped() !== undefined) return refused(engines)
      if (worker.room !== undefined && worker.room.roomTokens < job.head.promptTokens) continue
      const hold = await askOrTake(shared, job, worker, choosePrefill(shared, job))
      if (hold !== undefined) return hold
      if (timer.now() > untilMs) return refused(engines)
    }
    if (job.stopped() !== undefined || timer.now() + holdPauseMs > untilMs) return refused(engines)
    await new Promise<void>((resolve) => { timer.after(holdPauseMs, resolve) })
  }
}

/** Asks the process beside the engine; without it, reserves the most that the request may need at the engine itself. */
export async function askOrTake (shared: Shared, job: Job, worker: Worker, reader: Worker | undefined): Promise<Hold | undefined> {
  if (!shared.engines.isLinked(worker)) return await takeHold(shared, job, worker, reader)
  const { promptTokens, maxOutputTokens: maxTokens, likelyOutputTokens } = job.head
  const ask = { requestId: job.requestId, promptTokens, maxTokens }
  const sized = likelyOutputTokens === undefined ? ask : { ...ask, likelyTokens: likelyOutputTokens }
  const answer = await shared.engines.ask(worker, sized, reader === undefined)
  if (answer.err) {
    // The engine reads another prompt; one that only reads takes longer, but stops no streams.
    const apart = answer.val === RefusalCode.TargetMissed ? nearestReader(shared, job) : undefined
    if (apart !== undefined) return await askOrTake(shared, job, worker, apart)
    if (answer.val === RefusalCode.NoCapacity && worker.room) worker.room.roomTokens = Math.min(worker.room.roomTokens, promptTokens)
    return undefined
  }
  if (worker.room) worker.room.roomTokens = Math.max(0, worker.room.roomTokens - tokensOf(job))
  const hold = { worker, reader, name: answer.val, tokens: tokensOf(job) }
  if (job.stopped() === undefined) return hold
  release(shared, hold, job.requestId)
  return undefined
}

async function takeHold (shared: Shared, job: Job, worker: Worker, reader: Worker | undefined): Promise<Hold | undefined> {
  const tokens = tokensOf(job)
  const { timer, controlPool: pool, directory } = shared
  const call = holdCall(worker.entry.id, tokens, job.service.engine?.holdMs ?? 0)
  const answer = await callJson(worker.entry.address, call, { pool, timer, timeoutMs: holdTimeoutMs })
  if (answer.err) {
    directory.fleet.suspect(worker, timer.now())
    return undefined
  }
  const name = answer.val.status === 200 ? decodeHold(answer.val.body) : undefined
  if (name === undefined) return undefined
  const hold = { worker, reader, name, tokens }
  if (job.stopped() === undefined) return hold
  release(shared, hold, job.requestId)
  return undefined
}

/** Gives a reservation back that will not be used. */
export function release (shared: Shared, hold: Hold, requestId: string): void {
  const { timer, controlPool: pool } = shared
  shared.engines.drop(hold.worker, requestId)
  callJson(hold.worker.entry.address, dropHoldCall(hold.name), { pool, timer, timeoutMs: holdTimeoutMs })
}
