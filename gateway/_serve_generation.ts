/**
 * Serves generations: memory at a decode engine is reserved first, then the prompt is read, then the stream is forwarded.
 */
import { RefusalCode } from '../core/types/mod.ts'
import { createEventSplitter } from '../core/stream/mod.ts'
import { Count } from '../metrics/mod.ts'
import { forwardStream, StreamEnd } from './_forward_stream.ts'
import { reserveAtEngine, releaseReservation, reserveMemory } from './_reserve_memory.ts'
import { freeKvCache, prefillWithRetry } from './_prefill.ts'
import { StopReason } from './_types.ts'
import type { EventSplitter } from '../core/stream/mod.ts'
import type { StreamResult } from './_forward_stream.ts'
import type { Reservation } from './_reserve_memory.ts'
import type { RequestResult, ClientRequest, GatewayContext } from './_types.ts'

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
export async function serveGeneration (shared: GatewayContext, job: ClientRequest): Promise<RequestResult> {
  const tries: Tries = { attempts: 0, exclude: new Set(), mayHaveRun: false }
  if (job.route.mayResume) tries.events = createEventSplitter(job.head.lastEventId)
  for (;;) {
    const startedMs = shared.timer.now()
    const hold = await reserveMemory(shared, job, tries.exclude)
    const heldMs = shared.timer.now()
    shared.metrics.count(Count.Holds, { result: hold === undefined ? 'refused' : 'taken' })
    if (hold === undefined) return giveUp(shared, job, tries, 'no_memory')
    const { worker, prefillEngine: reader, tokens } = hold
    const room = worker.capacity === undefined ? {} : { roomTokens: worker.capacity.freeTokens, roomAgeMs: Math.round(heldMs - worker.capacity.receivedAtMs) }
    const waitedMs = Math.round(heldMs - startedMs)
    shared.log.info({ request: job.requestId, worker: worker.entry.id, reader: reader?.entry.id, tokens, waitedMs, ...room }, 'reserved')
    const { kvCache: read, refused } = await prefillWithRetry(shared, job, reader)
    const isOverBudget = refused && !shared.retryBudget(job.service.name).take(shared.timer.now())
    if (isOverBudget || job.stopReason() !== undefined) {
      releaseReservation(shared, hold, job.requestId)
      if (read !== undefined) freeKvCache(shared, read.worker, read.handle)
      return giveUp(shared, job, tries, job.stopReason() ?? RefusalCode.RetryBudgetExhausted)
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
  shared: GatewayContext, job: ClientRequest, tries: Tries, hold: Reservation, kvSource: { address: string, handle: string } | undefined
): Promise<StreamResult> {
  const events = tries.events === undefined ? {} : { events: tries.events }
  if (kvSource === undefined) return await forwardStream(shared, job, { reservation: hold, ...events })
  const result = await forwardStream(shared, job, { reservation: hold, kvSource, ...events })
  if (result.end !== StreamEnd.Refused || !shared.retryBudget(job.service.name).take(shared.timer.now())) return result
  // The KV cache is gone; the engine that was to take it reads the prompt itself, and no other engine is asked.
  const again = await reserveAtEngine(shared, job, hold.worker, hold.prefillEngine)
  return again.err ? result : await forwardStream(shared, job, { reservation: again.val, ...events })
}

/** Tells whether another engine is asked: only for a stream that may resume, within attempts, time and budget. */
function mayGoOn (shared: GatewayContext, job: ClientRequest, tries: Tries, result: StreamResult): boolean {
  if (!job.route.mayResume || tries.attempts >= job.route.maxAttempts || job.stopReason() !== undefined) return false
  const isLost = result.end === StreamEnd.Lost || result.end === StreamEnd.Refused
  return isLost && shared.retryBudget(job.service.name).take(shared.timer.now())
}

/** Ends a request that no engine serves: a broken answer is cut, and only one that has not run may come back. */
function giveUp (shared: GatewayContext, job: ClientRequest, tries: Tries, reason: string): RequestResult {
  const { attempts, mayHaveRun } = tries
  const ended = { status: mayHaveRun ? 502 : 503, reason, attempts }
  if (job.stopReason() === StopReason.ClientDisconnected) return ended
  if (job.reply.hasBegun()) job.reply.abort()
  else if (mayHaveRun) job.reply.sendLocal({ status: 502, reason })
  else job.reply.sendLocal({ status: 503, reason, retryAfterMs: reason === 'no_memory' ? memoryRetry(shared, job) : retryAfterMs })
  return ended
}

function memoryRetry (shared: GatewayContext, job: ClientRequest): number {
  const leftMs = Math.max(0, job.deadlineMs - shared.timer.now())
  return Math.round(Math.min(memoryRetryMs, leftMs * memoryRetryShare) * (1 - memoryRetrySpread * shared.random()))
}
