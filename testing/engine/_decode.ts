/**
 * The decode side of the engine: seats, continuous batching, readers, pause, resume and cancel.
 */
import { FaultKind } from '../faults/mod.ts'
import type { HttpCall } from '../http/mod.ts'
import { countPieces, attemptKey, scaleMs } from './_context.ts'
import type { EngineContext, HeldWorkBody, AttemptBody } from './_context.ts'
import { computeExpectedAnswer } from './compute_expected_answer.ts'
import { importKv } from './_kv_import.ts'
import { createEventStream } from './_event_stream.ts'
import type { EventStream } from './_event_stream.ts'

/** Body of `POST /v1/decode`. */
export interface DecodeBody extends AttemptBody {
  model: string
  version: string
  handle: string
  kv_address: string
  prompt_tokens: number
  max_tokens: number
  start_offset: number
  priority: number
}

interface Stream {
  ref: AttemptBody
  pieces: number
  promptTokens: number
  /** True once a token was generated here. */
  generated: boolean
  answer: string[]
  reason: string
  /** Offset after the last generated token. */
  offset: number
  paused: boolean
  phase: 'importing' | 'running' | 'ended'
  importing: AbortController
  reader?: EventStream
  call?: HttpCall
}

/** The decode side of the engine. */
export interface DecodeScheduler {
  addStream (call: HttpCall, body: DecodeBody): Promise<void>
  resume (call: HttpCall, ref: AttemptBody, offset: number): void
  setPaused (call: HttpCall, ref: AttemptBody, paused: boolean): void
  cancel (key: string): number
  listHeld (): HeldWorkBody[]
  countUsedSeats (): number
  dropAll (): void
}

/** Creates the decode side without streams. */
export function createDecodeScheduler (ctx: EngineContext): DecodeScheduler {
  const streams = new Map<string, Stream>()
  let ticking = false

  function countUsedSeats (): number {
    return [...streams.values()].filter((stream) => !stream.paused && stream.phase !== 'ended').length
  }

  async function addStream (call: HttpCall, body: DecodeBody): Promise<void> {
    const key = attemptKey(body)
    const pieces = countPieces(ctx, body.prompt_tokens + body.max_tokens - body.start_offset)
    if (streams.has(key)) return call.reply(409, { error: `attempt "${key}" is held already` })
    if (countUsedSeats() >= ctx.options.seats) return call.reply(503, { error: 'no seat is free' })
    if (!ctx.memory.reserve(pieces)) return call.reply(503, { error: 'memory is full' })
    const stream: Stream = {
      ref: { request_id: body.request_id, attempt: body.attempt },
      pieces,
      promptTokens: body.prompt_tokens,
      generated: false,
      answer: [],
      reason: 'stop',
      offset: body.start_offset,
      paused: false,
      phase: 'importing',
      importing: new AbortController(),
      call
    }
    streams.set(key, stream)
    const kv = await importKv(body.kv_address, body.handle, stream.importing.signal)
    await ctx.gate.applyDelays()
    if (streams.get(key) !== stream) return
    if (!kv) {
      free(stream)
      return call.reply(410, { error: `KV cache "${body.handle}" is gone` })
    }
    start(stream, kv.prompt, body.max_tokens)
  }

  function start (stream: Stream, prompt: string, maxTokens: number): void {
    const answer = computeExpectedAnswer(prompt, maxTokens)
    stream.answer = answer.tokens
    stream.reason = answer.reason
    stream.phase = 'running'
    const call = stream.call
    stream.call = undefined
    if (call) attach(stream, call)
    if (stream.offset >= stream.answer.length) endStream(stream)
    schedule()
  }

  function attach (stream: Stream, call: HttpCall): void {
    stream.reader?.writeError('another reader took over')
    const reader = createEventStream(ctx, call, () => {
      if (stream.reader === reader) stream.reader = undefined
    })
    stream.reader = reader
    if (call.res.destroyed) stream.reader = undefined
  }

  function schedule (): void {
    if (ticking || running().length === 0) return
    ticking = true
    const stepMs = ctx.options.stepMs + ctx.options.stepMsPerSeat * running().length
    ctx.timer.after(scaleMs(ctx, stepMs), step)
  }

  function running (): Stream[] {
    return [...streams.values()].filter((stream) => stream.phase === 'running' && !stream.paused)
  }

  function step (): void {
    ticking = false
    if (!ctx.gate.isActive(FaultKind.Freeze)) {
      for (const stream of running()) generate(stream)
    }
    schedule()
  }

  function generate (stream: Stream): void {
    const token = stream.answer[stream.offset]
    if (token === undefined) throw new Error(`stream "${attemptKey(stream.ref)}" runs past its answer`)
    ctx.counters.tokens_decoded += 1
    stream.generated = true
    stream.reader?.writeTokens(stream.offset, [token])
    stream.offset += 1
    if (stream.offset >= stream.answer.length) endStream(stream)
  }

  // Memory stays held until a reader got the end or the attempt is cancelled.
  function endStream (stream: Stream): void {
    stream.phase = 'ended'
    stream.reader?.writeEnd(stream.answer.length, stream.reason, () => free(stream))
  }

  function resume (call: HttpCall, ref: AttemptBody, offset: number): void {
    const stream = streams.get(attemptKey(ref))
    if (!stream || stream.phase === 'importing') return call.reply(404, { error: 'nothing is held' })
    attach(stream, call)
    const missed = stream.answer.slice(offset, stream.offset)
    if (missed.length > 0) stream.reader?.writeTokens(offset, missed)
    if (stream.phase === 'ended') endStream(stream)
  }

  function setPaused (call: HttpCall, ref: AttemptBody, paused: boolean): void {
    const stream = streams.get(attemptKey(ref))
    if (!stream) return call.reply(404, { error: 'nothing is held' })
    const needsSeat = stream.paused && !paused && stream.phase !== 'ended'
    if (needsSeat && countUsedSeats() >= ctx.options.seats) return call.reply(503, { error: 'no seat is free' })
    stream.paused = paused
    call.reply(200, {})
    schedule()
  }

  function free (stream: Stream): number {
    const key = attemptKey(stream.ref)
    if (streams.get(key) !== stream) return 0
    streams.delete(key)
    ctx.memory.release(stream.pieces)
    return stream.pieces
  }

  function drop (stream: Stream): number {
    const pieces = free(stream)
    const isWaste = pieces > 0 && stream.phase === 'running' && !stream.generated
    if (isWaste) ctx.counters.wasted_undecoded += stream.promptTokens
    stream.importing.abort()
    stream.reader?.writeError('cancelled')
    stream.call?.reply(409, { error: 'cancelled' })
    return pieces
  }

  return {
    addStream,
    resume,
    setPaused,
    cancel (key) {
      const stream = streams.get(key)
      return stream ? drop(stream) : 0
    },
    listHeld () {
      return [...streams.values()].map((stream) => {
        return { ...stream.ref, pieces: stream.pieces, offset: stream.offset, phase: 'decode' }
      })
    },
    countUsedSeats,
    dropAll () {
      for (const stream of [...streams.values()]) {
        ctx.counters.streams_dropped += 1
        drop(stream)
      }
    }
  }
}
