/**
 * One send of a request to one worker.
 */
import { Outcome } from '../core/types/mod.ts'
import { FailureKind } from '../exchange/mod.ts'
import { decodeResponseHead, encodeWorkerHeaders } from '../platform/mod.ts'
import type { Worker } from '../core/fleet/mod.ts'
import type { Exchange, Failure } from '../exchange/mod.ts'
import type { ResponseHead, WorkerHeaders } from '../platform/mod.ts'
import type { ClientRequest, GatewayContext } from './_types.ts'

/** The head of a worker's answer. */
export interface WorkerResponse extends ResponseHead {
  /** True when the body ends with the connection, for lack of a length. */
  isCloseDelimited: boolean
}

/** Gets what comes back from a worker; exactly one of `onRefused`, `onEnd` and `onLost` ends the send. */
export interface SendHandlers {
  /** The worker answers; its body follows. */
  onHead (head: WorkerResponse): void
  onData (chunk: Buffer): void
  onEnd (): void
  /** The worker has not run the request: it says so, or it could not be reached. */
  onRefused (refusal: { arrived: boolean, reason: string }): void
  /** The answer is lost, and the request may have run. */
  onLost (reason: string): void
}

const notRunKinds = new Set([FailureKind.Unreachable, FailureKind.Malformed])

/** Says what is known of a request whose exchange failed. */
export function classifyFailure (failure: Failure): Outcome {
  return notRunKinds.has(failure.kind) ? Outcome.NotRun : Outcome.Unknown
}

/** Sends a request to a worker. */
export function sendToWorker (shared: GatewayContext, job: ClientRequest, worker: Worker, added: Omit<WorkerHeaders, 'workerId' | 'deadlineMs'>, handlers: SendHandlers): Exchange {
  const { timer, directory } = shared
  const deadlineMs = job.deadlineMs - timer.now()
  const headers = [...job.head.forwarded, ...encodeWorkerHeaders({ ...added, workerId: worker.entry.id, deadlineMs })]
  let refused = false
  worker.inFlight++

  function done (): void { worker.inFlight-- }

  const exchange = shared.pool.send(worker.entry.address, { method: job.method, path: job.path, headers, body: job.body.length > 0 ? job.body : null }, {
    onHead (status, raw, unframed) {
      const head = decodeResponseHead(status, raw)
      if (head.requestId !== undefined && head.requestId !== job.requestId) return false
      refused = head.notRun
      if (refused) return true
      if (head.hasContentEncoding) return false
      handlers.onHead({ ...head, isCloseDelimited: unframed })
      return true
    },
    onData: (chunk) => { if (!refused) handlers.onData(chunk) },
    onEnd () {
      done()
      if (refused) handlers.onRefused({ arrived: true, reason: 'refused' })
      else handlers.onEnd()
    },
    onFail (failure) {
      done()
      if (refused) {
        handlers.onRefused({ arrived: true, reason: 'refused' })
        return
      }
      if (classifyFailure(failure) === Outcome.NotRun) {
        directory.fleet.markSuspect(worker, timer.now())
        handlers.onRefused({ arrived: false, reason: failure.message })
      } else handlers.onLost(failure.message)
    }
  })
  return {
    ...exchange,
    abort () {
      done()
      exchange.abort()
    }
  }
}
