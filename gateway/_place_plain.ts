/**
 * Places a request of a plain service: at which worker, now or in a moment, or not at all.
 */
import { chooseByCompletion, decideSend, estimateCompletionMs, getReturnDelayMs, SendDecision } from '../core/cost/mod.ts'
import { getSendDelayMs, SendRank } from '../core/fleet/mod.ts'
import { Err, Ok } from '../core/results/mod.ts'
import { Count } from '../metrics/mod.ts'
import { checkWorker } from './_check_worker.ts'
import type { SendSituation } from '../core/cost/mod.ts'
import type { Worker } from '../core/fleet/mod.ts'
import type { Result } from '../core/results/mod.ts'
import type { ClientRequest, GatewayContext } from './_types.ts'

/** Where a request goes. */
export interface Placed {
  worker: Worker
  /** Expected time in milliseconds until the answer; absent when only latencies are known. */
  expectedMs?: number
  /** Time in milliseconds in which a worker of mean speed would work off what is ahead of it. */
  queueMs?: number
  /** Time in milliseconds for which the request waited here, and that its client had used up before. */
  waitedMs?: number
  usedMs?: number
}

/** Why a request is not placed. */
export interface NotPlaced {
  reason: string
  /** Time in milliseconds after which the client may retry, when one is forecast. */
  retryAfterMs?: number
}

/** Time in milliseconds after which a request that waits is placed again. */
const retryMs = 25
/** Largest number of requests that wait here at a time; one beyond it is sent or refused at once. */
const maxWaiting = 400

/** Places one request after the other. */
export interface PlainPlacement {
  /** Returns the worker for a request, once one is likely to answer usefully, or why there is none. */
  place (request: ClientRequest, exclude: ReadonlySet<string>, failureMs: number): Promise<Result<Placed, NotPlaced>>
  /** Returns the number of requests that wait. */
  waiting (): number
}

/** Creates the placement; the context that it is part of is there when it is first used. */
export function createPlainPlacement (getContext: () => GatewayContext): PlainPlacement {
  let waiting = 0

  /** Returns the number of more urgent kinds of requests that the service of a request has. */
  function findRank (context: GatewayContext, request: ClientRequest): number {
    const priorities = context.directory.routeTable()?.listPriorities(request.service.name) ?? []
    return priorities.filter((priority) => priority < request.priority).length
  }

  function listOpen (context: GatewayContext, workers: Worker[], exclude: ReadonlySet<string>): Worker[] {
    const ranked = workers.filter(({ entry }) => !exclude.has(entry.id)).map((worker) => ({ worker, rank: checkWorker(context, worker).rank }))
    const bestRank = Math.min(SendRank.Held, ...ranked.map(({ rank }) => rank))
    return ranked.filter(({ rank }) => rank === bestRank).map(({ worker }) => worker)
  }

  return {
    waiting: () => waiting,
    async place (request, exclude, failureMs) {
      const context = getContext()
      const { timer, random, workerLoads } = context
      const { service, route, head } = request
      const sinceMs = timer.now()
      const statedMs = head.deadlineMs ?? route.timeoutMs
      const usedMs = workerLoads.deadlines.usedMs(route.name, statedMs)
      let isWaiting = false
      try {
        for (;;) {
          const open = listOpen(context, context.directory.fleet.serving(service.name), exclude)
          const fixedMs = (worker: Worker): number =>
            context.roundTripMs(worker.entry.zone) + getSendDelayMs(worker, timer.now()) + worker.failureShare * failureMs
          const { candidates, unseenRequests } = workerLoads.see(request, open, fixedMs)
          const workMs = workerLoads.workMs(request)
          const choice = chooseByCompletion(candidates, { workMs, unseenRequests, random })
          if (choice === undefined) return Err({ reason: 'no_worker' })
          const worker = open[choice.index] as Worker
          // The cost of a failure counts in the choice, and is no time until the answer.
          const lossMs = worker.failureShare * failureMs
          const idle = { ...candidates[choice.index] as (typeof candidates)[number], requests: 0, workMs: 0 }
          const situation: SendSituation = {
            levelMs: choice.levelMs - lossMs,
            idleMs: estimateCompletionMs(idle, workMs) - lossMs,
            isIdle: idle.slots > (candidates[choice.index]?.requests ?? 0) + unseenRequests / candidates.length,
            waitedMs: timer.now() - request.startedMs,
            targetMs: route.targetLatencyMs,
            leftMs: Math.min(statedMs - (timer.now() - request.startedMs), request.deadlineMs - timer.now()),
            usedMs,
            rank: findRank(context, request),
            ageMs: workerLoads.ageMs()
          }
          let decision = decideSend(situation)
          // What has been sent before is sent again at once or not at all.
          if (decision === SendDecision.Wait && (exclude.size > 0 || (!isWaiting && waiting >= maxWaiting))) decision = SendDecision.Refuse
          if (decision === SendDecision.Refuse && exclude.size > 0 && situation.levelMs < situation.leftMs) decision = SendDecision.Send
          if (decision !== SendDecision.Wait) {
            context.metrics.count(Count.PlainPlacements, { service: service.name, decision: isWaiting ? `${decision}_after_wait` : decision })
            if (decision === SendDecision.Send) return Ok({ worker, expectedMs: Math.round(situation.levelMs), queueMs: choice.queueMs, waitedMs: Math.round(timer.now() - sinceMs), usedMs })
            const leftMs = statedMs - (timer.now() - request.startedMs)
            const retryAfterMs = getReturnDelayMs({ levelMs: situation.levelMs, leftMs }, random())
            const { levelMs, idleMs } = situation
            const fields = { request: request.requestId, levelMs: Math.round(levelMs), idleMs: Math.round(idleMs), workMs: Math.round(workMs) }
            const loads = open.map(({ entry }, i) => `${entry.id}:${Math.round(candidates[i]?.requests ?? 0)}x${(candidates[i]?.slowness ?? 1).toFixed(2)}`)
            context.log.warn({ ...fields, usedMs, retryAfterMs, waitedMs: Math.round(timer.now() - sinceMs), loads: loads.join(' ') }, 'not placed')
            return Err({ reason: 'no_room_in_time', retryAfterMs })
          }
          if (!isWaiting) waiting++
          isWaiting = true
          await new Promise<void>((resolve) => { timer.after(retryMs, resolve) })
          const reason = request.stopReason()
          if (reason !== undefined) return Err({ reason })
        }
      } finally {
        if (isWaiting) waiting--
      }
    }
  }
}
