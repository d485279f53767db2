/**
 * Serves the engine stand-in over HTTP.
 */
import { createFaultGate } from '../faults/mod.ts'
import type { FaultGate } from '../faults/mod.ts'
import { serve } from '../http/mod.ts'
import type { HttpCall, HttpHandler, RunningServer } from '../http/mod.ts'
import { createSystemTimer } from '../../timer/mod.ts'
import type { EngineContext, HeldWorkBody, AttemptBody } from './_context.ts'
import { attemptKey } from './_context.ts'
import { createDecodeScheduler } from './_decode.ts'
import type { DecodeBody, DecodeScheduler } from './_decode.ts'
import { createKvExporter } from './_kv_export.ts'
import { createCounters, createMemory } from './_memory.ts'
import type { Counters } from './_memory.ts'
import { EngineRole, withDefaults } from './_options.ts'
import type { EngineOptions } from './_options.ts'
import { createServingState } from './_orders.ts'
import type { OrderBody } from './_orders.ts'
import { createPrefillScheduler } from './_prefill.ts'
import type { PrefillBody, PrefillScheduler } from './_prefill.ts'
import { createPrefixCache } from './_prefix_cache.ts'

/** Controls a running engine stand-in. */
export interface EngineStandIn extends RunningServer {
  gate: FaultGate
  counters: Counters
  /** Lists the work that occupies memory, as `GET /v1/held` does. */
  listHeld (): HeldWorkBody[]
  countUsedPieces (): number
  countUsedSeats (): number
}

function createContext (partial: Partial<EngineOptions>): EngineContext {
  const options = withDefaults(partial)
  const timer = options.timer ?? createSystemTimer()
  return {
    options,
    timer,
    gate: createFaultGate({ timer }),
    memory: createMemory(options.pieces),
    cache: createPrefixCache({
      timer,
      blocks: Math.floor(options.cachePieces * options.tokensPerPiece / 64),
      eventLagMs: options.eventLagMs,
      eventGapEvery: options.eventGapEvery
    }),
    counters: createCounters(),
    prefillCounts: new Map()
  }
}

function createLoadHandler (ctx: EngineContext, prefillScheduler: PrefillScheduler, decodeScheduler: DecodeScheduler): HttpHandler {
  function measureLoad () {
    return {
      seats: ctx.options.seats,
      seats_used: decodeScheduler.countUsedSeats(),
      pieces: ctx.options.pieces,
      pieces_used: ctx.memory.countUsed(),
      queued_tokens: prefillScheduler.countQueuedTokens()
    }
  }
  let report = measureLoad()
  let measuredMs = ctx.timer.now()
  ctx.timer.every(ctx.options.loadLagMs, () => {
    report = measureLoad()
    measuredMs = ctx.timer.now()
  })
  return (call) => call.reply(200, { ...report, age_ms: Math.round(ctx.timer.now() - measuredMs) })
}

/**
 * Starts an engine stand-in on the loopback address.
 *
 * @param partial the options that differ from the defaults
 * @returns the running engine
 * @throws when the port can't be bound
 *
 * @example
 * ```ts
 * import { startEngine } from 'briarloom/testing/engine'
 *
 * const engine = await startEngine({ seats: 4 })
 * console.assert(engine.piecesUsed() === 0)
 * await engine.close()
 * ```
 */
export async function startEngine (partial: Partial<EngineOptions> = {}): Promise<EngineStandIn> {
  const ctx = createContext(partial)
  const prefillScheduler = createPrefillScheduler(ctx)
  const decodeScheduler = createDecodeScheduler(ctx)
  const exporter = createKvExporter(ctx, prefillScheduler)
  const servingState = createServingState(ctx, () => {
    prefillScheduler.dropAll()
    decodeScheduler.dropAll()
  })
  const listHeld = (): HeldWorkBody[] => [...prefillScheduler.listHeld(), ...decodeScheduler.listHeld()]
  let address = ''

  function prefill (call: HttpCall): void {
    const body = call.parseJson<PrefillBody>()
    const refusal = servingState.findRefusal(EngineRole.Prefill, body.model, body.version)
    if (refusal) call.reply(409, { error: refusal })
    else prefillScheduler.addPrefill(call, body, address)
  }

  async function decode (call: HttpCall): Promise<void> {
    const body = call.parseJson<DecodeBody>()
    const refusal = servingState.findRefusal(EngineRole.Decode, body.model, body.version)
    if (refusal) call.reply(409, { error: refusal })
    else await decodeScheduler.addStream(call, body)
  }

  function cancel (call: HttpCall): void {
    const key = attemptKey(call.parseJson<AttemptBody>())
    ctx.counters.cancels += 1
    call.reply(200, { pieces: prefillScheduler.cancel(key) + decodeScheduler.cancel(key) })
  }

  function resume (call: HttpCall): void {
    const body = call.parseJson<AttemptBody & { offset: number }>()
    decodeScheduler.resume(call, body, body.offset)
  }

  function pause (call: HttpCall): void {
    const body = call.parseJson<AttemptBody & { paused: boolean }>()
    decodeScheduler.setPaused(call, body, body.paused)
  }

  const served = await serve({
    port: ctx.options.port,
    gate: ctx.gate,
    routes: {
      'POST /v1/prefill': prefill,
      'POST /v1/decode': decode,
      'POST /v1/resume': resume,
      'POST /v1/cancel': cancel,
      'POST /v1/pause': pause,
      'GET /v1/held': (call) => call.reply(200, { streams: listHeld() }),
      'GET /v1/load': createLoadHandler(ctx, prefillScheduler, decodeScheduler),
      'GET /v1/state': (call) => call.reply(200, servingState.describe()),
      'POST /v1/orders': (call) => servingState.applyOrder(call, call.parseJson<OrderBody>()),
      'GET /v1/cache/events': (call) => {
        call.reply(200, { events: ctx.cache.listEvents(Number(call.query.get('after') ?? 0)) })
      },
      'GET /v1/kv/*': (call) => exporter.start(call, call.path.slice('/v1/kv/'.length))
    },
    controlRoutes: {
      'GET /ran': (call) => call.reply(200, Object.fromEntries(ctx.prefillCounts)),
      'GET /counters': (call) => {
        call.reply(200, { ...ctx.counters, pieces_used: ctx.memory.countUsed(), seats_used: decodeScheduler.countUsedSeats() })
      }
    }
  })
  address = served.address
  return {
    ...served,
    gate: ctx.gate,
    counters: ctx.counters,
    listHeld,
    countUsedPieces: () => ctx.memory.countUsed(),
    countUsedSeats: decodeScheduler.countUsedSeats,
    async close () {
      await served.close()
      if (!partial.timer) ctx.timer.close()
    }
  }
}
