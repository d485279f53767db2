/**
 * The decode phase of the engine: seats, continuous batching, event streams, pause, resume and cancel.
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
  /** True once this engine has generated a token of the stream. */
  hasGenerated: boolean
  answer: string[]
  finishReason: string
  /** Offset of the next token to generate. */
  offset: number
  paused: boolean
  phase: 'importing' | 'running' | 'ended'
  /** Aborts the import of the KV cache. */
  importAbort: AbortController
  /** The connection that receives the tokens; undefined while no agent is connected. */
  eventStream?: EventStream
  /** The call that started the stream, until its import has ended. */
  call?: HttpCall
}

/** Runs the streams of an engine in one batch. */
export interface DecodeScheduler {
  /** Responds to `POST /v1/decode`: reserves a seat and memory, imports the KV cache and streams the tokens. */
  addStream (call: HttpCall, body: DecodeBody): Promise<void>
  /** Responds to `POST /v1/resume`: streams the tokens from `offset` on, in place of the earlier connection. */
  resume (call: HttpCall, ref: AttemptBody, offset: number): void
  /** Responds to `POST /v1/pause`: a paused stream keeps its memory and gives up its seat. */
  setPaused (call: HttpCall, ref: AttemptBody, paused: boolean): void
  /** Cancels an attempt by its key, and returns the number of pieces that this released. */
  cancel (key: string): number
  /** Lists the streams that occupy memory. */
  listHeld (): HeldWorkBody[]
  countUsedSeats (): number
  /** Cancels all streams. */
  dropAll (): void
}

/** Creates a decode scheduler without streams. */
export function createDecodeScheduler (ctx: EngineContext): DecodeScheduler {
  const streams = new Map<string, Stream>()
  let isStepScheduled = false

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
      hasGenerated: false,
      answer: [],
      finishReason: 'stop',
      offset: body.start_offset,
      paused: false,
      phase: 'importing',
      importAbort: new AbortController(),
      call
    }
    streams.set(key, stream)
    const kv = await importKv(body.kv_address, body.handle, stream.importAbort.signal)
    await ctx.gate.applyDelays()
    if (streams.get(key) !== stream) return
    if (!kv) {
      releaseStream(stream)
      return call.reply(410, { error: `KV cache "${body.handle}" is gone` })
    }
    startDecoding(stream, kv.prompt, body.max_tokens)
  }

  function startDecoding (stream: Stream, prompt: string, maxTokens: number): void {
    const answer = computeExpectedAnswer(prompt, maxTokens)
    stream.answer = answer.tokens
    stream.finishReason = answer.reason
    stream.phase = 'running'
    const call = stream.call
    stream.call = undefined
    if (call) attach(stream, call)
    if (stream.offset >= stream.answer.length) endStream(stream)
    scheduleStep()
  }

  function attach (stream: Stream, call: HttpCall): void {
    stream.eventStream?.writeError('the stream continues on another connection')
    const eventStream = createEventStream(ctx, call, () => {
      if (stream.eventStream === eventStream) stream.eventStream = undefined
    })
    stream.eventStream = eventStream
    if (call.res.destroyed) stream.eventStream = undefined
  }

  function scheduleStep (): void {
    if (isStepScheduled || listRunning().length === 0) return
    isStepScheduled = true
    const stepMs = ctx.options.stepMs + ctx.options.stepMsPerSeat * listRunning().length
    ctx.timer.after(scaleMs(ctx, stepMs), runStep)
  }

  function listRunning (): Stream[] {
    return [...streams.values()].filter((stream) => stream.phase === 'running' && !stream.paused)
  }

  function runStep (): void {
    isStepScheduled = false
    if (!ctx.gate.isActive(FaultKind.Freeze)) {
      for (const stream of listRunning()) generateToken(stream)
    }
    scheduleStep()
  }

  function generateToken (stream: Stream): void {
    const token = stream.answer[stream.offset]
    if (token === undefined) throw new Error(`stream "${attemptKey(stream.ref)}" generates beyond the end of its answer`)
    ctx.counters.tokens_decoded += 1
    stream.hasGenerated = true
    stream.eventStream?.writeTokens(stream.offset, [token])
    stream.offset += 1
    if (stream.offset >= stream.answer.length) endStream(stream)
  }

  // The memory stays reserved until the end was written to a connection or the attempt is cancelled.
  function endStream (stream: Stream): void {
    stream.phase = 'ended'
    stream.eventStream?.writeEnd(stream.answer.length, stream.finishReason, () => releaseStream(stream))
  }

  function resume (call: HttpCall, ref: AttemptBody, offset: number): void {
    const stream = streams.get(attemptKey(ref))
    if (!stream || stream.phase === 'importing') return call.reply(404, { error: 'nothing is held' })
    attach(stream, call)
    const missed = stream.answer.slice(offset, stream.offset)
    if (missed.length > 0) stream.eventStream?.writeTokens(offset, missed)
    if (stream.phase === 'ended') endStream(stream)
  }

  function setPaused (call: HttpCall, ref: AttemptBody, paused: boolean): void {
    const stream = streams.get(attemptKey(ref))
    if (!stream) return call.reply(404, { error: 'nothing is held' })
    const needsSeat = stream.paused && !paused && stream.phase !== 'ended'
    if (needsSeat && countUsedSeats() >= ctx.options.seats) return call.reply(503, { error: 'no seat is free' })
    stream.paused = paused
    call.reply(200, {})
    scheduleStep()
  }

  function releaseStream (stream: Stream): number {
    const key = attemptKey(stream.ref)
    if (streams.get(key) !== stream) return 0
    streams.delete(key)
    ctx.memory.release(stream.pieces)
    return stream.pieces
  }

  function cancelStream (stream: Stream): number {
    const pieces = releaseStream(stream)
    const isWasted = pieces > 0 && stream.phase === 'running' && !stream.hasGenerated
    if (isWasted) ctx.counters.wasted_undecoded += stream.promptTokens
    stream.importAbort.abort()
    stream.eventStream?.writeError('cancelled')
    stream.call?.reply(409, { error: 'cancelled' })
    return pieces
  }

  return {
    addStream,
    resume,
    setPaused,
    cancel (key) {
      const stream = streams.get(key)
      return stream ? cancelStream(stream) : 0
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
        cancelStream(stream)
      }
    }
  }
}
