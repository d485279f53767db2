/**
 * Serves generations: memory at a decode engine is reserved first, then the prompt is read, then the stream is forwarded.
 */
import { RefusalCode } from '../core/types/mod.ts'
import { createEventSplitter } from '../core/stream/mod.ts'
import { Count } from '../metrics/mod.ts'
import { decode, StreamEnd } from './_decode.ts'
import { askOrTake, release, reserve } from './_memory.ts'
import { free, readPrompt } from './_prefill.ts'
import { StopReason } from './_types.ts'
import type { EventSplitter } from '../core/stream/mod.ts'
import type { StreamResult } from './_decode.ts'
import type { Hold } from './_memory.ts'
import type { Ended, Job, Shared } from './_types.ts'

/** Time in milliseconds after which a client is asked to come back when an engine has refused its request. */
const retryAfterMs = 700
/** Longest time in milliseconds after which a client is asked to come back for memory: about that of one stream, which frees some. */
const memoryRetryMs = 4_000
/** Share of the time that a client has left for which it waits before it comes back; the protocol allows a third. */
const memoryRetryShare = 0.3
/** Share by which the time to come back is spread, so that clients which were refused together do not return together. */
const memoryRetrySpread = 0.4

interface Tries {
  attempts: number
  exclude: Set<string>
  /** True when an engine may have run the request. */
  mayHaveRun: boolean
  events?: EventSplitter
}

/** Serves one generation and says how it ended. */
export async function serveGeneration (shared: Shared, job: Job): Promise<Ended> {
  const tries: Tries = { attempts: 0, exclude: new Set(), mayHaveRun: false }
  if (job.route.mayResume) tries.events = createEventSplitter(job.head.lastEventId)
  for (;;) {
    const startedMs = shared.timer.now()
    const hold = await reserve(shared, job, tries.exclude)
    const heldMs = shared.timer.now()
    shared.metrics.count(Count.Holds, { result: hold === undefined ? 'refused' : 'taken' })
    if (hold === undefined) return giveUp(shared, job, tries, 'no_memory')
    const { worker, reader, tokens } = hold
    const room = worker.capacity === undefined ? {} : { roomTokens: worker.capacity.freeTokens, roomAgeMs: Math.round(heldMs - worker.capacity.receivedAtMs) }
    const waitedMs = Math.round(heldMs - startedMs)
    shared.log.info({ request: job.requestId, worker: worker.entry.id, reader: reader?.entry.id, tokens, waitedMs, ...room }, 'reserved')
    const { read, refused } = await readPrompt(shared, job, reader)
    const isOverBudget = refused && !shared.budget(job.service.name).take(shared.timer.now())
    if (isOverBudget || job.stopped() !== undefined) {
      release(shared, hold, job.requestId)
      if (read !== undefined) free(shared, read.worker, read.handle)
      return giveUp(shared, job, tries, job.stopped() ?? RefusalCode.RetryBudgetExhausted)
    }
    const readMs = shared.timer.now()
    tries.attempts++
    const kvSource = read === undefined ? undefined : { address: read.worker.entry.address, handle: read.handle }
    const result = await stream(shared, job, tries, hold, kvSource)
    const about = { ...result, holdMs: Math.round(heldMs - startedMs), prefillMs: Math.round(readMs - heldMs), prefilled: read?.worker.entry.id }
    tries.mayHaveRun ||= result.end === StreamEnd.Lost
    if (result.end === StreamEnd.Answered || result.end === StreamEnd.Stopped) {
      return { ...about, reason: result.detail || result.end, attempts: tries.attempts }
    }
    const { end, status, detail, bytes } = result
    shared.log.warn({ request: job.requestId, attempt: tries.attempts, worker: worker.entry.id, end, status, detail, bytes }, 'attempt failed')
    if (read !== undefined && end === StreamEnd.Refused) shared.metrics.count(Count.TokensInVain, {}, job.head.promptTokens)
    if (!mayGoOn(shared, job, tries, result)) return { ...about, ...giveUp(shared, job, tries, result.end) }
    shared.metrics.count(Count.Retries, { service: job.service.name })
    shared.log.warn({ request: job.requestId, afterEvent: tries.events?.lastId(), attempts: tries.attempts }, 'resuming')
    tries.exclude.add(worker.entry.id)
    tries.events?.reset()
  }
}

async function stream (
  shared: Shared, job: Job, tries: Tries, hold: Hold, kvSource: { address: string, handle: string } | undefined
): Promise<StreamResult> {
  const events = tries.events === undefined ? {} : { events: tries.events }
  if (kvSource === undefined) return await decode(shared, job, { hold, ...events })
  const result = await decode(shared, job, { hold, kvSource, ...events })
  if (result.end !== StreamEnd.Refused || !shared.budget(job.service.name).take(shared.timer.now())) return result
  // The KV cache is gone; the engine that was to take it reads the prompt itself, and no other engine is asked.
  const again = await askOrTake(shared, job, hold.worker, hold.reader)
  return again.err ? result : await decode(shared, job, { hold: again.val, ...events })
}

/** Tells whether another engine is asked: only for a stream that may resume, within attempts, time and budget. */
function mayGoOn (shared: Shared, job: Job, tries: Tries, result: StreamResult): boolean {
  if (!job.route.mayResume || tries.attempts >= job.route.maxAttempts || job.stopped() !== undefined) return false
  const isLost = result.end === StreamEnd.Lost || result.end === StreamEnd.Refused
  return isLost && shared.budget(job.service.name).take(shared.timer.now())
}

/** Ends a request that no engine serves: a broken answer is cut, and only one that has not run may come back. */
function giveUp (shared: Shared, job: Job, tries: Tries, reason: string): Ended {
  const { attempts, mayHaveRun } = tries
  const ended = { status: mayHaveRun ? 502 : 503, reason, attempts }
  if (job.stopped() === StopReason.ClientLeft) return ended
  if (job.reply.isBegun()) job.reply.cut()
  else if (mayHaveRun) job.reply.own({ status: 502, reason })
  else job.reply.own({ status: 503, reason, retryAfterMs: reason === 'no_memory' ? memoryRetry(shared, job) : retryAfterMs })
  return ended
}

function memoryRetry (shared: Shared, job: Job): number {
  const leftMs = Math.max(0, job.deadlineMs - shared.timer.now())
  return Math.round(Math.min(memoryRetryMs, leftMs * memoryRetryShare) * (1 - memoryRetrySpread * shared.random()))
}
