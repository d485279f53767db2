/**
 * The prefill phase of the engine: it computes one prefill at a time, by priority, and keeps the results until their export.
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
  /** Number of tokens that were computed for this task; 0 until its prefill is done. */
  computedTokens: number
  /** Number of the task by arrival; decides between tasks of equal priority. */
  order: number
  /** Name under which other engines fetch the KV cache. */
  handle: string
  phase: 'queued' | 'running' | 'kept' | 'exporting'
  /** Timer that releases the result when it expires. */
  expiry?: Subscription
  /** Stops the running export. */
  stopExport?: () => void
}

/** Names the counters of prefilled tokens that were not used. */
export type WasteCounter = 'wasted_expired' | 'wasted_cancelled' | 'wasted_dropped'

/** Queues and runs the prefills of an engine. */
export interface PrefillScheduler {
  /** Responds to `POST /v1/prefill` once the prefill is done; `address` (`ip:port`) is where other engines fetch the KV cache. */
  addPrefill (call: HttpCall, body: PrefillBody, address: string): void
  /** Cancels an attempt by its key, and returns the number of pieces that this released. */
  cancel (key: string): number
  findByHandle (handle: string): PrefillTask | undefined
  /**
   * Removes a task, releases its memory, and adds its computed tokens to the counter `waste` when one is named.
   * Replies 409 when the call of the task is still open. Returns the number of released pieces.
   */
  release (task: PrefillTask, waste?: WasteCounter): number
  /** Lists the tasks, all of which occupy memory. */
  listHeld (): HeldWorkBody[]
  /** Returns the number of prompt tokens of queued and running prefills. */
  countQueuedTokens (): number
  /** Removes all tasks. */
  dropAll (): void
}

/** Creates a prefill scheduler without tasks. */
export function createPrefillScheduler (ctx: EngineContext): PrefillScheduler {
  const tasks = new Map<string, PrefillTask>()
  let nextOrder = 1
  let running: PrefillTask | undefined

  function addPrefill (call: HttpCall, body: PrefillBody, address: string): void {
    const key = attemptKey(body)
    if (tasks.has(key)) return call.reply(409, { error: `attempt "${key}" is held already` })
    const tokens = splitPrompt(body.prompt)
    const pieces = countPieces(ctx, tokens.length)
    if (!ctx.memory.reserve(pieces)) return call.reply(503, { error: 'memory is full' })
    const order = nextOrder++
    const handle = `kv-${address.split(':')[1]}-${order}`
    const ref = { request_id: body.request_id, attempt: body.attempt }
    tasks.set(key, { ref, body, call, tokens, pieces, cachedTokens: 0, computedTokens: 0, order, handle, phase: 'queued' })
    startNext(address)
  }

  function startNext (address: string): void {
    if (running) return
    const queued = [...tasks.values()].filter((task) => task.phase === 'queued')
    queued.sort((a, b) => a.body.priority - b.body.priority || a.order - b.order)
    const next = queued[0]
    if (!next) return
    running = next
    next.phase = 'running'
    const hash = hashPrompt(next.body.prompt)
    ctx.prefillCounts.set(hash, (ctx.prefillCounts.get(hash) ?? 0) + 1)
    next.cachedTokens = ctx.cache.lookUpAndStore(next.tokens)
    const computedTokens = next.tokens.length - next.cachedTokens
    ctx.timer.after(scaleMs(ctx, computedTokens * ctx.options.prefillMsPerToken), () => {
      finish(next, computedTokens, address).catch((err) => { throw err })
    })
  }

  async function finish (task: PrefillTask, computedTokens: number, address: string): Promise<void> {
    await ctx.gate.applyDelays()
    running = undefined
    ctx.counters.prefills += 1
    ctx.counters.prefilled_tokens += computedTokens
    task.computedTokens = computedTokens
    if (tasks.get(attemptKey(task.ref)) === task) keep(task, address)
    else ctx.counters.wasted_cancelled += computedTokens
    startNext(address)
  }

  function keep (task: PrefillTask, address: string): void {
    task.phase = 'kept'
    task.expiry = ctx.timer.after(ctx.options.keepsMs, () => {
      ctx.counters.prefills_expired += 1
      release(task, 'wasted_expired')
    })
    task.call.reply(200, {
      handle: task.handle,
      kv_address: address,
      prompt_tokens: task.tokens.length,
      cached_tokens: task.cachedTokens,
      keeps_ms: ctx.options.keepsMs
    })
  }

  function release (task: PrefillTask, waste?: WasteCounter): number {
    const key = attemptKey(task.ref)
    if (tasks.get(key) !== task) return 0
    tasks.delete(key)
    if (waste) ctx.counters[waste] += task.computedTokens
    task.expiry?.cancel()
    task.stopExport?.()
    task.call.reply(409, { error: 'cancelled' })
    ctx.memory.release(task.pieces)
    return task.pieces
  }

  function cancel (key: string): number {
    const task = tasks.get(key)
    return task ? release(task, 'wasted_cancelled') : 0
  }

  function listHeld (): HeldWorkBody[] {
    return [...tasks.values()].map((task) => {
      const isComputed = task.phase === 'kept' || task.phase === 'exporting'
      return { ...task.ref, pieces: task.pieces, offset: 0, phase: isComputed ? 'kv' : 'prefill' }
    })
  }

  return {
    addPrefill,
    cancel,
    findByHandle: (handle) => [...tasks.values()].find((task) => task.handle === handle),
    release,
    listHeld,
    countQueuedTokens () {
      const unfinished = [...tasks.values()].filter((task) => task.phase === 'queued' || task.phase === 'running')
      return unfinished.reduce((sum, task) => sum + task.tokens.length, 0)
    },
    dropAll () {
      for (const task of [...tasks.values()]) {
        ctx.counters.streams_dropped += 1
        release(task, 'wasted_dropped')
      }
    }
  }
}
