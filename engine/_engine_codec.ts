/**
 * Converts between the types of the adapter interface and the JSON bodies of the engine protocol.
 */
import { z } from 'zod'
import { Role, TierClass } from '../core/types/mod.ts'
import type { ZodType } from 'zod'
import type { AttemptRef } from '../core/types/mod.ts'
import type {
  CacheEvent, DecodeJob, EngineLoad, EngineOrder, EngineState, HeldStream, PrefillJob, PrefillResult
} from './_types.ts'

/** A JSON object of the engine protocol. */
export type JsonObject = Record<string, unknown>

/** Priorities of the engine protocol; an engine runs lower numbers first. */
const priorities: { [K in TierClass]: number } = {
  [TierClass.Paid]: 0,
  [TierClass.Free]: 1
}

/** Builds the fields that identify an attempt. */
export function buildAttemptBody (ref: AttemptRef): JsonObject {
  return { request_id: ref.requestId, attempt: ref.attempt }
}

/** Builds the body of a prefill request. */
export function buildPrefillBody (job: PrefillJob): JsonObject {
  const { model, version, prompt } = job
  return { ...buildAttemptBody(job), model, version, prompt, priority: priorities[job.tierClass] }
}

/** Builds the body of a decode request. */
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

/** Builds the body of an order. */
export function buildOrderBody (order: EngineOrder): JsonObject {
  const { fence, role, model, version, adapter } = order
  return { fence, role, model, version, adapter }
}

const maxNameLength = 512
const name = z.string().max(maxNameLength)
const count = z.int().nonnegative()
const amount = z.number().nonnegative()

/** Decodes the result of a prefill. */
export const prefillResultSchema: ZodType<PrefillResult> = z.object({
  handle: name, kv_address: name, prompt_tokens: count, cached_tokens: count, keeps_ms: amount
}).transform((body) => ({
  handle: body.handle,
  kvAddress: body.kv_address,
  promptTokens: body.prompt_tokens,
  cachedTokens: body.cached_tokens,
  keepsMs: body.keeps_ms
}))

/** Decodes the number of pieces that a cancel has freed. */
export const cancelledPiecesSchema: ZodType<number> = z.object({ pieces: count }).transform(({ pieces }) => pieces)

/** Decodes the list of work that the engine holds memory for. */
export const heldStreamsSchema: ZodType<HeldStream[]> = z.object({
  streams: z.array(z.object({ request_id: name, attempt: count, pieces: count, offset: count, phase: z.enum(['prefill', 'kv', 'decode']) }))
}).transform(({ streams }) => streams.map(({ request_id: requestId, attempt, pieces, offset, phase }) => ({
  requestId, attempt, pieces, offset, phase
})))

/** Decodes a load report. */
export const loadSchema: ZodType<EngineLoad> = z.object({
  seats: count, seats_used: count, pieces: count, pieces_used: count, queued_tokens: amount, age_ms: amount
}).transform((body) => ({
  seats: body.seats,
  seatsUsed: body.seats_used,
  pieces: body.pieces,
  piecesUsed: body.pieces_used,
  queuedTokens: body.queued_tokens,
  ageMs: body.age_ms
}))

/** Decodes the state of the engine. */
export const stateSchema: ZodType<EngineState> = z.object({
  role: z.enum(Role), model: name, version: name, adapter: name, fence: count, loading: z.boolean().optional(), tokens_per_piece: count
}).transform(({ role, model, version, adapter, fence, loading, tokens_per_piece: tokensPerPiece }) => ({
  role, model, version, adapter, fence, loading: loading === true, tokensPerPiece
}))

/** Decodes a list of cache events. */
export const cacheEventsSchema: ZodType<CacheEvent[]> = z.object({
  events: z.array(z.object({ seq: count, kind: z.enum(['stored', 'evicted']), prefix: name, tokens: count }))
}).transform(({ events }) => events)
