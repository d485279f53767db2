/**
 * The HTTP handlers of the completion endpoints and of the list of models.
 */
import { CompletionKind, createResponseFormat, parseCompletion } from './_openai.ts'
import { chooseVersion } from './_versions.ts'
import { identifyOrRefuse } from './_identify.ts'
import { createRefusal, sendRefusal } from './_refusals.ts'
import { createBodySink, createEventStreamSink } from './_sinks.ts'
import { readBody } from './_http_server.ts'
import { Outcome, RefusalCode } from '../core/types/mod.ts'
import { Err, Ok } from '../core/results/mod.ts'
import type { Result } from '../core/results/mod.ts'
import type { RequestSpec } from '../core/request/mod.ts'
import type { Configuration } from '../core/configuration/mod.ts'
import type { Limiter } from '../core/limits/mod.ts'
import type { Timer } from '../timer/mod.ts'
import type { Auth, Identity } from './_auth.ts'
import type { HttpCall, HttpRoute } from './_http_server.ts'
import type { ResponseSink } from './_model_requests.ts'
import type { CompletionRequest } from './_openai.ts'
import type { HttpRefusal } from './_refusals.ts'
import type { EntryStats } from './_stats.ts'

/** Configures the handlers. */
export interface CompletionsOptions {
  timer: Timer
  config: Configuration
  auth: Auth
  limiter: Limiter
  stats: EntryStats
  maxBodyBytes: number
  /** Largest number of unsent bytes of a response; a caller that reads too slowly and exceeds it is disconnected. */
  maxUnsentBytes: number
  /** True when the entry holds as many requests as its settings allow. */
  isFull: () => boolean
  /** Starts a request; its tokens and its end go to `sink`. */
  run (spec: RequestSpec, identity: Identity, sink: ResponseSink): void
  /** Cancels a request whose caller disconnected. */
  cancel (requestId: string): void
}

interface PreparedRequest {
  request: CompletionRequest
  spec: RequestSpec
}

const wordPattern = /\S+/g

/** Estimates the number of tokens of a text by its number of words. */
function countTokens (text: string): number {
  return text.match(wordPattern)?.length ?? 0
}

/** Chooses the version that serves a request and describes the request; a refusal when the tier can't use that model or version. */
function prepareRequest (
  options: CompletionsOptions, identity: Identity, requestId: string, request: CompletionRequest
): Result<PreparedRequest, HttpRefusal> {
  const version = chooseVersion(options.config, identity.tier, request.model, request.version, requestId)
  if (version.err) return version
  const spec: RequestSpec = {
    requestId,
    caller: identity.caller.name,
    tierClass: identity.tier.tierClass,
    model: request.model,
    version: version.val,
    prompt: request.prompt,
    promptTokens: countTokens(request.prompt),
    maxTokens: request.maxTokens
  }
  return Ok({ request, spec })
}

/** Charges a request's tokens to its caller's limits and measures latency at the caller's side. */
interface Meter {
  sink: ResponseSink
  /** Cancels a request whose caller disconnected; does nothing after its end. */
  onCallerDisconnect (): void
}

/** Creates a meter whose sink counts tokens and measures times, and passes everything on to `sink`. */
function createMeter (options: CompletionsOptions, identity: Identity, spec: RequestSpec, sink: ResponseSink): Meter {
  const { timer, limiter, stats } = options
  const startedMs = timer.now()
  const admittedTokens = spec.promptTokens + spec.maxTokens
  let lastBatchMs = 0
  let tokens = 0
  let isSettled = false

  function settle (): void {
    isSettled = true
    limiter.settleTokens(spec.caller, admittedTokens, spec.promptTokens + tokens)
    limiter.release(spec.caller)
  }

  function end (outcome: Outcome): void {
    settle()
    stats.recordRequest(identity.tier, outcome, timer.now() - startedMs)
  }

  return {
    onCallerDisconnect () {
      if (isSettled) return
      settle()
      stats.recordCallerDisconnect(identity.tier)
      options.cancel(spec.requestId)
    },
    sink: {
      onTokens (batch) {
        const nowMs = timer.now()
        if (tokens === 0) stats.recordFirstToken(identity.tier, nowMs - startedMs)
        else stats.recordTokenInterval(identity.tier, (nowMs - lastBatchMs) / batch.length)
        lastBatchMs = nowMs
        tokens += batch.length
        stats.recordTokens(identity.tier, batch.length)
        sink.onTokens(batch)
      },
      onFinish (total, reason) {
        end(Outcome.Done)
        sink.onFinish(total, reason)
      },
      onRefused (code, outcome, retryAfterMs) {
        end(outcome)
        stats.recordRefusal(identity.tier, code)
        sink.onRefused(code, outcome, retryAfterMs)
      },
      onAbort (code, outcome) {
        end(outcome)
        sink.onAbort(code, outcome)
      }
    }
  }
}

/** Admits a request under its caller's limits and runs it, or refuses it. */
function admitAndRun (
  options: CompletionsOptions, call: HttpCall, identity: Identity, kind: CompletionKind, prepared: PreparedRequest
): void {
  const { request, spec } = prepared
  const admitted = options.limiter.admit(spec.caller, spec.promptTokens + spec.maxTokens, options.timer.now())
  if (admitted.err) {
    options.stats.recordRequest(identity.tier, Outcome.NotRun, 0)
    options.stats.recordRefusal(identity.tier, admitted.val.code)
    sendRefusal(call.res, createRefusal(admitted.val.code, Outcome.NotRun, admitted.val.retryAfterMs))
    return
  }
  const format = createResponseFormat(kind, spec.requestId, request.model, Math.floor(options.timer.wallClockMs() / 1000))
  const onSlow = (): void => { call.res.destroy() }
  const responseSink = request.stream
    ? createEventStreamSink(call, format, onSlow, options.maxUnsentBytes)
    : createBodySink(call, format, spec.promptTokens)
  const meter = createMeter(options, identity, spec, responseSink)
  call.res.on('close', meter.onCallerDisconnect)
  // The caller may have disconnected while its body was read.
  if (call.res.destroyed) meter.onCallerDisconnect()
  else options.run(spec, identity, meter.sink)
}

/**
 * Creates the routes of the completion endpoints and of the list of models.
 */
export function createCompletionRoutes (options: CompletionsOptions): HttpRoute[] {
  async function complete (kind: CompletionKind, call: HttpCall): Promise<void> {
    const identity = identifyOrRefuse(options.auth, call)
    if (identity === undefined) return
    if (options.isFull()) {
      options.stats.recordRefusal(identity.tier, RefusalCode.NoCapacity)
      sendRefusal(call.res, createRefusal(RefusalCode.NoCapacity, Outcome.NotRun, 1000))
      return
    }
    const body = await readBody(call.bodies, call, options.maxBodyBytes)
    if (body.err) {
      sendRefusal(call.res, body.val)
      return
    }
    const request = parseCompletion(kind, body.val)
    const prepared = request.ok ? prepareRequest(options, identity, call.requestId, request.val) : Err(request.val)
    if (prepared.err) sendRefusal(call.res, prepared.val)
    else admitAndRun(options, call, identity, kind, prepared.val)
  }

  function listModels (call: HttpCall): void {
    const identity = identifyOrRefuse(options.auth, call)
    if (identity === undefined) return
    const names = [...new Set(identity.tier.models.map((item) => item.model))]
    const data = names.map((id) => ({ id, object: 'model', created: 0, owned_by: 'briarloom' }))
    call.res.writeHead(200, { 'content-type': 'application/json' })
    call.res.end(JSON.stringify({ object: 'list', data }))
  }

  return [
    { method: 'POST', path: '/v1/chat/completions', handle: (call) => complete(CompletionKind.Chat, call) },
    { method: 'POST', path: '/v1/completions', handle: (call) => complete(CompletionKind.Text, call) },
    { method: 'GET', path: '/v1/models', handle: listModels }
  ]
}
