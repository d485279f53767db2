/**
 * Prepares an attempt of a generation: reserves memory at an engine, then has the prompt prefilled.
 */
import { Err, Ok } from '../core/results/mod.ts'
import { RefusalCode } from '../core/types/mod.ts'
import { Count } from '../metrics/mod.ts'
import { findCallerReply } from './_identify_caller.ts'
import { freeKvCache, prefillWithRetry } from './_prefill.ts'
import { releaseReservation, reserveMemory } from './_reserve_memory.ts'
import type { Result } from '../core/results/mod.ts'
import type { PrefillResult } from './_prefill.ts'
import type { EngineFilter, Reservation } from './_reserve_memory.ts'
import type { ClientRequest, GatewayContext } from './_types.ts'

/** An attempt for which everything is ready. */
export interface PreparedAttempt {
  reservation: Reservation
  /** KV cache of the prompt; absent when the decode engine runs the prefill. */
  kvCache?: NonNullable<PrefillResult['kvCache']>
  /** Times in milliseconds that the reservation and the prefill took. */
  holdMs: number
  prefillMs: number
}

/** Configures the preparation. */
export interface PrepareAttemptOptions extends EngineFilter {
  /** True when a repeated send is still to be taken from the retry budget, once memory is reserved. */
  takesRetry: boolean
}

/** Prepares an attempt; on failure nothing stays reserved or cached, and the error is the reason. */
export async function prepareAttempt (
  context: GatewayContext, request: ClientRequest, options: PrepareAttemptOptions
): Promise<Result<PreparedAttempt, string>> {
  const { timer } = context
  const startedMs = timer.now()
  if (isQuarantined(context, request)) return Err('prompt_quarantined')
  const reply = findCallerReply(request)
  if (reply !== undefined) return Err(reply.reason)
  const reservation = await reserveMemory(context, request, options)
  const reservedAtMs = timer.now()
  context.metrics.count(Count.Reservations, { result: reservation === undefined ? 'refused' : 'taken' })
  if (reservation === undefined) return Err('no_memory')
  logReservation(context, request, reservation, reservedAtMs - startedMs)
  // Other requests may have crashed engines, and the key may have been withdrawn, while this one waited.
  const mayPrefill = !isQuarantined(context, request) && findCallerReply(request) === undefined && (!options.takesRetry || takeRetry(context, request))
  const { kvCache, isRefused } = mayPrefill
    ? await prefillWithRetry(context, request, reservation.prefillEngine, reservation.worker)
    : { kvCache: undefined, isRefused: false }
  const attempt = {
    reservation, ...(kvCache === undefined ? {} : { kvCache }), holdMs: Math.round(reservedAtMs - startedMs), prefillMs: Math.round(timer.now() - reservedAtMs)
  }
  const isHeldBack = isQuarantined(context, request)
  const isOverBudget = !mayPrefill || (isRefused && !takeRetry(context, request))
  const refusal = findCallerReply(request)?.reason
  if (!isHeldBack && !isOverBudget && refusal === undefined && request.stopReason() === undefined) return Ok(attempt)
  releaseAttempt(context, request, attempt)
  return Err(request.stopReason() ?? refusal ?? (isHeldBack ? 'prompt_quarantined' : RefusalCode.RetryBudgetExhausted))
}

/** Releases the memory and the KV cache of an attempt that is not made. */
export function releaseAttempt (context: GatewayContext, request: ClientRequest, { reservation, kvCache }: PreparedAttempt): void {
  releaseReservation(context, reservation, request.requestId)
  if (kvCache !== undefined) freeKvCache(context, kvCache.worker, kvCache.handle)
}

function takeRetry (context: GatewayContext, request: ClientRequest): boolean {
  return context.retryBudget(request.service.name).take(context.timer.now())
}

function isQuarantined (context: GatewayContext, request: ClientRequest): boolean {
  return context.promptGuard.find(request.head.sharedParts) !== undefined
}

function logReservation (context: GatewayContext, request: ClientRequest, reservation: Reservation, waitedMs: number): void {
  const { worker, prefillEngine, tokens, held } = reservation
  const capacityFields = worker.capacity === undefined
    ? {}
    : { roomTokens: worker.capacity.freeTokens, roomAgeMs: Math.round(context.timer.now() - worker.capacity.receivedAtMs) }
  context.log.info({
    request: request.requestId, worker: worker.entry.id, reader: prefillEngine?.entry.id, tokens, waitedMs: Math.round(waitedMs), held, ...capacityFields
  }, 'reserved')
}
