/**
 * The prefill side of the engine: one prefill at a time, ordered by priority, and the results that wait for export.
 */
import type { Subscription } from '../../timer/mod.ts'
import type { HttpCall } from '../http/mod.ts'
import { piecesFor, refKey, scaled } from './_context.ts'
import type { EngineContext, HeldBody, RefBody } from './_context.ts'
import { promptHash, promptTokens } from './expected_answer.ts'

/** Body of `POST /v1/prefill`. */
export interface PrefillBody extends RefBody {
  model: string
  version: string
  prompt: string
  priority: number
}

/** A prefill in the queue, being computed, or finished and kept. */
export interface PrefillEntry {
  ref: RefBody
  body: PrefillBody
  call: HttpCall
  tokens: string[]
  pieces: number
  cachedTokens: number
  /** Tokens that were computed for this entry. */
  computedTokens: number
  order: number
  handle: string
  phase: 'queued' | 'running' | 'kept' | 'exporting'
  /** Ends the result when it expires. */
  expiry?: Subscription
  /** Ends an export that runs. */
  stopExport?: () => void
}

/** Counters of tokens whose prefill came to nothing. */
export type WasteCounter = 'wasted_expired' | 'wasted_cancelled' | 'wasted_dropped'

/** The prefill side of the engine. */
export interface PrefillSide {
  add (call: HttpCall, body: PrefillBody, address: string): void
  cancel (key: string): number
  find (handle: string): PrefillEntry | undefined
  /** Drops an entry, frees its memory and counts its tokens as wasted when a counter is named; answers the pieces. */
  free (entry: PrefillEntry, waste?: WasteCounter): number
  held (): HeldBody[]
  queuedTokens (): number
  dropAll (): void
}

/** Creates the prefill side without work. */
export function createPrefillSide (ctx: EngineContext): PrefillSide {
  const entries = new Map<string, PrefillEntry>()
  let nextOrder = 1
  let running: PrefillEntry | undefined

  function add (call: HttpCall, body: PrefillBody, address: string): void {
    const key = refKey(body)
    if (entries.has(key)) return call.reply(409, { error: `attempt "${key}" is held already` })
    const tokens = promptTokens(body.prompt)
    const pieces = piecesFor(ctx, tokens.length)
    if (!ctx.memory.take(pieces)) return call.reply(503, { error: 'memory is full' })
    const order = nextOrder++
    const handle = `kv-${address.split(':')[1]}-${order}`
    const ref = { request_id: body.request_id, attempt: body.attempt }
    entries.set(key, { ref, body, call, tokens, pieces, cachedTokens: 0, computedTokens: 0, order, handle, phase: 'queued' })
    startNext(address)
  }

  function startNext (address: string): void {
    if (running) return
    const queued = [...entries.values()].filter((entry) => entry.phase === 'queued')
    queued.sort((a, b) => a.body.priority - b.body.priority || a.order - b.order)
    const next = queued[0]
    if (!next) return
    running = next
    next.phase = 'running'
    const hash = promptHash(next.body.prompt)
    ctx.ran.set(hash, (ctx.ran.get(hash) ?? 0) + 1)
    next.cachedTokens = ctx.cache.use(next.tokens)
    const computed = next.tokens.length - next.cachedTokens
    ctx.timer.after(scaled(ctx, computed * ctx.options.prefillMsPerToken), () => {
      finish(next, computed, address).catch((err) => { throw err })
    })
  }

  async function finish (entry: PrefillEntry, computed: number, address: string): Promise<void> {
    await ctx.gate.pass()
    running = undefined
    ctx.counters.prefills += 1
    ctx.counters.prefilled_tokens += computed
    entry.computedTokens = computed
    if (entries.get(refKey(entry.ref)) === entry) keep(entry, address)
    else ctx.counters.wasted_cancelled += computed
    startNext(address)
  }

  function keep (entry: PrefillEntry, address: string): void {
    entry.phase = 'kept'
    entry.expiry = ctx.timer.after(ctx.options.keepsMs, () => {
      ctx.counters.prefills_expired += 1
      free(entry, 'wasted_expired')
    })
    entry.call.reply(200, {
      handle: entry.handle,
      kv_address: address,
      prompt_tokens: entry.tokens.length,
      cached_tokens: entry.cachedTokens,
      keeps_ms: ctx.options.keepsMs
    })
  }

  function free (entry: PrefillEntry, waste?: WasteCounter): number {
    const key = refKey(entry.ref)
    if (entries.get(key) !== entry) return 0
    entries.delete(key)
    if (waste) ctx.counters[waste] += entry.computedTokens
    entry.expiry?.cancel()
    entry.stopExport?.()
    entry.call.reply(409, { error: 'cancelled' })
    ctx.memory.give(entry.pieces)
    return entry.pieces
  }

  function cancel (key: string): number {
    const entry = entries.get(key)
    return entry ? free(entry, 'wasted_cancelled') : 0
  }

  function held (): HeldBody[] {
    return [...entries.values()].map((entry) => {
      const computed = entry.phase === 'kept' || entry.phase === 'exporting'
      return { ...entry.ref, pieces: entry.pieces, offset: 0, phase: computed ? 'kv' : 'prefill' }
    })
  }

  return {
    add,
    cancel,
    find: (handle) => [...entries.values()].find((entry) => entry.handle === handle),
    free,
    held,
    queuedTokens () {
      const waiting = [...entries.values()].filter((entry) => entry.phase === 'queued' || entry.phase === 'running')
      return waiting.reduce((sum, entry) => sum + entry.tokens.length, 0)
    },
    dropAll () {
      for (const entry of [...entries.values()]) {
        ctx.counters.streams_dropped += 1
        free(entry, 'wasted_dropped')
      }
    }
  }
}
