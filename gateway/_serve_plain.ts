/**
 * Serves requests of plain services: one worker answers, another one is asked only where that is safe.
 */
import { chooseWorker } from '../core/fleet/mod.ts'
import { RequestKind } from '../core/route/mod.ts'
import { planRetry } from '../core/retry/mod.ts'
import { Outcome } from '../core/types/mod.ts'
import { Count } from '../metrics/mod.ts'
import { sendToWorker } from './_send_to_worker.ts'
import { StopReason } from './_types.ts'
import type { Worker } from '../core/fleet/mod.ts'
import type { WorkerResponse } from './_send_to_worker.ts'
import type { RequestResult, ClientRequest, GatewayContext } from './_types.ts'

/** Bytes of an answer that are kept before any goes to the client, so that a cut answer can still be replaced. */
const keptBytes = 262_144
/** Time in milliseconds after which a client is asked to come back when no worker could take its request. */
const retryAfterMs = 200
/** Cost in milliseconds of a failed request in the choice of a worker; about the time that a second one takes. */
const failureMs = 400
/** Status of a worker's answer from which on it counts as failed. */
const failedStatus = 500

enum SendEnd {
  Answered = 'answered',
  NotRun = 'not_run',
  Lost = 'lost',
  Stopped = 'stopped'
}

interface SendResult {
  end: SendEnd
  /** True when the request reached the worker. */
  arrived: boolean
  reason: string
  /** The whole answer, when none of it went to the client yet. */
  answer?: { head: WorkerResponse, body: Buffer }
}

/** Serves one request and says how it ended. */
export async function servePlain (shared: GatewayContext, job: ClientRequest): Promise<RequestResult> {
  const { directory, timer, random } = shared
  const idempotent = job.route.kind === RequestKind.Idempotent
  const exclude = new Set<string>()
  let attempt = 0
  let mayHaveRun = false
  let last: SendResult | undefined

  for (;;) {
    const options = { nowMs: timer.now(), roundTripMs: shared.roundTripMs, exclude, failureMs, random }
    const worker = chooseWorker(directory.fleet.serving(job.service.name), options)
    if (worker === undefined) return finish(job, attempt, mayHaveRun, last, 'no_worker')
    attempt++
    const result = await sendOnce(shared, job, worker)
    if (result.end === SendEnd.Stopped) return stop(job, attempt, mayHaveRun || result.arrived, worker)
    mayHaveRun ||= result.end !== SendEnd.NotRun
    const failed = result.answer !== undefined && result.answer.head.status >= failedStatus
    if (result.end === SendEnd.Answered && !(failed && idempotent)) return deliver(job, attempt, result, worker)
    last = result.answer === undefined ? last : result
    exclude.add(worker.entry.id)
    const about = { request: job.requestId, attempt, worker: worker.entry.id, end: result.end, status: result.answer?.head.status, reason: result.reason }
    shared.log.warn({ ...about, failures: worker.failureShare, leftMs: Math.round(job.deadlineMs - timer.now()) }, 'attempt failed')
    if (!result.arrived) {
      attempt-- // The worker has seen nothing, so it counts as none.
      continue
    }
    const outcome = result.end === SendEnd.NotRun ? Outcome.NotRun : Outcome.Unknown
    const plan = planRetry(
      { outcome, idempotent, attempt, deadlineMs: job.deadlineMs, lastBackend: worker.entry.id },
      { budget: shared.retryBudget(job.service.name), nowMs: timer.now(), random, maxAttempts: job.route.maxAttempts }
    )
    if (plan.err) return finish(job, attempt, mayHaveRun, last, plan.val, result.reason)
    shared.metrics.count(Count.Retries, { service: job.service.name })
  }
}

function deliver (job: ClientRequest, attempts: number, result: SendResult, worker: Worker): RequestResult {
  if (result.answer !== undefined) job.reply.sendWhole(result.answer.head, result.answer.body)
  return { status: result.answer?.head.status ?? 200, reason: 'answered', worker: worker.entry.id, attempts }
}

function finish (job: ClientRequest, attempts: number, mayHaveRun: boolean, last: SendResult | undefined, reason: string, detail?: string): RequestResult {
  if (last?.answer !== undefined) {
    job.reply.sendWhole(last.answer.head, last.answer.body)
    return { status: last.answer.head.status, reason: 'worker_failed', attempts }
  }
  if (job.reply.hasBegun()) job.reply.abort()
  else if (mayHaveRun) job.reply.sendLocal({ status: 502, reason })
  else job.reply.sendLocal({ status: 503, reason, retryAfterMs })
  return { status: mayHaveRun ? 502 : 503, reason, detail, attempts }
}

function stop (job: ClientRequest, attempts: number, mayHaveRun: boolean, worker: Worker): RequestResult {
  const reason = job.stopReason() ?? StopReason.DeadlineExceeded
  if (reason === StopReason.DeadlineExceeded) {
    if (job.reply.hasBegun()) job.reply.abort()
    else if (mayHaveRun) job.reply.sendLocal({ status: 504, reason })
    else job.reply.sendLocal({ status: 503, reason, retryAfterMs })
  }
  return { status: mayHaveRun ? 504 : 503, reason, worker: worker.entry.id, attempts }
}

function sendOnce (shared: GatewayContext, job: ClientRequest, worker: Worker): Promise<SendResult> {
  const { timer, directory } = shared
  const startedMs = timer.now()
  return new Promise((resolve) => {
    let head: WorkerResponse | undefined
    let chunks: Buffer[] = []
    let bytes = 0
    let streaming = false
    let over = false

    function settle (result: SendResult, failed: boolean): void {
      if (over) return
      over = true
      const latencyMs = result.end === SendEnd.Answered ? timer.now() - startedMs : undefined
      directory.fleet.recordResult(worker, latencyMs === undefined ? { failed } : { latencyMs, failed })
      resolve(result)
    }

    const exchange = sendToWorker(shared, job, worker, {}, {
      onHead (answer) { head = answer },
      onData (chunk) {
        bytes += chunk.length
        if (streaming) forward(chunk)
        else chunks.push(chunk)
        if (streaming || bytes <= keptBytes || head === undefined) return
        streaming = true
        job.reply.begin(head)
        for (const kept of chunks.splice(0)) forward(kept)
      },
      onEnd () {
        if (streaming) job.reply.end()
        const body = Buffer.concat(chunks)
        chunks = []
        const answer = streaming || head === undefined ? {} : { answer: { head, body } }
        settle({ end: SendEnd.Answered, arrived: true, reason: 'answered', ...answer }, (head?.status ?? failedStatus) >= failedStatus)
      },
      onRefused ({ arrived, reason }) { settle({ end: SendEnd.NotRun, arrived, reason }, true) },
      onLost (reason) { settle({ end: SendEnd.Lost, arrived: true, reason }, true) }
    })

    function forward (chunk: Buffer): void {
      if (job.reply.write(chunk)) return
      exchange.pause()
      job.reply.onDrain(() => exchange.resume())
    }

    job.onStop((reason) => {
      if (over) return
      exchange.abort()
      settle({ end: SendEnd.Stopped, arrived: true, reason }, reason === StopReason.DeadlineExceeded)
    })
  })
}
