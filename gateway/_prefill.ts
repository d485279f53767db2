/**
 * Chooses the engine that reads a prompt, and lets it.
 */
import { smooth, Stage, stageOf } from '../core/fleet/mod.ts'
import { callJson } from '../exchange/mod.ts'
import { decodeKvCacheHandle, buildFreeKvCacheCall } from '../platform/mod.ts'
import { sendToWorker } from './_send_to_worker.ts'
import type { Worker } from '../core/fleet/mod.ts'
import type { ClientRequest, GatewayContext } from './_types.ts'

/** Time in milliseconds for the call that frees a KV cache. */
const freeTimeoutMs = 400
/** Time in milliseconds for which an engine that refused a prompt is not asked to read one; the store tells of a new stage within it. */
const refusedMs = 2_000
/** Time in milliseconds that one prompt token takes at an engine that only reads, before any was measured. */
const firstTokenMs = 0.02
/** Factor by which an engine that also generates reads slower: half the speed, and a step of its streams after each piece. */
const ownReadFactor = 2.25
/** Time in milliseconds between two events of a stream when nothing else is read; an engine with ten streams takes it. */
const betweenEventsMs = 80
/** Time in milliseconds from the end of the prompt to the first event: the transfer, and the tokens of one event. */
const firstEventMs = 80
/** Share of the longest pause that streams may be kept waiting while their engine reads a prompt; the rest is for the way to the client. */
const pauseShare = 0.93
/** A prompt that is not read after this many times the expected time, and a margin in milliseconds, is taken to be lost. */
const lostFactor = 2
const lostMarginMs = 150
/** Cost in milliseconds of a lost answer in the choice of an engine; about the time until it is noticed. */
const lostMs = 400
/** Share of the target latency that reading a prompt may take before another engine is considered. */
const readShare = 0.45

/** Estimates the time in milliseconds until an engine has read a prompt. */
function readMs (shared: GatewayContext, job: ClientRequest, worker: Worker): number {
  const perTokenMs = worker.prefillMsPerToken ?? firstTokenMs
  const queued = Math.max(worker.ownQueuedPromptTokens, (worker.capacity?.waitingRequests ?? 0) * (worker.typicalPromptTokens ?? job.head.promptTokens))
  return (queued + job.head.promptTokens) * perTokenMs + shared.roundTripMs(worker.entry.zone)
}

/** Estimates the time in milliseconds that an engine which generates takes to read the prompt itself. */
function ownReadMs (job: ClientRequest): number {
  return job.head.promptTokens * firstTokenMs * ownReadFactor
}

/** Tells whether the streams of an engine stay on time while it reads the prompt. */
function sparesStreams (job: ClientRequest, ownMs: number): boolean {
  return ownMs + betweenEventsMs < pauseShare * job.route.longestPauseMs
}

/** Returns the engine that only reads and has read the prompt first. */
export function findFastestPrefillEngine (shared: GatewayContext, job: ClientRequest): Worker | undefined {
  const nowMs = shared.timer.now()
  const engines = shared.directory.fleet.serving(job.service.name)
    .filter((worker) => stageOf(worker) === Stage.Prefill && worker.suspectUntilMs <= nowMs && (worker.prefillRetryAtMs ?? 0) <= nowMs)
  return engines.sort((a, b) => expectedMs(shared, job, a) - expectedMs(shared, job, b))[0]
}

/** Time in milliseconds until an engine has read the prompt, with the cost of the answers that it loses. */
function expectedMs (shared: GatewayContext, job: ClientRequest, worker: Worker): number {
  return readMs(shared, job, worker) + worker.failureShare * lostMs
}

/** Chooses the engine that reads the prompt; undefined when the one that generates is to read it itself. */
export function choosePrefillEngine (shared: GatewayContext, job: ClientRequest): Worker | undefined {
  const best = findFastestPrefillEngine(shared, job)
  if (best === undefined) return undefined
  const apartMs = expectedMs(shared, job, best)
  const ownMs = ownReadMs(job)
  const leftMs = job.startedMs + job.route.targetLatencyMs - shared.timer.now() - firstEventMs
  const late = apartMs > Math.min(leftMs, readShare * job.route.targetLatencyMs)
  return late && ownMs < apartMs && sparesStreams(job, ownMs) ? undefined : best
}

/** What came of reading a prompt apart. */
export interface PrefillResult {
  /** The KV cache; absent when there is none. */
  kvCache?: { worker: Worker, handle: string }
  /** True when the engine refused the call, which counts against the budget for repeated sends. */
  refused: boolean
  /** True when the answer was lost; the engine may have read the prompt. */
  lost: boolean
}

const ownRead: PrefillResult = { refused: false, lost: false }

/**
 * Has the prompt read, by the given engine or, when its answer is lost, once more by one that only reads; without a KV cache in
 * the result, the engine that generates reads it.
 */
export async function prefillWithRetry (shared: GatewayContext, job: ClientRequest, reader: Worker | undefined): Promise<PrefillResult> {
  if (reader === undefined) return ownRead
  const first = await prefill(shared, job, reader)
  if (!first.lost || job.stopReason() !== undefined || sparesStreams(job, ownReadMs(job))) return first
  const other = findFastestPrefillEngine(shared, job)
  if (other === undefined || !shared.retryBudget(job.service.name).take(shared.timer.now())) return first
  shared.log.warn({ request: job.requestId, reader: reader.entry.id, other: other.entry.id }, 'prompt read again')
  return await prefill(shared, job, other)
}

/** Lets an engine read the prompt. */
function prefill (shared: GatewayContext, job: ClientRequest, worker: Worker): Promise<PrefillResult> {
  const isAlone = worker.ownQueuedPromptTokens === 0 && (worker.capacity?.waitingRequests ?? 0) === 0
  const startedMs = shared.timer.now()
  const limitMs = lostFactor * readMs(shared, job, worker) + lostMarginMs
  worker.ownQueuedPromptTokens += job.head.promptTokens
  worker.typicalPromptTokens = smooth(worker.typicalPromptTokens, job.head.promptTokens)
  return new Promise((resolve) => {
    const chunks: Buffer[] = []
    let status = 0
    let over = false
    const late = shared.timer.after(limitMs, () => {
      exchange.abort()
      lose(`not read within ${Math.round(limitMs)} ms`)
    })

    function settle (handle: string | undefined, { refused = false, lost = false } = {}): void {
      if (over) return
      over = true
      late.cancel()
      worker.ownQueuedPromptTokens -= job.head.promptTokens
      if (handle !== undefined || lost) shared.directory.fleet.recordResult(worker, { failed: lost })
      resolve(handle === undefined ? { refused, lost } : { kvCache: { worker, handle }, refused, lost })
    }

    function lose (reason: string): void {
      shared.log.warn({ request: job.requestId, reader: worker.entry.id, reason }, 'prompt lost')
      settle(undefined, { lost: true })
    }

    const exchange = sendToWorker(shared, job, worker, { prefill: true }, {
      onHead (head) { status = head.status },
      onData (chunk) { chunks.push(chunk) },
      onEnd () {
        const tookMs = shared.timer.now() - startedMs - shared.roundTripMs(worker.entry.zone)
        if (isAlone && status === 200 && job.head.promptTokens > 0) worker.prefillMsPerToken = smooth(worker.prefillMsPerToken, tookMs / job.head.promptTokens)
        settle(status === 200 ? decodeKvCacheHandle(parse(Buffer.concat(chunks))) : undefined)
      },
      onRefused ({ arrived }) {
        // It may have another stage by now; asking it for every prompt would use up the budget for repeated sends.
        if (arrived) worker.prefillRetryAtMs = shared.timer.now() + refusedMs
        settle(undefined, { refused: arrived })
      },
      onLost: lose
    })
    job.onStop(() => {
      if (over) return
      exchange.abort()
      settle(undefined)
    })
  })
}

function parse (body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'))
  } catch {
    return undefined // An answer of another shape names no KV cache; the decode engine reads the prompt itself.
  }
}

/** Frees a KV cache that nobody will take. */
export function freeKvCache (shared: GatewayContext, worker: Worker, handle: string): void {
  const { timer, controlPool: pool } = shared
  callJson(worker.entry.address, buildFreeKvCacheCall(handle), { pool, timer, timeoutMs: freeTimeoutMs })
}
