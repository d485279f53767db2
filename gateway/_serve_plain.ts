/**
 * Serves requests of plain services by one worker; a request is retried at another worker only when that is safe.
 */
import { chooseWorker, HoldReason, takeSendPlace } from '../core/fleet/mod.ts'
import { RequestKind } from '../core/route/mod.ts'
import { planRetry } from '../core/retry/mod.ts'
import { Err, Ok } from '../core/results/mod.ts'
import { Outcome } from '../core/types/mod.ts'
import { Count } from '../metrics/mod.ts'
import { checkWorker, recordHeld } from './_check_worker.ts'
import { findCallerReply } from './_identify_caller.ts'
import { describeMissing, mayBeTakenUp, refuseResumption } from './_resume_stream.ts'
import { recordPlainOrigin, SendEnd, sendPlain } from './_send_plain.ts'
import { getReturnMs } from './_send_to_worker.ts'
import { StopReason } from './_types.ts'
import type { Worker } from '../core/fleet/mod.ts'
import type { Origin } from '../core/origin/mod.ts'
import type { Result } from '../core/results/mod.ts'
import type { NotPlaced, Placed } from './_place_plain.ts'
import type { ResumedStream } from './_resume_stream.ts'
import type { SendResult } from './_send_plain.ts'
import type { RequestResult, ClientRequest, GatewayContext } from './_types.ts'

/** Delay in milliseconds after which a client may retry when no worker could take its request. */
const retryAfterMs = 200
/** Cost in milliseconds of a failed request in the choice of a worker; about the duration of a retry. */
const failureMs = 400
/** Largest share of the target latency for which a request waits until a worker that limits its rate accepts it. */
const maxSendDelayShare = 0.5
/** Lowest status of a worker's response that counts as failed. */
const minFailureStatus = 500

/** Serves one request, or the rest of a stream at the software version that began it, and returns its result. */
export async function servePlain (context: GatewayContext, { request, origin }: ResumedStream): Promise<RequestResult> {
  const { directory, timer, random } = context
  context.workerLoads.deadlines.record(request.route.name, request.head.deadlineMs ?? request.route.timeoutMs)
  const idempotent = request.route.kind === RequestKind.Idempotent || mayBeTakenUp(request)
  const tried = new Set<string>()
  let attempt = 0
  let mayHaveRun = false
  let last: SendResult | undefined

  for (;;) {
    const workers = directory.fleet.serving(request.service.name)
    const exclude = new Set([...tried, ...listOtherVersions(workers, origin)])
    const held = recordHeld(context, request.service.name, workers)
    if (!mayHaveRun && origin !== undefined && exclude.size === workers.length) return refuseResumption(request, describeMissing(context))
    const placed = await choose(context, request, workers, exclude)
    if (placed.err) return finishFailed(request, attempt, mayHaveRun, last, { retryAfterMs, ...placed.val, held })
    const { worker, queueMs, ...expectation } = placed.val
    // The key may have been withdrawn while the request waited.
    const callerReply = findCallerReply(request)
    if (callerReply !== undefined) return finishFailed(request, attempt, mayHaveRun, last, { ...callerReply })
    const refusal = findRefusal(context, request, workers, worker)
    if (refusal !== undefined) return finishFailed(request, attempt, mayHaveRun, last, { ...refusal, held })
    const delayMs = takeSendPlace(worker, timer.now())
    if (delayMs > 0) {
      await new Promise<void>((resolve) => { timer.after(delayMs, resolve) })
      const reason = request.stopReason()
      if (reason !== undefined) return finishFailed(request, attempt, mayHaveRun, last, { reason, retryAfterMs, held })
    }
    attempt++
    const result = await sendPlain(context, request, worker, queueMs)
    if (result.end === SendEnd.Stopped) return finishStopped(request, attempt, mayHaveRun || result.hasArrived, worker)
    mayHaveRun ||= result.end !== SendEnd.NotRun
    // A response that has begun cannot be replaced by that of another worker.
    if (result.end === SendEnd.Lost && request.reply.hasBegun()) {
      const { reason: detail, bytes, framing } = result
      return { ...finishFailed(request, attempt, mayHaveRun, last, { reason: 'response_broken', detail, held }), worker: worker.entry.id, bytes, framing }
    }
    const hasFailed = result.response !== undefined && result.response.head.status >= minFailureStatus
    if (result.end === SendEnd.Completed && !(hasFailed && idempotent)) return { ...deliver(context, request, attempt, result, worker), held, ...expectation }
    last = result.response === undefined ? last : result
    tried.add(worker.entry.id)
    const { end, reason, bytes, framing } = result
    const fields = { request: request.requestId, attempt, worker: worker.entry.id, end, status: result.response?.head.status, reason, bytes, framing }
    context.log.warn({ ...fields, failures: worker.failureShare, leftMs: Math.round(request.deadlineMs - timer.now()) }, 'attempt failed')
    if (!result.hasArrived) {
      attempt-- // The request did not reach the worker, so this does not count as an attempt.
      continue
    }
    const outcome = result.end === SendEnd.NotRun ? Outcome.NotRun : Outcome.Unknown
    const plan = planRetry(
      { outcome, idempotent, attempt, deadlineMs: request.deadlineMs, lastBackend: worker.entry.id },
      { budget: context.retryBudget(request.service.name), nowMs: timer.now(), random, maxAttempts: request.route.maxAttempts }
    )
    if (plan.err) return finishFailed(request, attempt, mayHaveRun, last, { reason: plan.val, retryAfterMs, detail: result.reason, held })
    context.metrics.count(Count.Retries, { service: request.service.name })
  }
}

/** Returns the ids of the workers at which a stream may not go on, because their software version is not that of its origin. */
function listOtherVersions (workers: readonly Worker[], origin: Origin | undefined): string[] {
  return workers.flatMap(({ entry }) => origin === undefined || entry.softwareVersion === origin.softwareVersion ? [] : [entry.id])
}

/** Chooses a worker by the loads of all gateways where they are known, else by what this one has measured. */
async function choose (
  context: GatewayContext, request: ClientRequest, workers: Worker[], exclude: ReadonlySet<string>
): Promise<Result<Placed, NotPlaced>> {
  if (context.workerLoads.isKnown()) return await context.plainPlacement.place(request, exclude, failureMs)
  const { timer, random, roundTripMs, settings: { drainMs } } = context
  const worker = chooseWorker(workers, { nowMs: timer.now(), drainMs, roundTripMs, exclude, failureMs, random })
  return worker === undefined ? Err({ reason: 'no_worker' }) : Ok({ worker })
}

/** Returns why a request is refused at once instead of waiting for the chosen worker; undefined when it is sent or waits for a moment. */
function findRefusal (context: GatewayContext, request: ClientRequest, workers: Worker[], worker: Worker): PlainFailure | undefined {
  const { timer, random } = context
  const { reason, untilMs } = checkWorker(context, worker)
  const delayMs = untilMs - timer.now()
  const isHeld = reason === HoldReason.RetryAfter
  if ((!isHeld && reason !== HoldReason.Limit) || delayMs <= maxSendDelayShare * request.route.targetLatencyMs) return undefined
  if (isHeld) return { reason: 'worker_retry_after', retryAfterMs: getReturnMs(context, workers) ?? Math.round(delayMs) }
  return { reason: 'worker_limit', retryAfterMs: Math.round(delayMs * (1 + random())) }
}

/** Sends a buffered response to the client; a streamed one has been sent already. */
function deliver (context: GatewayContext, request: ClientRequest, attempts: number, result: SendResult, worker: Worker): RequestResult {
  if (result.response !== undefined) {
    recordPlainOrigin(context, request, worker)
    request.reply.sendWhole(result.response.head, result.response.body)
  }
  return { status: result.response?.head.status ?? 200, reason: 'answered', worker: worker.entry.id, attempts, bytes: result.bytes ?? 0, framing: result.framing }
}

/** Why a request is not sent again. */
interface PlainFailure {
  /** Status when no worker may have run the request; 503 by default. */
  status?: number
  reason: string
  /** Time in milliseconds after which the client may retry, if the request has not run. */
  retryAfterMs?: number
  detail?: string
  /** Workers that the choice held back, for the log. */
  held?: string | undefined
}

/** Ends a request that is not sent again, with the last response of a worker if there is one. */
function finishFailed (
  request: ClientRequest, attempts: number, mayHaveRun: boolean, last: SendResult | undefined, failure: PlainFailure
): RequestResult {
  const { reason, retryAfterMs, detail, held } = failure
  const status = mayHaveRun ? 502 : failure.status ?? 503
  if (request.reply.hasBegun()) {
    request.reply.abort()
    return { status: 502, reason, detail, attempts, held }
  }
  if (last?.response !== undefined) {
    request.reply.sendWhole(last.response.head, last.response.body)
    return { status: last.response.head.status, reason: 'worker_failed', attempts, held }
  }
  request.reply.sendLocal(mayHaveRun || retryAfterMs === undefined ? { status, reason } : { status, reason, retryAfterMs })
  return { status, reason, detail, attempts, held }
}

/** Ends a request whose client has disconnected or whose deadline has passed, or that is left when the process exits. */
function finishStopped (request: ClientRequest, attempts: number, mayHaveRun: boolean, worker: Worker): RequestResult {
  const reason = request.stopReason() ?? StopReason.DeadlineExceeded
  if (reason !== StopReason.ClientDisconnected) {
    if (request.reply.hasBegun()) request.reply.abort()
    else if (mayHaveRun) request.reply.sendLocal({ status: 504, reason })
    else request.reply.sendLocal({ status: 503, reason, retryAfterMs })
  }
  return { status: mayHaveRun ? 504 : 503, reason, worker: worker.entry.id, attempts }
}
