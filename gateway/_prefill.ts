/**
 * Chooses the engine that reads a prompt, and lets it.
 */
import { Stage, stageOf } from '../core/fleet/mod.ts'
import { callJson } from '../exchange/mod.ts'
import { decodeHandle, freeHandleCall } from '../platform/mod.ts'
import { sendJob } from './_send.ts'
import type { Worker } from '../core/fleet/mod.ts'
import type { Job, Shared } from './_types.ts'

/** Time in milliseconds for the call that frees a KV cache. */
const freeTimeoutMs = 400
/** Time in milliseconds for which an engine that refused a prompt is not asked to read one; the store tells of a new stage within it. */
const refusedMs = 2_000
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

/** Returns the engine that only reads and has read the prompt first. */
export function nearestReader (shared: Shared, job: Job): Worker | undefined {
  const nowMs = shared.timer.now()
  const engines = shared.directory.fleet.serving(job.service.name)
    .filter((worker) => stageOf(worker) === Stage.Prefill && worker.suspectUntilMs <= nowMs && (worker.readsAgainMs ?? 0) <= nowMs)
  return engines.sort((a, b) => readMs(shared, job, a) - readMs(shared, job, b))[0]
}

/** Chooses the engine that reads the prompt; undefined when the one that generates is to read it itself. */
export function choosePrefill (shared: Shared, job: Job): Worker | undefined {
  const best = nearestReader(shared, job)
  if (best === undefined) return undefined
  const apartMs = readMs(shared, job, best)
  const ownMs = job.head.promptTokens * (best.readTokenMs ?? firstTokenMs) * ownReadFactor
  const leftMs = job.startedMs + job.route.targetLatencyMs - shared.timer.now() - firstEventMs
  const late = apartMs > Math.min(leftMs, readShare * job.route.targetLatencyMs)
  return late && ownMs < apartMs && ownMs < pauseShare * job.route.longestPauseMs ? undefined : best
}

/** What came of reading a prompt apart. */
export interface PrefillResult {
  /** The KV cache; absent when there is none. */
  read?: { worker: Worker, handle: string }
  /** True when the engine refused the call, which counts against the budget for repeated sends. */
  refused: boolean
}

/** Lets an engine read the prompt. */
export function prefill (shared: Shared, job: Job, worker: Worker | undefined): Promise<PrefillResult> {
  if (worker === undefined) return Promise.resolve({ refused: false })
  const isAlone = worker.ownPrompt === 0 && (worker.room?.waiting ?? 0) === 0
  const startedMs = shared.timer.now()
  worker.ownPrompt += job.head.promptTokens
  return new Promise((resolve) => {
    const chunks: Buffer[] = []
    let status = 0
    let over = false

    function settle (handle: string | undefined, refused = false): void {
      if (over) return
      over = true
      worker!.ownPrompt -= job.head.promptTokens
      resolve(handle === undefined ? { refused } : { read: { worker: worker!, handle }, refused })
    }

    const exchange = sendJob(shared, job, worker, { prefill: true }, {
      onHead (head) { status = head.status },
      onData (chunk) { chunks.push(chunk) },
      onEnd () {
        const tookMs = shared.timer.now() - startedMs - shared.roundTripMs(worker.entry.zone)
        if (isAlone && status === 200 && job.head.promptTokens > 0) learnReadTime(worker, tookMs / job.head.promptTokens)
        settle(status === 200 ? decodeHandle(parse(Buffer.concat(chunks))) : undefined)
      },
      onRefused ({ arrived }) {
        // It may have another stage by now; asking it for every prompt would use up the budget for repeated sends.
        if (arrived) worker.readsAgainMs = shared.timer.now() + refusedMs
        settle(undefined, arrived)
      },
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

/** Frees a KV cache that nobody will take. */
export function free (shared: Shared, worker: Worker, handle: string): void {
  const { timer, controlPool: pool } = shared
  callJson(worker.entry.address, freeHandleCall(handle), { pool, timer, timeoutMs: freeTimeoutMs })
}
