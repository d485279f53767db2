/**
 * The policies of gateways that the simulation compares: by completion, and by mean latency as before.
 */
import { chooseWorker, createFleet, WorkerState } from '../fleet/mod.ts'
import {
  chooseByCompletion, createCostEstimates, createLoadSums, createLoadView, createUsualDeadline, decideSend, estimateCompletionMs, getReturnDelayMs, SendDecision
} from './mod.ts'
import { createRandom, tripMs } from './_simulated_service_test.ts'
import type { Worker } from '../fleet/mod.ts'
import type { Candidate } from './mod.ts'
import type { Decider, SimulatedLoad } from './_simulated_service_test.ts'

/** Makes the policy of each gateway of one simulation. */
export type CreateDecider = (gateway: number, later: (ms: number, run: () => void) => void) => Decider

const failureMs = 400
const retryMs = 15
const kind = ['stamp POST']

/** Places by the mean latency of each worker and the requests of the gateway itself there, and sends at once. */
export function decideByLatency (load: SimulatedLoad): CreateDecider {
  return (gateway) => {
    const fleet = createFleet()
    const random = createRandom(gateway + 77)
    for (let i = 0; i < load.workers; i++) {
      fleet.upsert({ id: `${i}`, service: 's', address: '10.0.0.1:80', zone: `${i}`, slots: load.slots, state: WorkerState.Ready, softwareVersion: 'v1', bornMs: 1 }, 0)
    }
    const get = (worker: number): Worker => fleet.get(`${worker}`) as Worker
    return {
      decide (_request, nowMs) {
        const roundTripMs = (zone: string): number => tripMs(gateway, Number(zone))
        const worker = chooseWorker(fleet.serving('s'), { nowMs, drainMs: 2_500, roundTripMs, exclude: new Set(), failureMs, random })
        return { send: Number((worker as Worker).entry.id) }
      },
      onSent (worker) { get(worker).inFlight++ },
      onEnd (worker, _nowMs, tookMs) {
        get(worker).inFlight--
        fleet.recordResult(get(worker), tookMs === undefined ? { failed: true } : { failed: false, latencyMs: tookMs })
      }
    }
  }
}

/** Configures the policy by completion. */
export interface CompletionOptions {
  /** Time in milliseconds that reports and answers take each; 2 by default. */
  delayMs?: number
  /** True when requests that others have probably sent are not spread; false by default. */
  ignoresUnseen?: boolean
}

/** Places by expected completion with the loads that one exchange point sums up, and holds back or refuses what would come too late. */
export function decideByCompletion (load: SimulatedLoad, options: CompletionOptions = {}): CreateDecider {
  const { delayMs = 2, ignoresUnseen = false } = options
  const sums = createLoadSums()
  return (gateway, later) => {
    const costs = createCostEstimates()
    const view = createLoadView()
    const deadlines = createUsualDeadline()
    const random = createRandom(gateway + 99)
    const name = `g${gateway}`
    const open: Array<Array<{ workMs: number, queueMs: number }>> = Array.from({ length: load.workers }, () => [])
    let seq = 0
    let chosenQueueMs = 0

    function see (worker: number, workMs: number, nowMs: number): { candidate: Candidate, unseenRequests: number } {
      const mine = costs.slowness(`${worker}`, nowMs)
      const told = view.find(`${worker}`, 0, nowMs)
      const samples = mine.samples + told.others.samples
      const slowness = samples === 0
        ? 1
        : Math.exp((mine.samples * Math.log(mine.slowness) + told.others.samples * Math.log(told.others.slowness)) / samples)
      const seen = view.find(`${worker}`, Math.min(load.slots, told.requests) / (workMs * slowness), nowMs)
      const { requests, workMs: aheadMs, unseenRequests } = seen
      return { candidate: { fixedMs: tripMs(gateway, worker), slots: load.slots, slowness, requests, workMs: aheadMs }, unseenRequests }
    }

    return {
      decide (request, nowMs) {
        const workMs = costs.workMs(kind)
        const seen = Array.from({ length: load.workers }, (_, worker) => see(worker, workMs, nowMs))
        const candidates = seen.map(({ candidate }) => candidate)
        const unseenRequests = ignoresUnseen ? 0 : seen.reduce((sum, worker) => sum + worker.unseenRequests, 0)
        const choice = chooseByCompletion(candidates, { workMs, unseenRequests, random })
        if (choice === undefined) throw new Error('no workers')
        const statedMs = request.deadlineMs - request.startedMs
        if (nowMs === request.startedMs) deadlines.record('stamp', statedMs)
        const situation = {
          levelMs: choice.levelMs,
          idleMs: estimateCompletionMs({ ...candidates[choice.index] as Candidate, requests: 0, workMs: 0 }, workMs),
          waitedMs: nowMs - request.startedMs,
          targetMs: load.aimMs,
          leftMs: request.deadlineMs - nowMs,
          usedMs: deadlines.usedMs('stamp', statedMs),
          rank: 0,
          isIdle: (candidates[choice.index]?.requests ?? 0) + unseenRequests / load.workers < load.slots,
          ageMs: view.ageMs(nowMs)
        }
        const decision = decideSend(situation)
        chosenQueueMs = choice.queueMs
        if (decision === SendDecision.Send) return { send: choice.index }
        return decision === SendDecision.Wait ? { waitMs: retryMs } : { refuseMs: getReturnDelayMs(situation, random()) }
      },
      onSent (worker) {
        const workMs = costs.workMs(kind)
        const queueMs = chosenQueueMs
        view.add(`${worker}`, workMs)
        open[worker]?.push({ workMs, queueMs })
      },
      onEnd (worker, nowMs, tookMs) {
        const sent = open[worker]?.shift()
        if (sent === undefined) return
        view.remove(`${worker}`, sent.workMs)
        if (tookMs !== undefined) costs.record({ keys: kind, worker: `${worker}`, tookMs: tookMs - tripMs(gateway, worker), queueMs: sent.queueMs }, nowMs)
      },
      exchange (nowMs) {
        const own = new Map(view.own().map((entry) => [entry.worker, entry]))
        const loads = Array.from({ length: load.workers }, (_, worker) => {
          return { requests: 0, workMs: 0, ...own.get(`${worker}`), worker: `${worker}`, ...costs.slowness(`${worker}`, nowMs) }
        })
        const report = { name, incarnation: 1, seq: ++seq, loads }
        later(delayMs, () => {
          sums.add(report, nowMs + delayMs)
          const others = sums.sumOthers(name, nowMs + delayMs)
          const ageMs = sums.meanAgeMs(name, nowMs + delayMs)
          later(delayMs, () => view.merge(others, nowMs - ageMs))
        })
      }
    }
  }
}

/** The loads that are compared: one without bursts, and one whose bursts exceed what the workers answer by a third. */
export const simulatedLoads: { readonly [name: string]: SimulatedLoad } = {
  steady: createLoad(() => 141),
  bursts: createLoad((nowMs) => {
    const usualPerS = 141 * (1 + 0.4 * Math.sin(nowMs / 17_000 * 2 * Math.PI))
    return usualPerS * (nowMs > 6_000 && nowMs < 11_000 ? 2.4 : nowMs > 16_000 && nowMs < 22_000 ? 2.8 : 1.2)
  })
}

function createLoad (perS: (nowMs: number) => number): SimulatedLoad {
  const slowness = [0.7, 1.7, 1, 0.9, 1.2, 0.8]
  return { gateways: 30, workers: 6, seed: 3, durationMs: 26_000, perS, slots: 6, queue: 24, workMs: 86, slowness, slowShare: 0.15, aimMs: 490, deadlineMs: 4_000 }
}
