/**
 * The prefill side of the engine: one prefill at a time, ordered by priority, and the results that wait for export.
 */
import type { Subscription } from '../../timer/mod.ts'
import type { HttpCall } from '../http/mod.ts'
import { countPieces, attemptKey, scaleMs } from './_context.ts'
import type { EngineContext, HeldWorkBody, AttemptBody } from './_context.ts'
import { hashPrompt, splitPrompt } from './compute_expected_answer.ts'

/** Body of `POST /v1/prefill`. */
export interface PrefillBody extends AttemptBody {
  model: string
  version: string
  prompt: string
  priority: number
}

/** A prefill in the queue, being computed, or finished and kept. */
export interface PrefillTask {
  ref: AttemptBody
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
export interface PrefillScheduler {
  addPrefill (call: HttpCall, body: PrefillBody, address: string): void
  cancel (key: string): number
  findByHandle (handle: string): PrefillTask | undefined
  /** Drops an entry, frees its memory and counts its tokens as wasted when a counter is named; answers the pieces. */
  release (entry: PrefillTask, waste?: WasteCounter): number
  listHeld (): HeldWorkBody[]
  countQueuedTokens (): number
  dropAll (): void
}

/** Creates the prefill side without work. */
export function createPrefillScheduler (ctx: EngineContext): PrefillScheduler {
  const entries = new Map<string, PrefillTask>()
  let nextOrder = 1
  let running: PrefillTask | undefined

  function addPrefill (call: HttpCall, body: PrefillBody, address: string): void {
    const key = attemptKey(body)
    if (entries.has(key)) return call.reply(409, { error: `attempt "${key}" is held already` })
    const tokens = splitPrompt(body.prompt)
    const pieces = countPieces(ctx, tokens.length)
    if (!ctx.memory.reserve(pieces)) return call.reply(503, { error: 'memory is full' })
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
    const hash = hashPrompt(next.body.prompt)
    ctx.prefillCounts.set(hash, (ctx.prefillCounts.get(hash) ?? 0) + 1)
    next.cachedTokens = ctx.cache.lookUpAndStore(next.tokens)
    const computed = next.tokens.length - next.cachedTokens
    ctx.timer.after(scaleMs(ctx, computed * ctx.options.prefillMsPerToken), () => {
      finish(next, computed, address).catch((err) => { throw err })
    })
  }

  async function finish (entry: PrefillTask, computed: number, address: string): Promise<void> {
    await ctx.gate.applyDelays()
    running = undefined
    ctx.counters.prefills += 1
    ctx.counters.prefilled_tokens += computed
    entry.computedTokens = computed
    if (entries.get(attemptKey(entry.ref)) === entry) keep(entry, address)
    else ctx.counters.wasted_cancelled += computed
    startNext(address)
  }

  function keep (entry: PrefillTask, address: string): void {
    entry.phase = 'kept'
    entry.expiry = ctx.timer.after(ctx.options.keepsMs, () => {
      ctx.counters.prefills_expired += 1
      release(entry, 'wasted_expired')
    })
    entry.call.reply(200, {
      handle: entry.handle,
      kv_address: address,
      prompt_tokens: entry.tokens.length,
      cached_tokens: entry.cachedTokens,
      keeps_ms: ctx.options.keepsMs
    })
  }

  function release (entry: PrefillTask, waste?: WasteCounter): number {
    const key = attemptKey(entry.ref)
    if (entries.get(key) !== entry) return 0
    entries.delete(key)
    if (waste) ctx.counters[waste] += entry.computedTokens
    entry.expiry?.cancel()
    entry.stopExport?.()
    entry.call.reply(409, { error: 'cancelled' })
    ctx.memory.release(entry.pieces)
    return entry.pieces
  }

  function cancel (key: string): number {
    const entry = entries.get(key)
    return entry ? release(entry, 'wasted_cancelled') : 0
  }

  function listHeld (): HeldWorkBody[] {
    return [...entries.values()].map((entry) => {
      const computed = entry.phase === 'kept' || entry.phase === 'exporting'
      return { ...entry.ref, pieces: entry.pieces, offset: 0, phase: computed ? 'kv' : 'prefill' }
    })
  }

  return {
    addPrefill,
    cancel,
    findByHandle: (handle) => [...entries.values()].find((entry) => entry.handle === handle),
    release,
    listHeld,
    countQueuedTokens () {
      const waiting = [...entries.values()].filter((entry) => entry.phase === 'queued' || entry.phase === 'running')
      return waiting.reduce((sum, entry) => sum + entry.tokens.length, 0)
    },
    dropAll () {
      for (const entry of [...entries.values()]) {
        ctx.counters.streams_dropped += 1
        release(entry, 'wasted_dropped')
      }
    }
  }
}
