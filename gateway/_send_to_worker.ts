/**
 * Sends a request to one worker.
 */
import { createPacer } from '../core/pacing/mod.ts'
import { RequestKind } from '../core/route/mod.ts'
import { createBodyCheck, isEventStream } from '../core/stream/mod.ts'
import { Outcome } from '../core/types/mod.ts'
import { FailureKind } from '../exchange/mod.ts'
import { decodeResponseHead, encodeWorkerHeaders } from '../platform/mod.ts'
import { findFraming, findLength } from './_body_headers.ts'
import { discardBody } from './_discard_body.ts'
import { getEarliestMs, mayStart, recordAnswer } from './_check_worker.ts'
import type { Worker } from '../core/fleet/mod.ts'
import type { BodyCheck } from '../core/stream/mod.ts'
import type { Exchange, Failure } from '../exchange/mod.ts'
import type { ResponseHead, WorkerHeaders } from '../platform/mod.ts'
import type { Framing } from './_body_headers.ts'
import type { DiscardedBody } from './_discard_body.ts'
import type { ClientRequest, GatewayContext } from './_types.ts'

/** The head of a worker's response. */
export interface WorkerResponse extends ResponseHead {
  /** True when the body ends with the connection, for lack of a length. */
  isCloseDelimited: boolean
  /** How the end of the body shows, for the log. */
  framing: Framing
  /** True when the body is a stream of events. */
  hasEvents: boolean
  /** Number of the connection that carried it, for the log. */
  connection: number
}

/** A response that is lost or cannot be passed on, and whose worker may have run the request. */
export interface Loss {
  reason: string
  /** Status of a response that is not passed on. */
  status?: number
  /** True when the response ended as its framing requires, but is not whole. */
  hasEndedInOrder?: boolean
}

/** Receives the events of a send. Unless it is aborted, it ends with exactly one call of `onRefused`, `onEnd` or `onLost`. */
export interface SendHandlers {
  /** Receives the head of the response; the body follows. */
  onHead (head: WorkerResponse): void
  onData (chunk: Buffer): void
  /** The response is whole. */
  onEnd (): void
  /** The worker has not run the request: it stated so, could not be reached, or takes no request any more (`isWithheld`). */
  onRefused (refusal: { hasArrived: boolean, isWithheld?: boolean, reason: string, connection?: number }): void
  onLost (loss: Loss): void
}

/** Controls a send. */
export interface WorkerExchange extends Exchange {
  /** Returns the number of bytes of the response since the end of its last complete event; 0 when it is no stream of events. */
  partialEventBytes (): number
}

const notRunKinds = new Set([FailureKind.Unreachable, FailureKind.Malformed, FailureKind.Withheld])
/** Statuses that clients take for a promise that their request has not run and never will. */
const promisingStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503])
/** Lowest status of a response that is no success. */
const minRefusalStatus = 300
/** Longest delay in milliseconds, chosen at random, that is added to the time at which a client is told to come back. */
const returnSpreadMs = 500

/** Returns what is known about the execution of a request whose exchange failed. */
export function classifyFailure (failure: Failure): Outcome {
  return notRunKinds.has(failure.kind) ? Outcome.NotRun : Outcome.Unknown
}

/** Paces the requests to a worker by the limit that its newest response names, or lifts the limit when that names none. */
function applyLimit (context: GatewayContext, worker: Worker, limitPerS: number | undefined): void {
  if (limitPerS === worker.pacer?.limitPerS()) return
  context.log.warn({ worker: worker.entry.id, limitPerS }, 'worker limit')
  if (limitPerS === undefined) delete worker.pacer
  else if (worker.pacer !== undefined) worker.pacer.setLimit(limitPerS)
  else worker.pacer = createPacer(limitPerS, context.timer.now(), { memberCount: context.gatewayCount, random: context.random })
}

/**
 * Returns the delay in milliseconds after which a client may come back when workers of the service want no requests now: the earliest
 * time at which one takes a request, and a random part that spreads clients; undefined when no such time is known.
 */
export function getReturnMs (context: GatewayContext, workers: readonly Worker[]): number | undefined {
  const earliestMs = getEarliestMs(context, workers)
  return earliestMs === undefined ? undefined : Math.round(earliestMs + returnSpreadMs * context.random())
}

/** Tells whether a response is a stream of events: by its media type, or, when the worker states none, because its route carries streams. */
function carriesEvents ({ route }: ClientRequest, { status, contentType }: ResponseHead): boolean {
  if (status >= minRefusalStatus) return false
  return contentType === undefined ? route.kind === RequestKind.Streaming : isEventStream(contentType)
}

/** Sends a request to a worker, with the given headers, the id of the worker and the remaining time. */
export function sendToWorker (
  context: GatewayContext, request: ClientRequest, worker: Worker, added: Omit<WorkerHeaders, 'workerId' | 'deadlineMs'>, handlers: SendHandlers
): WorkerExchange {
  const { timer, directory } = context
  const deadlineMs = request.deadlineMs - timer.now()
  const caller = request.identifyCaller().unwrapOr(undefined)
  const organisation = caller?.organisation?.name
  const callerHeaders = caller?.carriesKeys === false ? request.head.callerHeaders : []
  const headers = [...request.head.forwarded, ...callerHeaders, ...encodeWorkerHeaders({ ...added, workerId: worker.entry.id, deadlineMs, organisation })]
  /** A response of which only the head counts; undefined when the response is passed on. */
  let unused: { body: DiscardedBody, report: () => void } | undefined
  let bodyCheck: BodyCheck | undefined
  worker.inFlight++

  /** Tells whether the request may still go out under the name that its headers have; the key may be withdrawn while a connection is opened. */
  function isSameCaller (): boolean {
    const now = request.identifyCaller().unwrapOr(undefined)
    return caller !== undefined && now?.carriesKeys === caller.carriesKeys && now.organisation?.name === organisation
  }

  function decrementInFlight (): void { worker.inFlight-- }

  /** Discards the body of a response, and reports the response when that has ended. */
  function discardResponse (report: () => void): void {
    const body = discardBody(timer, () => {
      exchange.abort()
      decrementInFlight()
      finishUnused()
    })
    unused = { body, report }
  }

  function finishUnused (): void {
    unused?.body.cancel()
    unused?.report()
  }

  const exchange = context.pool.send(worker.entry.address, {
    method: request.method, path: request.path, headers, body: request.body.length > 0 ? request.body : null, usedConnections: request.usedConnections
  }, {
    mayStart: () => isSameCaller() && mayStart(context, worker),
    onHead (status, raw, { isCloseDelimited, isReused, connection }) {
      const head = decodeResponseHead(status, raw)
      // On a connection in use again, a response that does not name this request may be a second one to an earlier request.
      if (head.requestId === undefined ? isReused : head.requestId !== request.requestId) return false
      applyLimit(context, worker, head.limitPerS)
      recordAnswer(context, worker, head)
      if (head.notRun) {
        discardResponse(() => handlers.onRefused({ hasArrived: true, reason: 'refused', connection }))
        return true
      }
      if (promisingStatuses.has(status)) {
        discardResponse(() => handlers.onLost({ reason: `status ${status}, which does not state that the request has not run`, status }))
        return true
      }
      if (head.hasContentEncoding) return false
      const hasEvents = added.prefill !== true && carriesEvents(request, head)
      bodyCheck = createBodyCheck({ hasEvents, isCloseDelimited, lengthBytes: findLength(raw) })
      handlers.onHead({ ...head, isCloseDelimited, framing: findFraming(raw, isCloseDelimited), hasEvents, connection })
      return true
    },
    onData (chunk) {
      if (unused !== undefined) {
        unused.body.add(chunk)
        return
      }
      const passed = bodyCheck?.add(chunk) ?? chunk
      if (passed.length > 0) handlers.onData(passed)
    },
    onEnd () {
      decrementInFlight()
      if (unused !== undefined) {
        finishUnused()
        return
      }
      const fault = bodyCheck?.findFault()
      if (fault === undefined) handlers.onEnd()
      else handlers.onLost({ reason: fault, hasEndedInOrder: true })
    },
    onFail (failure) {
      decrementInFlight()
      if (unused !== undefined) finishUnused()
      else if (failure.kind === FailureKind.Withheld) handlers.onRefused({ hasArrived: false, isWithheld: true, reason: failure.message })
      else if (classifyFailure(failure) === Outcome.NotRun) {
        directory.fleet.markSuspect(worker, timer.now())
        context.promptGuard.recordUnreachable(worker)
        handlers.onRefused({ hasArrived: false, reason: failure.message })
      } else handlers.onLost({ reason: failure.message })
    }
  })
  return {
    ...exchange,
    partialEventBytes: () => bodyCheck?.partialBytes() ?? 0,
    abort () {
      unused?.body.cancel()
      decrementInFlight()
      exchange.abort()
    }
  }
}
