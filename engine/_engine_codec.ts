/**
 * Translates between the adapter interface and the JSON bodies of the engine protocol.
 */
import { TierClass } from '../core/types/mod.ts'
import type { AttemptRef } from '../core/types/mod.ts'
import type {
  CacheEvent, DecodeJob, EngineLoad, EngineOrder, EngineState, HeldStream, PrefillJob, PrefillResult
} from './_types.ts'

/** A JSON object from the engine. */
export type JsonObject = Record<string, unknown>

const priorities: { [K in TierClass]: number } = {
  [TierClass.Paid]: 0,
  [TierClass.Free]: 1
}

/** Writes the identity of an attempt. */
export function buildAttemptBody (ref: AttemptRef): JsonObject {
  return { request_id: ref.requestId, attempt: ref.attempt }
}

/** Writes a prefill. */
export function buildPrefillBody (job: PrefillJob): JsonObject {
  const { model, version, prompt } = job
  return { ...buildAttemptBody(job), model, version, prompt, priority: priorities[job.tierClass] }
}

/** Writes a decode. */
export function buildDecodeBody (job: DecodeJob): JsonObject {
  return {
    ...buildAttemptBody(job),
    model: job.model,
    version: job.version,
    handle: job.handle,
    kv_address: job.kvAddress,
    prompt_tokens: job.promptTokens,
    max_tokens: job.maxTokens,
    start_offset: job.startOffset,
    priority: priorities[job.tierClass]
  }
}

/** Writes an order. */
export function buildOrderBody (order: EngineOrder): JsonObject {
  const { fence, role, model, version, adapter } = order
  return { fence, role, model, version, adapter }
}

/** Reads a prefill result. */
export function parsePrefillResult (body: JsonObject): PrefillResult {
  return {
    handle: String(body.handle),
    kvAddress: String(body.kv_address),
    promptTokens: Number(body.prompt_tokens),
    cachedTokens: Number(body.cached_tokens),
    keepsMs: Number(body.keeps_ms)
  }
}

/** Reads the list of held work. */
export function parseHeldStreams (body: JsonObject): HeldStream[] {
  return (body.streams as JsonObject[]).map((stream) => ({
    requestId: String(stream.request_id),
    attempt: Number(stream.attempt),
    pieces: Number(stream.pieces),
    offset: Number(stream.offset),
    phase: stream.phase as HeldStream['phase']
  }))
}

/** Reads a load report. */
export function parseLoad (body: JsonObject): EngineLoad {
  return {
    seats: Number(body.seats),
    seatsUsed: Number(body.seats_used),
    pieces: Number(body.pieces),
    piecesUsed: Number(body.pieces_used),
    queuedTokens: Number(body.queued_tokens),
    ageMs: Number(body.age_ms)
  }
}

/** Reads what the engine serves. */
export function parseState (body: JsonObject): EngineState {
  return {
    role: body.role as EngineState['role'],
    model: String(body.model),
    version: String(body.version),
    adapter: String(body.adapter),
    fence: Number(body.fence),
    loading: body.loading === true,
    tokensPerPiece: Number(body.tokens_per_piece)
  }
}

/** Reads cache events. */
export function parseCacheEvents (body: JsonObject): CacheEvent[] {
  return body.events as CacheEvent[]
}
