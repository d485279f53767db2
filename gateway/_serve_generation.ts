/**
 * Serves generations: memory at a decode engine is reserved first, then the prompt is read, then the stream is forwarded.
 */
import { Stage } from '../core/fleet/mod.ts'
import { RefusalCode } from '../core/types/mod.ts'
import { callJson } from '../exchange/mod.ts'
import { decodeHandle, decodeHold, dropHoldCall, freeHandleCall, holdCall } from '../platform/mod.ts'
import { sendJob } from './_send.ts'
import { StopReason } from './_types.ts'
import type { Worker } from '../core/fleet/mod.ts'
import type { Ended, Job, Shared } from './_types.ts'

/** Time in milliseconds for a call that reserves or releases memory; it takes two trips and no work. */
const holdTimeoutMs = 400
/** Time in milliseconds between two rounds of attempts to reserve memory. */
const holdPauseMs = 60
/** Share of the target latency for which memory is waited for; the rest is for reading the prompt. */
const waitShare = 0.55
/** Time in milliseconds after which a client is asked to come back. */
const retryAfterMs = 700
/** Memory of an engine goes by blocks of this many tokens. */
const blockTokens = 16

interface Hold {
  worker: Worker
  name: string
  tokens: number
}

/** Serves one generation and says how it ended. */
export async function serveGeneration (shared: Shared, job: Job): Promise<Ended> {
  const { timer } = shared
  const queuedMs = timer.now()
  const hold = await reserve(shared, job)
  const heldMs = timer.now()
  if (hold === undefined) return refuse(job, 'no_memory', { waitedMs: heldMs - queuedMs })
  const read = await prefill(shared, job)
  const readMs = timer.now()
  if (job.stopped() !== undefined) {
    release(shared, hold, job.requestId)
    if (read !== undefined) free(shared, read.worker, read.handle)
    return refuse(job, job.stopped() as string, {})
  }
  const kvSource = read === undefined ? undefined : { address: read.worker.entry.address, handle: read.handle }
  const ended = await decode(shared, job, hold, kvSource)
  return { ...ended, holdMs: heldMs - queuedMs, prefillMs: readMs - heldMs, prefilled: read?.worker.entry.id }
}

function refuse (job: Job, reason: string, fields: object): Ended {
  if (job.stopped() !== StopReason.ClientLeft) job.reply.own({ status: 503, reason, retryAfterMs })
  return { status: 503, reason, attempts: 0, ...fields }
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

async function reserve (shared: Shared, job: Job): Promise<Hold | undefined> {
  const { timer, directory } = shared
  const untilMs = job.startedMs + waitShare * job.route.targetLatencyMs
  const memoryTokens = job.service.engine?.memoryTokens ?? 0
  for (;;) {
    const engines = directory.fleet.serving(job.service.name)
      .filter((worker) => worker.entry.stage !== Stage.Prefill && worker.suspectUntilMs <= timer.now())
      .sort((a, b) => freeTokens(shared, b, memoryTokens) - freeTokens(shared, a, memoryTokens))
    for (const worker of engines) {
      if (job.stopped() !== undefined) return undefined
      if (worker.room !== undefined && worker.room.roomTokens < job.head.promptTokens) continue
      const hold = await askOrTake(shared, job, worker)
      if (hold !== undefined) return hold
      if (timer.now() > untilMs) return undefined
    }
    if (job.stopped() !== undefined || timer.now() + holdPauseMs > untilMs) return undefined
    await new Promise<void>((resolve) => { timer.after(holdPauseMs, resolve) })
  }
}

/** Asks the process beside the engine; without it, reserves the most that the request may need at the engine itself. */
async function askOrTake (shared: Shared, job: Job, worker: Worker): Promise<Hold | undefined> {
  if (!shared.engines.isLinked(worker)) return await takeHold(shared, job, worker, tokensOf(job))
  const { promptTokens, maxOutputTokens: maxTokens, likelyOutputTokens } = job.head
  const ask = { requestId: job.requestId, promptTokens, maxTokens }
  const answer = await shared.engines.ask(worker, likelyOutputTokens === undefined ? ask : { ...ask, likelyTokens: likelyOutputTokens })
  if (answer.err) {
    if (answer.val === RefusalCode.NoCapacity && worker.room) worker.room.roomTokens = Math.min(worker.room.roomTokens, promptTokens)
    return undefined
  }
  if (worker.room) worker.room.roomTokens = Math.max(0, worker.room.roomTokens - tokensOf(job))
  const hold = { worker, name: answer.val, tokens: tokensOf(job) }
  if (job.stopped() === undefined) return hold
  release(shared, hold, job.requestId)
  return undefined
}

async function takeHold (shared: Shared, job: Job, worker: Worker, tokens: number): Promise<Hold | undefined> {
  const { timer, controlPool: pool, directory } = shared
  const call = holdCall(worker.entry.id, tokens, job.service.engine?.holdMs ?? 0)
  const answer = await callJson(worker.entry.address, call, { pool, timer, timeoutMs: holdTimeoutMs })
  if (answer.err) {
    directory.fleet.suspect(worker, timer.now())
    return undefined
  }
  const name = answer.val.status === 200 ? decodeHold(answer.val.body) : undefined
  if (name === undefined) return undefined
  const hold = { worker, name, tokens }
  if (job.stopped() === undefined) return hold
  release(shared, hold, job.requestId)
  return undefined
}

function release (shared: Shared, hold: Hold, requestId: string): void {
  const { timer, controlPool: pool } = shared
  shared.engines.drop(hold.worker, requestId)
  void callJson(hold.worker.entry.address, dropHoldCall(hold.name), { pool, timer, timeoutMs: holdTimeoutMs })
}

function free (shared: Shared, worker: Worker, handle: string): void {
  const { timer, controlPool: pool } = shared
  void callJson(worker.entry.address, freeHandleCall(handle), { pool, timer, timeoutMs: holdTimeoutMs })
}

/** Time in milliseconds that one prompt token takes at an engine that only reads, before any was measured. */
const firstTokenMs = 0.02
/** Factor by which an engine that also generates reads slower. */
const ownReadFactor = 2
/** Time in milliseconds from the end of the prompt to the first event: the transfer, and the tokens of one event. */
const firstEventMs = 80
/** Share of the longest pause that reading a prompt may take from the streams of an engine that generates. */
const pauseShare = 0.85
/** Share of the target latency that reading a prompt may take before another engine is considered. */
const readShare = 0.45

/** Estimates the time in milliseconds until an engine has read a prompt. */
function readMs (shared: Shared, job: Job, worker: Worker): number {
  const perTokenMs = worker.readTokenMs ?? firstTokenMs
  const queued = Math.max(worker.ownPrompt, (worker.room?.waiting ?? 0) * job.head.promptTokens)
  return (queued + job.head.promptTokens) * perTokenMs + shared.roundTripMs(worker.entry.zone)
}

/** Chooses the engine that reads the prompt; undefined when the one that generates is to read it itself. */
function choosePrefill (shared: Shared, job: Job): Worker | undefined {
  const nowMs = shared.timer.now()
  const engines = shared.directory.fleet.serving(job.service.name)
    .filter((worker) => worker.entry.stage === Stage.Prefill && worker.suspectUntilMs <= nowMs)
  const best = engines.sort((a, b) => readMs(shared, job, a) - readMs(shared, job, b))[0]
  if (best === undefined) return undefined
  const apartMs = readMs(shared, job, best)
  const ownMs = job.head.promptTokens * (best.readTokenMs ?? firstTokenMs) * ownReadFactor
  const leftMs = job.startedMs + job.route.targetLatencyMs - nowMs - firstEventMs
  return apartMs > Math.min(leftMs, readShare * job.route.targetLatencyMs) && ownMs < apartMs && ownMs < pauseShare * job.route.longestPauseMs ? undefined : best
}

function prefill (shared: Shared, job: Job): Promise<{ worker: Worker, handle: string } | undefined> {
  const worker = choosePrefill(shared, job)
  if (worker === undefined) return Promise.resolve(undefined)
  const isAlone = worker.ownPrompt === 0 && (worker.room?.waiting ?? 0) === 0
  const startedMs = shared.timer.now()
  worker.ownPrompt += job.head.promptTokens
  return new Promise((resolve) => {
    const chunks: Buffer[] = []
    let status = 0
    let over = false

    function settle (handle: string | undefined): void {
      if (over) return
      over = true
      worker!.ownPrompt -= job.head.promptTokens
      resolve(handle === undefined ? undefined : { worker: worker!, handle })
    }

    const exchange = sendJob(shared, job, worker, { prefill: true }, {
      onHead (head) { status = head.status },
      onData (chunk) { chunks.push(chunk) },
      onEnd () {
        const tookMs = shared.timer.now() - startedMs - shared.roundTripMs(worker.entry.zone)
        if (isAlone && status === 200 && job.head.promptTokens > 0) learnReadTime(worker, tookMs / job.head.promptTokens)
        settle(status === 200 ? decodeHandle(parse(Buffer.concat(chunks))) : undefined)
      },
      onRefused () { settle(undefined) },
      onLost () { settle(undefined) }
    })
    job.onStop(() => {
      if (over) return
      exchange.abort()
      settle(undefined)
    })
  })
}

/** Weight of the newest measurement of an engine's reading speed. */
const newestShare = 0.2

function learnReadTime (worker: Worker, perTokenMs: number): void {
  worker.readTokenMs = worker.readTokenMs === undefined ? perTokenMs : worker.readTokenMs + newestShare * (perTokenMs - worker.readTokenMs)
}

function parse (body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'))
  } catch {
    return undefined // An answer of another shape names no KV cache; the decode engine reads the prompt itself.
  }
}

function decode (shared: Shared, job: Job, hold: Hold, kvSource: { address: string, handle: string } | undefined): Promise<Ended> {
  const { worker } = hold
  worker.ownTokens += hold.tokens
  return new Promise((resolve) => {
    let over = false
    let status = 0
    let bytes = 0
    let firstMs: number | undefined
    let lastMs = 0
    let pauseMs = 0

    function settle (ended: { status: number, reason: string, detail?: string }): void {
      if (over) return
      over = true
      worker.ownTokens -= hold.tokens
      resolve({ ...ended, worker: worker.entry.id, attempts: 1, bytes, firstMs, pauseMs: Math.round(pauseMs) })
    }

    const added = kvSource === undefined ? { hold: hold.name } : { hold: hold.name, kvSource }
    const lastEventId = job.head.lastEventId
    const exchange = sendJob(shared, job, worker, lastEventId === undefined ? added : { ...added, lastEventId }, {
      onHead (head) {
        status = head.status
        job.reply.begin(head)
      },
      onData (chunk) {
        bytes += chunk.length
        const nowMs = shared.timer.now()
        if (firstMs === undefined) firstMs = Math.round(nowMs - job.startedMs)
        else pauseMs = Math.max(pauseMs, nowMs - lastMs)
        lastMs = nowMs
        if (job.reply.write(chunk)) return
        exchange.pause()
        job.reply.onDrain(() => exchange.resume())
      },
      onEnd () {
        job.reply.end()
        settle({ status, reason: 'answered' })
      },
      onRefused ({ reason }) {
        job.reply.own({ status: 503, reason: 'refused', retryAfterMs })
        settle({ status: 503, reason: 'refused', detail: reason })
      },
      onLost (reason) {
        if (job.reply.isBegun()) job.reply.cut()
        else job.reply.own({ status: 502, reason: 'lost' })
        settle({ status: 502, reason: 'lost', detail: reason })
      }
    })
    job.onStop((reason) => {
      if (over) return
      exchange.abort()
      if (reason === StopReason.TimeUp) {
        if (job.reply.isBegun()) job.reply.cut()
        else job.reply.own({ status: 504, reason })
      }
      settle({ status: 504, reason })
    })
  })
}
