/**
 * Forwards the stream of the engine that generates.
 */
import { sendToWorker } from './_send_to_worker.ts'
import { StopReason } from './_types.ts'
import type { EventSplitter } from '../core/stream/mod.ts'
import type { Reservation } from './_reserve_memory.ts'
import type { ClientRequest, GatewayContext } from './_types.ts'

/** Names how a stream ended. */
export enum StreamEnd {
  Answered = 'answered',
  /** The engine has not run the request. */
  Refused = 'refused',
  /** The connection broke, the engine failed or fell silent; the request may have run. */
  Lost = 'lost',
  Stopped = 'stopped'
}

/** Describes a stream that has ended. */
export interface StreamResult {
  end: StreamEnd
  status: number
  detail: string
  worker: string
  bytes: number
  /** Time in milliseconds from the request to the first event; absent without any. */
  firstMs?: number
  /** Longest pause in milliseconds between two parts of the stream. */
  pauseMs: number
}

/** Configures the forwarding of a stream. */
export interface ForwardStreamOptions {
  reservation: Reservation
  /** Where the KV cache of the prompt lies; absent when the engine reads the prompt itself. */
  kvSource?: { address: string, handle: string }
  /** Set for a stream that may go on elsewhere: it lets only whole events through and knows the last one. */
  events?: EventSplitter
}

/** Pauses of this many times the longest one that is on time mean that an engine is lost; clients leave after eight. */
const lostPauses = 4
const failedStatus = 500

/** Forwards one stream and says how it ended; the client's answer is completed only when it is whole. */
export function forwardStream (shared: GatewayContext, job: ClientRequest, options: ForwardStreamOptions): Promise<StreamResult> {
  const { timer } = shared
  const { reservation: hold, kvSource, events } = options
  const { worker } = hold
  worker.ownTokens += hold.tokens
  return new Promise((resolve) => {
    const stream = { status: 0, bytes: 0, pauseMs: 0, worker: worker.entry.id }
    let firstMs: number | undefined
    let lastMs = timer.now()
    let over = false
    /** True while the client reads slower than the engine writes, so that silence is no sign of a loss. */
    let paused = false

    function settle (end: StreamEnd, detail: string): void {
      if (over) return
      over = true
      silence?.cancel()
      worker.ownTokens -= hold.tokens
      shared.sidecars.reportStreamEnd(worker, job.requestId, end === StreamEnd.Answered)
      resolve({ ...stream, end, detail, ...(firstMs === undefined ? {} : { firstMs }) })
    }

    function forward (chunk: Buffer): void {
      const nowMs = timer.now()
      if (firstMs === undefined) firstMs = Math.round(nowMs - job.startedMs)
      else stream.pauseMs = Math.max(stream.pauseMs, Math.round(nowMs - lastMs))
      lastMs = nowMs
      stream.bytes += chunk.length
      const whole = events === undefined ? chunk : events.push(chunk)
      if (whole.length === 0 || job.reply.write(whole)) return
      paused = true
      exchange.pause()
      job.reply.onDrain(() => {
        paused = false
        lastMs = timer.now()
        exchange.resume()
      })
    }

    const lastEventId = events === undefined ? job.head.lastEventId : events.lastId()
    const added = { reservationId: hold.id, ...(kvSource === undefined ? {} : { kvSource }), ...(lastEventId === undefined ? {} : { lastEventId }) }
    const exchange = sendToWorker(shared, job, worker, added, {
      onHead (head) {
        stream.status = head.status
        if (events === undefined || head.status < failedStatus) job.reply.begin(head)
      },
      onData (chunk) { if (events === undefined || stream.status < failedStatus) forward(chunk) },
      onEnd () {
        if (events !== undefined && stream.status >= failedStatus) {
          settle(StreamEnd.Lost, `status ${stream.status}`)
          return
        }
        job.reply.end()
        settle(StreamEnd.Answered, '')
      },
      onRefused: ({ reason }) => settle(StreamEnd.Refused, reason),
      onLost: (reason) => settle(StreamEnd.Lost, reason)
    })
    const silentMs = lostPauses * job.route.longestPauseMs
    const silence = events === undefined
      ? undefined
      : timer.every(silentMs / lostPauses, () => {
        if (paused || timer.now() - lastMs < silentMs) return
        exchange.abort()
        settle(StreamEnd.Lost, `silent for ${silentMs} ms`)
      })
    job.onStop((reason) => {
      if (over) return
      exchange.abort()
      settle(StreamEnd.Stopped, reason)
      if (reason !== StopReason.DeadlineExceeded) return
      if (job.reply.hasBegun()) job.reply.abort()
      else job.reply.sendLocal({ status: 504, reason })
    })
  })
}
