/**
 * Serves generations: memory at a decode engine is reserved first, then the prompt is read, then the stream is forwarded.
 */
import { Stage } from '../core/fleet/mod.ts'
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
    release(shared, hold)
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

function freeTokens (worker: Worker, memoryTokens: number): number {
  return memoryTokens - worker.ownTokens
}

async function reserve (shared: Shared, job: Job): Promise<Hold | undefined> {
  const { timer, directory } = shared
  const untilMs = job.startedMs + waitShare * job.route.targetLatencyMs
  const tokens = tokensOf(job)
  const memoryTokens = job.service.engine?.memoryTokens ?? 0
  for (;;) {
    const engines = directory.fleet.serving(job.service.name)
      .filter((worker) => worker.entry.stage !== Stage.Prefill && worker.suspectUntilMs <= timer.now())
      .sort((a, b) => freeTokens(b, memoryTokens) - freeTokens(a, memoryTokens))
    for (const worker of engines) {
      if (job.stopped() !== undefined) return undefined
      const hold = await takeHold(shared, job, worker, tokens)
      if (hold !== undefined) return hold
      if (timer.now() > untilMs) return undefined
    }
    if (job.stopped() !== undefined || timer.now() + holdPauseMs > untilMs) return undefined
    await new Promise<void>((resolve) => { timer.after(holdPauseMs, resolve) })
  }
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
  release(shared, hold)
  return undefined
}

function release (shared: Shared, hold: Hold): void {
  const { timer, controlPool: pool } = shared
  void callJson(hold.worker.entry.address, dropHoldCall(hold.name), { pool, timer, timeoutMs: holdTimeoutMs })
}

function free (shared: Shared, worker: Worker, handle: string): void {
  const { timer, controlPool: pool } = shared
  void callJson(worker.entry.address, freeHandleCall(handle), { pool, timer, timeoutMs: holdTimeoutMs })
}

function choosePrefill (shared: Shared, job: Job): Worker | undefined {
  const engines = shared.directory.fleet.serving(job.service.name)
    .filter((worker) => worker.entry.stage === Stage.Prefill && worker.suspectUntilMs <= shared.timer.now())
  return engines.sort((a, b) => a.ownPrompt - b.ownPrompt)[0]
}

function prefill (shared: Shared, job: Job): Promise<{ worker: Worker, handle: string } | undefined> {
  const worker = choosePrefill(shared, job)
  if (worker === undefined) return Promise.resolve(undefined)
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
      onEnd () { settle(status === 200 ? decodeHandle(parse(Buffer.concat(chunks))) : undefined) },
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

    function settle (ended: { status: number, reason: string, detail?: string }): void {
      if (over) return
      over = true
      worker.ownTokens -= hold.tokens
      resolve({ ...ended, worker: worker.entry.id, attempts: 1, bytes })
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
