/**
 * The HTTP face of the engine stand-in.
 */
import { createFaultGate } from '../faults/mod.ts'
import type { FaultGate } from '../faults/mod.ts'
import { serve } from '../http/mod.ts'
import type { HttpCall, HttpHandler, Served } from '../http/mod.ts'
import { createSystemTimer } from '../../timer/mod.ts'
import type { EngineContext, HeldBody, RefBody } from './_context.ts'
import { refKey } from './_context.ts'
import { createDecodeSide } from './_decode.ts'
import type { DecodeBody, DecodeSide } from './_decode.ts'
import { createKvExporter } from './_kv_export.ts'
import { createCounters, createMemory } from './_memory.ts'
import type { Counters } from './_memory.ts'
import { EngineRole, withDefaults } from './_options.ts'
import type { EngineOptions } from './_options.ts'
import { createOrderSide } from './_orders.ts'
import type { OrderBody } from './_orders.ts'
import { createPrefillSide } from './_prefill.ts'
import type { PrefillBody, PrefillSide } from './_prefill.ts'
import { createPrefixCache } from './_prefix_cache.ts'

/** A running engine. */
export interface EngineStandIn extends Served {
  gate: FaultGate
  counters: Counters
  held (): HeldBody[]
  piecesUsed (): number
  seatsUsed (): number
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
    ran: new Map()
  }
}

function createLoadReport (ctx: EngineContext, prefills: PrefillSide, decodes: DecodeSide): HttpHandler {
  function measure () {
    return {
      seats: ctx.options.seats,
      seats_used: decodes.seatsUsed(),
      pieces: ctx.options.pieces,
      pieces_used: ctx.memory.used(),
      queued_tokens: prefills.queuedTokens()
    }
  }
  let report = measure()
  let measuredMs = ctx.timer.now()
  ctx.timer.every(ctx.options.loadLagMs, () => {
    report = measure()
    measuredMs = ctx.timer.now()
  })
  return (call) => call.reply(200, { ...report, age_ms: Math.round(ctx.timer.now() - measuredMs) })
}

/**
 * Starts an engine.
 *
 * @param partial the options that differ from the defaults
 * @returns the running engine
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
  const prefills = createPrefillSide(ctx)
  const decodes = createDecodeSide(ctx)
  const exporter = createKvExporter(ctx, prefills)
  const orders = createOrderSide(ctx, () => {
    prefills.dropAll()
    decodes.dropAll()
  })
  const held = (): HeldBody[] => [...prefills.held(), ...decodes.held()]
  let address = ''

  function prefill (call: HttpCall): void {
    const body = call.json<PrefillBody>()
    const refusal = orders.refusal(EngineRole.Prefill, body.model, body.version)
    if (refusal) call.reply(409, { error: refusal })
    else prefills.add(call, body, address)
  }

  async function decode (call: HttpCall): Promise<void> {
    const body = call.json<DecodeBody>()
    const refusal = orders.refusal(EngineRole.Decode, body.model, body.version)
    if (refusal) call.reply(409, { error: refusal })
    else await decodes.add(call, body)
  }

  function cancel (call: HttpCall): void {
    const key = refKey(call.json<RefBody>())
    ctx.counters.cancels += 1
    call.reply(200, { pieces: prefills.cancel(key) + decodes.cancel(key) })
  }

  function resume (call: HttpCall): void {
    const body = call.json<RefBody & { offset: number }>()
    decodes.resume(call, body, body.offset)
  }

  function pause (call: HttpCall): void {
    const body = call.json<RefBody & { paused: boolean }>()
    decodes.pause(call, body, body.paused)
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
      'GET /v1/held': (call) => call.reply(200, { streams: held() }),
      'GET /v1/load': createLoadReport(ctx, prefills, decodes),
      'GET /v1/state': (call) => call.reply(200, orders.state()),
      'POST /v1/orders': (call) => orders.order(call, call.json<OrderBody>()),
      'GET /v1/cache/events': (call) => {
        call.reply(200, { events: ctx.cache.events(Number(call.query.get('after') ?? 0)) })
      },
      'GET /v1/kv/*': (call) => exporter.start(call, call.path.slice('/v1/kv/'.length))
    },
    control: {
      'GET /ran': (call) => call.reply(200, Object.fromEntries(ctx.ran)),
      'GET /counters': (call) => {
        call.reply(200, { ...ctx.counters, pieces_used: ctx.memory.used(), seats_used: decodes.seatsUsed() })
      }
    }
  })
  address = served.address
  return {
    ...served,
    gate: ctx.gate,
    counters: ctx.counters,
    held,
    piecesUsed: () => ctx.memory.used(),
    seatsUsed: decodes.seatsUsed,
    async close () {
      await served.close()
      if (!partial.timer) ctx.timer.close()
    }
  }
}
