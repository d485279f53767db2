/**
 * What this gateway and the others have at the workers of plain services, what requests there cost, and how fast decode engines read prompts.
 */
import { createCostEstimates, createLoadView, createSpeedEstimates, createUsualDeadline, estimateCompletionMs, LoadTopic, PlacementPolicy } from '../core/cost/mod.ts'
import { MessageKind } from '../wire/mod.ts'
import type { Candidate, LoadEntry, UsualDeadline } from '../core/cost/mod.ts'
import type { Worker } from '../core/fleet/mod.ts'
import type { Timer } from '../timer/mod.ts'
import type { SidecarClient } from './_sidecar_client.ts'
import type { ClientRequest } from './_types.ts'

/** Configures the exchange of loads. */
export interface WorkerLoadsOptions {
  sidecars: SidecarClient
  timer: Timer
  /** Name of this machine. */
  name: string
  policy: PlacementPolicy
  /** Number of this run of the process; a later run has a higher one. */
  incarnation: number
}

/** The workers of a choice with what they still have to do. */
export interface SeenWorkers {
  candidates: Candidate[]
  /** Requests that other gateways have probably sent since their loads were told. */
  unseenRequests: number
}

/** Knows the loads and the costs. */
export interface WorkerLoads {
  /** Tells whether the loads of all gateways are known well enough to choose by. */
  isKnown (): boolean
  /** Returns the age in milliseconds of what is known of the others. */
  ageMs (): number
  /** Returns the expected work of a request, in milliseconds of a worker of mean speed. */
  workMs (request: ClientRequest): number
  /** Describes workers for a choice; `fixedMs` is the time of each that does not depend on its work. */
  see (request: ClientRequest, workers: readonly Worker[], fixedMs: (worker: Worker) => number): SeenWorkers
  /** Counts a request that is sent; the result records its end, with the time that the worker took unless it did not answer. */
  begin (request: ClientRequest, worker: Worker, options: { roundTripMs: number, queueMs?: number | undefined }): (tookMs?: number) => void
  /** Records the time in milliseconds for each token of a prompt that a decode engine prefilled between the tokens of its streams. */
  recordRead (engine: Worker, msPerToken: number): void
  /** Returns that time as all gateways have measured it; undefined when none has lately. */
  readMsPerToken (engine: Worker): number | undefined
  readonly deadlines: UsualDeadline
  close (): void
}

/** Shortest time in milliseconds between two reports; a report is about as old as a request takes. */
const reportMs = 150
/** Time in milliseconds between two reports on how fast decode engines read prompts. */
const readsReportMs = 1_000
/** Number of exchange points that are used: one, and one that takes over from it. */
const maxPoints = 2
/** Time in milliseconds after the newest request for which loads are still exchanged. */
const activeMs = 2_000
/** Fewest samples of a worker's speed that are told to others; older ones count less. */
const minToldSamples = 0.5
/** Lowest slowness that is taken from others; that of prompts is a time in milliseconds for each token. */
const minSlowness = 0.001
/** Number of the newest reports whose answers are expected. */
const maxOpenReports = 32

/** Number of reports that a point may leave unanswered until another one is asked, the highest number that counts, and how much a report to another one takes off. */
const allowedSilence = 2
const maxSilence = 5
const silenceFade = 0.1

/** Names the incarnation of a worker. */
function nameWorker ({ entry }: Worker): string { return `${entry.id}/${entry.bornMs}` }

/** Names the speed of an engine in prefills between the tokens of its streams. */
function nameRead (engine: Worker): string { return `${nameWorker(engine)} read` }

/** Returns what a request looks like, the most general name first. */
function nameCosts (request: ClientRequest): string[] {
  const { route, method, organisation } = request
  const kind = `${route.name} ${method}`
  return organisation === undefined ? [kind] : [kind, `${kind} ${organisation.name}`]
}

/** Creates the exchange; it sends nothing under another policy. */
export function createWorkerLoads (options: WorkerLoadsOptions): WorkerLoads {
  const { sidecars, timer, name, incarnation } = options
  const costs = createCostEstimates()
  const reads = createSpeedEstimates()
  const view = createLoadView()
  const deadlines = createUsualDeadline()
  const isOn = options.policy === PlacementPolicy.Completion
  const sentAtMs = new Map<number, number>()
  const told = new Set<string>()
  /** Number of reports in a row that each point was asked to answer and has not answered yet. */
  const silences = new Map<string, number>()
  let seq = 0
  let lastRequestMs = -Infinity
  let hasPrompts = false
  let toldReads = new Map<string, LoadEntry>()

  function combineSlowness (mine: { slowness: number, samples: number }, others: { slowness: number, samples: number }): number {
    const samples = mine.samples + others.samples
    if (samples === 0) return 1
    return Math.exp((mine.samples * Math.log(mine.slowness) + others.samples * Math.log(Math.max(minSlowness, others.slowness))) / samples)
  }

  function seeWorker (worker: Worker, workMs: number, fixedMs: number): { candidate: Candidate, unseenRequests: number } {
    const nowMs = timer.now()
    const key = nameWorker(worker)
    const slots = Math.max(1, worker.entry.slots)
    const told = view.find(key, 0, nowMs)
    const slowness = combineSlowness(costs.slowness(key, nowMs), told.others)
    const { requests, workMs: aheadMs, unseenRequests } = view.find(key, Math.min(slots, told.requests) / (workMs * slowness), nowMs)
    return { candidate: { fixedMs, slots, slowness, requests, workMs: aheadMs }, unseenRequests }
  }

  function listPlain (nowMs: number): LoadEntry[] {
    const own = new Map(view.own().map((load) => [load.worker, load]))
    for (const worker of own.keys()) told.add(worker)
    const loads: LoadEntry[] = []
    for (const worker of told) {
      const speed = costs.slowness(worker, nowMs)
      const load = own.get(worker)
      if (load === undefined && speed.samples < minToldSamples) told.delete(worker)
      else loads.push({ requests: 0, workMs: 0, ...load, worker, ...speed })
    }
    return loads
  }

  function listReads (nowMs: number): LoadEntry[] {
    return reads.workers().flatMap((worker) => {
      const speed = reads.get(worker, nowMs)
      return speed === undefined ? [] : [{ worker, requests: 0, workMs: 0, slowness: speed.msPerUnit, samples: speed.samples }]
    })
  }

  function report (topic: LoadTopic, list: (nowMs: number) => LoadEntry[]): void {
    const nowMs = timer.now()
    if (nowMs - lastRequestMs > activeMs && view.own().length === 0) return
    const points = sidecars.exchangePoints().filter((point) => sidecars.connectionNumber(point) !== undefined).slice(0, maxPoints)
    if (points.length === 0) return
    const loads = list(nowMs)
    seq++
    sentAtMs.set(seq, nowMs)
    sentAtMs.delete(seq - maxOpenReports)
    const asked = chooseAsked(points)
    for (const point of points) {
      sidecars.sendToPoint(point, { kind: MessageKind.WorkerLoads, topic, name, incarnation, seq, asks: point === asked, loads })
      const unanswered = silences.get(point) ?? 0
      if (point === asked) silences.set(point, Math.min(maxSilence, unanswered + 1))
      else silences.set(point, Math.max(0, unanswered - silenceFade))
    }
    for (const point of silences.keys()) if (!points.includes(point)) silences.delete(point)
  }

  /** Returns the first point that has answered lately; one that is connected and silent is asked again after a while. */
  function chooseAsked (points: readonly string[]): string {
    const leastSilence = Math.min(...points.map((point) => Math.floor(silences.get(point) ?? 0)))
    return points.find((point) => Math.floor(silences.get(point) ?? 0) <= Math.max(leastSilence, allowedSilence)) as string
  }

  sidecars.receive(MessageKind.WorkerLoadsSum, (point, { topic, seq: answered, ageMs, loads }) => {
    silences.set(point, 0)
    const atMs = sentAtMs.get(answered)
    if (atMs === undefined) return
    if (topic === LoadTopic.Plain) view.merge(loads, atMs - ageMs)
    else toldReads = new Map(loads.map((entry) => [entry.worker, entry]))
  })
  const timers = isOn
    ? [
        timer.every(reportMs, () => report(LoadTopic.Plain, listPlain)),
        timer.every(readsReportMs, () => { if (hasPrompts) report(LoadTopic.Reads, listReads) })
      ]
    : []

  return {
    ageMs: () => view.ageMs(timer.now()),
    isKnown: () => isOn && view.isKnown(timer.now()),
    workMs: (request) => costs.workMs(nameCosts(request)),
    see (request, workers, fixedMs) {
      lastRequestMs = timer.now()
      const workMs = costs.workMs(nameCosts(request))
      const seen = workers.map((worker) => seeWorker(worker, workMs, fixedMs(worker)))
      return { candidates: seen.map(({ candidate }) => candidate), unseenRequests: seen.reduce((sum, { unseenRequests }) => sum + unseenRequests, 0) }
    },
    begin (request, worker, { roundTripMs, queueMs: expectedQueueMs }) {
      lastRequestMs = timer.now()
      const key = nameWorker(worker)
      const keys = nameCosts(request)
      const workMs = costs.workMs(keys)
      const { candidate } = seeWorker(worker, workMs, 0)
      const queueMs = expectedQueueMs ?? estimateCompletionMs({ ...candidate, slowness: 1 }, 0)
      view.add(key, workMs)
      let hasEnded = false
      return (tookMs) => {
        if (hasEnded) return
        hasEnded = true
        view.remove(key, workMs)
        if (tookMs !== undefined) costs.record({ keys, worker: key, tookMs: Math.max(1, tookMs - roundTripMs), queueMs }, timer.now())
      }
    },
    recordRead (engine, msPerToken) { reads.record(nameRead(engine), msPerToken, timer.now()) },
    readMsPerToken (engine) {
      lastRequestMs = timer.now()
      hasPrompts = true
      const key = nameRead(engine)
      const mine = reads.get(key, timer.now())
      const others = toldReads.get(key) ?? { slowness: 1, samples: 0 }
      const samples = (mine?.samples ?? 0) + others.samples
      return samples < minToldSamples ? undefined : combineSlowness({ slowness: mine?.msPerUnit ?? 1, samples: mine?.samples ?? 0 }, others)
    },
    deadlines,
    close () { for (const periodic of timers) periodic.cancel() }
  }
}
