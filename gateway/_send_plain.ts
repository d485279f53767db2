/**
 * Sends a request of a plain service to one worker.
 */
import { createByteBuffer } from '../core/stream/mod.ts'
import { mayBeTakenUp } from './_resume_stream.ts'
import { sendToWorker } from './_send_to_worker.ts'
import { StopReason } from './_types.ts'
import type { Worker } from '../core/fleet/mod.ts'
import type { Framing } from './_body_headers.ts'
import type { WorkerResponse } from './_send_to_worker.ts'
import type { ClientRequest, GatewayContext } from './_types.ts'

/** Bytes of a response that are buffered before any is sent to the client, so that a broken response can still be replaced. */
const maxBufferedBytes = 262_144
/** Lowest status of a worker's response that counts as failed. */
const minFailureStatus = 500

/** Ways in which a send to a worker can end. */
export enum SendEnd {
  Completed = 'answered',
  NotRun = 'not_run',
  Lost = 'lost',
  Stopped = 'stopped'
}

/** The result of one send. */
export interface SendResult {
  end: SendEnd
  /** True when the request reached the worker. */
  hasArrived: boolean
  reason: string
  /** Bytes of the body that have come, and how the response showed its end; absent when there was no response. */
  bytes?: number
  framing?: Framing
  /** The complete response, when no part of it has been sent to the client. */
  response?: { head: WorkerResponse, body: Buffer }
}

/** Records what begins a stream of a plain service, before the client has a part of it. */
export function recordPlainOrigin ({ streamOrigins }: GatewayContext, request: ClientRequest, { entry }: Worker): void {
  if (!mayBeTakenUp(request)) return
  streamOrigins.record({ requestId: request.requestId, service: request.service.name, softwareVersion: entry.softwareVersion })
}

/** Sends a request to a worker, and forwards a response that is too long for the buffer. */
export function sendPlain (context: GatewayContext, request: ClientRequest, worker: Worker, queueMs?: number): Promise<SendResult> {
  const { timer, directory } = context
  const startedMs = timer.now()
  const lastEventId = mayBeTakenUp(request) ? request.head.lastEventId : undefined
  return new Promise((resolve) => {
    let head: WorkerResponse | undefined
    const buffered = createByteBuffer()
    let bytes = 0
    let isStreaming = false
    let isSettled = false
    const held = context.heldBytes.open(beginStreaming)
    const endLoad = context.workerLoads.begin(request, worker, { roundTripMs: context.roundTripMs(worker.entry.zone), queueMs })

    function settle (result: SendResult, failed: boolean): void {
      if (isSettled) return
      isSettled = true
      held.close()
      const latencyMs = result.end === SendEnd.Completed ? timer.now() - startedMs : undefined
      endLoad(latencyMs)
      directory.fleet.recordResult(worker, latencyMs === undefined ? { failed } : { latencyMs, failed })
      resolve(head === undefined ? result : { ...result, bytes, framing: head.framing })
    }

    const exchange = sendToWorker(context, request, worker, lastEventId === undefined ? {} : { lastEventId }, {
      onHead (response) { head = response },
      onData (chunk) {
        bytes += chunk.length
        if (isStreaming) {
          forward(chunk)
          return
        }
        buffered.append(chunk)
        held.set(buffered.length())
        if (buffered.length() > maxBufferedBytes) beginStreaming()
      },
      onEnd () {
        if (isStreaming) request.reply.end()
        const body = buffered.take()
        const response = isStreaming || head === undefined ? {} : { response: { head, body } }
        settle(
          { end: SendEnd.Completed, hasArrived: true, reason: 'answered', ...response }, (head?.status ?? minFailureStatus) >= minFailureStatus
        )
      },
      onRefused ({ hasArrived, isWithheld, reason }) {
        // Sending nothing says nothing about the worker.
        if (!isWithheld) return settle({ end: SendEnd.NotRun, hasArrived, reason }, true)
        isSettled = true
        endLoad()
        held.close()
        resolve({ end: SendEnd.NotRun, hasArrived, reason })
      },
      onLost ({ reason }) { settle({ end: SendEnd.Lost, hasArrived: true, reason }, true) }
    })

    /** Begins to pass the response on, which can no longer be replaced by that of another worker then. */
    function beginStreaming (): void {
      if (isStreaming || head === undefined) return
      isStreaming = true
      held.close()
      recordPlainOrigin(context, request, worker)
      request.reply.begin(head)
      forward(buffered.take())
    }

    function forward (chunk: Buffer): void {
      if (request.reply.write(chunk)) return
      exchange.pause()
      request.reply.onDrain(() => exchange.resume())
    }

    request.onStop((reason) => {
      if (isSettled) return
      exchange.abort()
      settle({ end: SendEnd.Stopped, hasArrived: true, reason }, reason === StopReason.DeadlineExceeded)
    })
  })
}
