/**
 * Runs decodes at the engine and sends their tokens to the entries.
 */
import { EngineErrorKind } from '../engine/mod.ts'
import { createTokenAssembler } from '../core/stream/mod.ts'
import { attemptKey, Outcome, RefusalCode, TierClass } from '../core/types/mod.ts'
import { MessageKind } from '../wire/mod.ts'
import { StartEffect } from '../core/reservation/mod.ts'
import { CancelCause } from './_types.ts'
import type { RunningItem } from '../core/admission/mod.ts'
import type { Result } from '../core/results/mod.ts'
import type { TokenAssembler } from '../core/stream/mod.ts'
import type { DecodeEnd, EngineAdapter, EngineError, TokenBatch } from '../engine/mod.ts'
import type { ReservationTable } from '../core/reservation/mod.ts'
import type { AttemptRef } from '../core/types/mod.ts'
import type { DecodeMessage, Resume } from '../wire/mod.ts'
import type { TaskPorts } from './_types.ts'

/** Configures the stream task. */
export interface StreamTaskOptions {
  engine: EngineAdapter
  table: ReservationTable
  /** Time in milliseconds for which a finished stream can be resumed. */
  leaseMs: number
  release: (ref: AttemptRef, cause: CancelCause) => void
  onFreed: () => void
}

/** Runs decodes. */
export interface StreamTask {
  /** Runs a decode for which memory is reserved and sends its tokens to the owner; ignores a repeated message. */
  run (owner: string, msg: DecodeMessage): void
  /** Sends the rest of a stream from an offset; claims a stream that the engine holds and this agent did not start. */
  resume (owner: string, msg: Resume): void
  /** Stops sending the tokens of an attempt and forgets its stream. */
  stopForwarding (ref: AttemptRef): void
  /** Marks a stream as paused or not. */
  setPaused (ref: AttemptRef, paused: boolean): void
  /** Lists the streams that have not ended. */
  listRunning (): RunningItem[]
  /** Sends an empty token message for each paused stream, so that its entry knows that the stream is still held. */
  sendKeepAlives (): void
}

interface Stream {
  ref: AttemptRef
  owner: string
  tierClass: TierClass
  pieces: number
  paused: boolean
  assembler: TokenAssembler
  end: DecodeEnd | undefined
  resumes: number
}

/** Number of times that one stream is resumed at the engine before it counts as failed. */
const maxEngineResumes = 2

/** Refusal codes by which engine errors are reported to the entry. */
const failureCodes: { [K in EngineErrorKind]: RefusalCode } = {
  [EngineErrorKind.Unreachable]: RefusalCode.Unreachable,
  [EngineErrorKind.Broken]: RefusalCode.BackendError,
  [EngineErrorKind.Refused]: RefusalCode.NoCapacity,
  [EngineErrorKind.PrefillExpired]: RefusalCode.PrefillExpired,
  [EngineErrorKind.Fenced]: RefusalCode.BackendError,
  [EngineErrorKind.Cancelled]: RefusalCode.Cancelled,
  [EngineErrorKind.TimedOut]: RefusalCode.BackendError
}

/** Errors after which the engine may still hold the stream. */
const resumableErrors = new Set([EngineErrorKind.Broken, EngineErrorKind.TimedOut])

/**
 * Creates the stream task.
 */
export function createStreamTask (ports: TaskPorts, options: StreamTaskOptions): StreamTask {
  const { engine, table } = options
  const streams = new Map<string, Stream>()

  function refuse (owner: string, ref: AttemptRef, code: RefusalCode): void {
    const { requestId, attempt } = ref
    ports.send(owner, { kind: MessageKind.Refused, requestId, attempt, code, retryAfterMs: 0 })
  }

  function isCurrent (stream: Stream): boolean {
    return streams.get(attemptKey(stream.ref)) === stream
  }

  function onBatch (stream: Stream, batch: TokenBatch): void {
    if (!isCurrent(stream)) return
    const offset = stream.assembler.nextOffset()
    const tokens = stream.assembler.addBatch(batch.offset, batch.tokens)
    if (tokens.length > 0) ports.send(stream.owner, { kind: MessageKind.Tokens, ...stream.ref, offset, tokens })
  }

  function forgetAfterLease (stream: Stream): void {
    ports.timer.after(options.leaseMs, () => {
      if (isCurrent(stream)) streams.delete(attemptKey(stream.ref))
    })
  }

  function sendEnd (stream: Stream, end: DecodeEnd): void {
    ports.send(stream.owner, { kind: MessageKind.Finished, ...stream.ref, tokens: end.tokens, reason: end.reason })
  }

  function finish (stream: Stream, end: DecodeEnd): void {
    stream.end = end
    table.finish(stream.ref)
    sendEnd(stream, end)
    forgetAfterLease(stream)
    options.onFreed()
  }

  function failStream (stream: Stream, err: EngineError): void {
    const code = failureCodes[err.kind]
    ports.send(stream.owner, { kind: MessageKind.Failed, ...stream.ref, code, outcome: Outcome.Unknown, message: err.message })
    options.release(stream.ref, CancelCause.Failed)
  }

  /** Reads the rest of a stream that the engine still holds. */
  async function resumeAtEngine (stream: Stream): Promise<void> {
    stream.resumes += 1
    const done = await engine.resume(stream.ref, stream.assembler.nextOffset(), (batch) => onBatch(stream, batch))
    onEnd(stream, done)
  }

  function onEnd (stream: Stream, done: Result<DecodeEnd, EngineError>): void {
    if (!isCurrent(stream)) return
    const canResume = stream.resumes < maxEngineResumes
    if (done.ok && stream.assembler.nextOffset() >= done.val.tokens) finish(stream, done.val)
    else if (canResume && (done.ok || resumableErrors.has(done.val.kind))) resumeAtEngine(stream)
    else if (done.err) failStream(stream, done.val)
    else failStream(stream, { kind: EngineErrorKind.Broken, sent: true, message: `stream ended at token ${stream.assembler.nextOffset()} of ${done.val.tokens}` })
  }

  function openStream (owner: string, ref: AttemptRef, tierClass: TierClass, startOffset: number): Stream {
    const pieces = table.snapshot().find((entry) => attemptKey(entry.ref) === attemptKey(ref))?.pieces ?? 0
    const assembler = createTokenAssembler({ startOffset })
    const stream: Stream = { ref, owner, tierClass, pieces, paused: false, assembler, end: undefined, resumes: 0 }
    streams.set(attemptKey(ref), stream)
    return stream
  }

  async function run (owner: string, msg: DecodeMessage): Promise<void> {
    const ref = { requestId: msg.requestId, attempt: msg.attempt }
    const started = table.start(ref)
    if (started.err) {
      refuse(owner, ref, started.val)
      return
    }
    if (started.val === StartEffect.None) return
    const stream = openStream(owner, ref, msg.tierClass, msg.startOffset)
    const { model, version, handle, kvAddress, promptTokens, maxTokens, startOffset, tierClass } = msg
    const job = { ...ref, model, version, handle, kvAddress, promptTokens, maxTokens, startOffset, tierClass }
    const done = await engine.decode(job, (batch) => onBatch(stream, batch))
    onEnd(stream, done)
  }

  function sendRest (stream: Stream, offset: number): void {
    const tokens = stream.assembler.getTokensFrom(offset)
    if (tokens.length > 0) ports.send(stream.owner, { kind: MessageKind.Tokens, ...stream.ref, offset, tokens })
    if (stream.end !== undefined) sendEnd(stream, stream.end)
  }

  return {
    run,
    resume (owner, msg) {
      const ref = { requestId: msg.requestId, attempt: msg.attempt }
      const stream = streams.get(attemptKey(ref))
      if (stream !== undefined && stream.owner === owner) {
        sendRest(stream, msg.offset)
        return
      }
      const claimed = table.claim(ref, owner)
      if (claimed.err) refuse(owner, ref, claimed.val)
      else resumeAtEngine(openStream(owner, ref, TierClass.Paid, msg.offset))
    },
    stopForwarding (ref) {
      streams.delete(attemptKey(ref))
    },
    setPaused (ref, paused) {
      const stream = streams.get(attemptKey(ref))
      if (stream !== undefined) stream.paused = paused
    },
    sendKeepAlives () {
      for (const { ref, owner, assembler, paused } of streams.values()) {
        if (paused) ports.send(owner, { kind: MessageKind.Tokens, ...ref, offset: assembler.nextOffset(), tokens: [] })
      }
    },
    listRunning () {
      const active = [...streams.values()].filter((stream) => stream.end === undefined)
      return active.map(({ ref, tierClass, pieces, paused }) => ({ ref, tierClass, pieces, paused, started: true }))
    }
  }
}
