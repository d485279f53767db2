/**
 * Forwards the response stream of a decode engine.
 */
import { discardBody } from './_discard_body.ts'
import { observeStream } from './_observe_stream.ts'
import { recordPrefillAtDecode } from './_prefill_times.ts'
import { releaseReservation } from './_reserve_memory.ts'
import { sendToWorker } from './_send_to_worker.ts'
import { StopReason } from './_types.ts'
import { watchSilence } from './_watch_silence.ts'
import type { EventSplitter } from '../core/stream/mod.ts'
import type { Framing } from './_body_headers.ts'
import type { DiscardedBody } from './_discard_body.ts'
import type { PreparedAttempt } from './_prepare_attempt.ts'
import type { Reservation } from './_reserve_memory.ts'
import type { ClientRequest, GatewayContext } from './_types.ts'
import type { SeekReplacement } from './_watch_silence.ts'

/** Ways in which a stream can end. */
export enum StreamEnd {
  Completed = 'answered',
  /** The engine has not run the request. */
  Refused = 'refused',
  /** The connection broke, the engine failed, or another one goes on with the silent stream; the request may have run. */
  Lost = 'lost',
  Stopped = 'stopped'
}

/** The result of a stream. */
export interface StreamResult {
  end: StreamEnd
  status: number
  detail: string
  worker: string
  /** Number of the connection that carried the response; absent when there was none. */
  connection?: number
  /** How the response showed the end of its body; absent when there was no response. */
  framing?: Framing
  bytes: number
  /** Time in milliseconds from the request to the first event; absent when there was none. */
  firstMs?: number
  /** Time in milliseconds from the send to the engine to the end. */
  ranMs: number
  /** Longest pause in milliseconds between two chunks of the stream. */
  pauseMs: number
  /** The next attempt, which was prepared, or was being prepared, while the stream was silent; absent when none was sought. */
  next?: Promise<PreparedAttempt | undefined>
}

/** Configures the forwarding of a stream. */
export interface ForwardStreamOptions {
  reservation: Reservation
  /** Address and handle of the KV cache of the prompt; absent when the decode engine runs the prefill itself. */
  kvSource?: { address: string, handle: string }
  /** Set for a stream that may resume at another engine. */
  resumption?: Resumption
}

/** What a stream needs to resume at another engine. */
export interface Resumption {
  /** Passes on only complete events and records the last one. */
  events: EventSplitter
  /** Seeks another engine while the stream is silent. */
  seek: SeekReplacement
  /** Called before an event of this attempt is passed on. */
  onEvents (): void
}

const minFailureStatus = 500
const minRefusalStatus = 300
/** Bytes beyond which an event counts as one without end: as many as the operators allow in the longest request. */
const maxEventBytes = 4 * 1_048_576
/** Length in bytes up to which an incomplete event is lost only when nothing longer is held. */
const heldFloorBytes = 65_536

/** Forwards one stream and returns how it ended; the client's response is completed only when the stream is complete. */
export function forwardStream (context: GatewayContext, request: ClientRequest, options: ForwardStreamOptions): Promise<StreamResult> {
  const { timer, directory } = context
  const { reservation, kvSource, resumption } = options
  const events = resumption?.events
  const { worker } = reservation
  worker.ownTokens += reservation.tokens
  return new Promise((resolve) => {
    const stats: Pick<StreamResult, 'status' | 'bytes' | 'pauseMs' | 'worker' | 'connection' | 'framing'> = { status: 0, bytes: 0, pauseMs: 0, worker: worker.entry.id }
    let firstMs: number | undefined
    const sentMs = timer.now()
    let lastDataMs = sentMs
    let isSettled = false
    let isCloseDelimited = false
    /** False before the head of a stream of events has come. */
    let hasEvents = false
    /** True when nothing was sent, which says nothing about the engine and leaves its memory reserved. */
    let hasSentNothing = false
    /** The body of a response that is not passed on. */
    let failedBody: DiscardedBody | undefined
    /** True when the client has a part of the stream, so that only the events that follow it may be forwarded. */
    const isContinued = request.reply.hasBegun()
    const tooMany = 'bytes is the longest of too many that are not complete'
    const held = context.heldBytes.open(() => loseEndless(`an event of ${exchange.partialEventBytes()} ${tooMany}`), { floorBytes: heldFloorBytes })
    const observer = observeStream(context.promptGuard, worker, request.head.sharedParts)

    const watch = resumption === undefined
      ? undefined
      : watchSilence(context, request, {
        worker,
        seek: resumption.seek,
        onReplaced (attempt, detail) {
          exchange.abort()
          settle(StreamEnd.Lost, detail, Promise.resolve(attempt))
        },
        onLost (detail) {
          exchange.abort()
          settle(StreamEnd.Lost, detail)
        }
      })

    /** Ends the attempt; `replacement` is the next one when it is ready. */
    function settle (end: StreamEnd, detail: string, replacement?: Promise<PreparedAttempt>): void {
      if (isSettled) return
      isSettled = true
      const next = replacement ?? (end === StreamEnd.Lost || end === StreamEnd.Refused ? watch?.takeSearch() : undefined)
      watch?.end()
      held.close()
      failedBody?.cancel()
      worker.ownTokens -= reservation.tokens
      if (end !== StreamEnd.Stopped && !hasSentNothing) recordEnd(hasEngineFailed(end))
      if (hasSentNothing) releaseReservation(context, reservation, request.requestId)
      else context.sidecars.reportStreamEnd(worker, request.requestId, end === StreamEnd.Completed)
      const ranMs = Math.round(timer.now() - sentMs)
      resolve({ ...stats, ranMs, end, detail, ...(firstMs === undefined ? {} : { firstMs }), ...(next === undefined ? {} : { next }) })
    }

    function recordEnd (failed: boolean): void {
      const forMs = directory.fleet.recordStream(worker, { failed, nowMs: timer.now() })
      if (forMs > 0) context.log.warn({ worker: worker.entry.id, failures: worker.streamFailures?.count, forMs }, 'engine asked last')
    }

    /** Tells whether a stream that ended so was failed by its engine; one that refuses to fetch a KV cache may be sound. */
    function hasEngineFailed (end: StreamEnd): boolean {
      if (end === StreamEnd.Refused) return kvSource === undefined
      return end === StreamEnd.Lost || stats.status >= minFailureStatus
    }

    /** Ends the attempt at an engine that sends bytes without the end of an event. */
    function loseEndless (detail: string): void {
      exchange.abort()
      directory.fleet.markSuspect(worker, timer.now())
      settle(StreamEnd.Lost, detail)
    }

    /** Tells whether the stream may go on elsewhere instead of passing on the engine's response. */
    function hasFailed (): boolean {
      return events !== undefined && (isContinued ? !hasEvents : stats.status >= minFailureStatus)
    }

    function loseFailed (): void {
      settle(StreamEnd.Lost, stats.status < minRefusalStatus ? 'a response that is no stream' : `status ${stats.status}`)
    }

    function forward (chunk: Buffer): void {
      const nowMs = timer.now()
      observer.onChunk(nowMs)
      if (firstMs === undefined) {
        firstMs = Math.round(nowMs - request.startedMs)
        if (kvSource === undefined && stats.status < minRefusalStatus) recordPrefillAtDecode(context, request, worker, nowMs - sentMs)
      } else stats.pauseMs = Math.max(stats.pauseMs, Math.round(nowMs - lastDataMs))
      lastDataMs = nowMs
      stats.bytes += chunk.length
      const forwarded = events === undefined || !hasEvents ? chunk : events.push(chunk)
      if (events?.hasRepeatedEvent()) {
        exchange.abort()
        settle(StreamEnd.Lost, `an event after ${events.lastId()} was sent again`)
        return
      }
      if (exchange.partialEventBytes() > maxEventBytes) {
        loseEndless(`an event is longer than ${maxEventBytes} bytes`)
        return
      }
      if (events !== undefined) held.set(exchange.partialEventBytes())
      if (isSettled) return
      watch?.onData(forwarded.length > 0)
      if (forwarded.length > 0 && hasEvents) resumption?.onEvents()
      if (forwarded.length === 0 || request.reply.write(forwarded)) return
      watch?.suspend()
      exchange.pause()
      request.reply.onDrain(() => {
        lastDataMs = timer.now()
        watch?.resume()
        exchange.resume()
      })
    }

    const lastEventId = events === undefined ? request.head.lastEventId : events.lastId()
    const addedHeaders = { reservationId: reservation.id, ...(kvSource && { kvSource }), ...(lastEventId !== undefined && { lastEventId }) }
    const exchange = sendToWorker(context, request, worker, addedHeaders, {
      onHead (head) {
        stats.status = head.status
        stats.connection = head.connection
        stats.framing = head.framing
        isCloseDelimited = head.isCloseDelimited
        hasEvents = head.hasEvents
        if (!hasFailed()) {
          request.reply.begin(head, { mayContinue: events !== undefined && hasEvents })
          return
        }
        failedBody = discardBody(timer, () => {
          exchange.abort()
          loseFailed()
        })
      },
      onData (chunk) {
        if (failedBody === undefined) forward(chunk)
        else failedBody.add(chunk)
      },
      onEnd () {
        if (hasFailed()) return loseFailed()
        if (stats.status < minRefusalStatus) observer.onEnd(isCloseDelimited)
        request.reply.end()
        settle(StreamEnd.Completed, '')
      },
      onRefused ({ reason, connection, isWithheld = false }) {
        hasSentNothing = isWithheld
        if (connection !== undefined) stats.connection = connection
        settle(StreamEnd.Refused, reason)
      },
      onLost ({ reason, status, hasEndedInOrder = false }) {
        stats.status = status ?? stats.status
        // Without a head, the connection may have been closed before the engine began to answer.
        if (stats.status < minRefusalStatus) observer.onEarlyEnd(stats.status > 0 && !hasEndedInOrder)
        settle(StreamEnd.Lost, reason)
      }
    })
    request.onStop((reason) => {
      if (isSettled) return
      exchange.abort()
      settle(StreamEnd.Stopped, reason)
      if (reason === StopReason.ClientDisconnected) return
      if (request.reply.hasBegun()) request.reply.abort()
      else request.reply.sendLocal({ status: 504, reason })
    })
  })
}
