/**
 * A simulation of a plain service whose callers come in bursts: many gateways that decide by themselves, few workers of uneven speed with a
 * short queue, and clients that return once after a refusal.
 */

/** What a gateway does with a request now. */
export type Step = { send: number } | { waitMs: number } | { refuseMs: number }

/** A request as a gateway sees it. */
export interface SimulatedRequest {
  /** Time in milliseconds at which this attempt of the client reached the gateway. */
  startedMs: number
  /** Time at which the client gives up. */
  deadlineMs: number
}

/** The policy of one gateway. */
export interface Decider {
  decide (request: SimulatedRequest, nowMs: number): Step
  onSent (worker: number, nowMs: number): void
  /** `tookMs` is absent when the worker refused. */
  onEnd (worker: number, nowMs: number, tookMs?: number): void
  /** Called every 100 ms; `tell` hands a report to the exchange point, whose answer arrives later. */
  exchange? (nowMs: number): void
}

/** Describes the load. */
export interface SimulatedLoad {
  gateways: number
  workers: number
  seed: number
  durationMs: number
  /** Requests a second of all callers at a time. */
  perS: (nowMs: number) => number
  slots: number
  /** Requests that a worker queues. */
  queue: number
  workMs: number
  /** Time relative to the mean that each worker takes. */
  slowness: readonly number[]
  /** Share of the phases of 600 ms in which a worker takes 2.5 times as long. */
  slowShare: number
  aimMs: number
  deadlineMs: number
}

/** What callers got. */
export interface SimulatedResult {
  callers: number
  inTime: number
  late: number
  lost: number
  /** Arrivals that workers refused because they were full. */
  rejected: number
  refusals: number
  /** Credit earned for each caller, less what the refusals of those who came back cost. */
  credit: number
  /** Largest number of requests that one worker had beyond the mean of all, at a mean moment. */
  spread: number
  p99Ms: number
}

/** Returns the round trip in milliseconds between a gateway and a worker: two regions with half of both. */
export function tripMs (gateway: number, worker: number): number {
  return gateway % 6 === worker % 6 ? 1 : gateway % 2 === worker % 2 ? 4 : 42
}

/** Returns a source of random numbers. */
export function createRandom (seed: number): () => number {
  let state = seed % 4_294_967_296
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 4_294_967_296
    return state / 4_294_967_296
  }
}

interface Worker { running: number, waiting: Job[], slowUntilMs: number }
interface Job { gateway: number, sentMs: number, deadlineMs: number, done: (endMs: number) => void }
/** `lastMs` is the time at which a caller gives up; callers state deadlines that differ by a tenth. */
interface Caller { firstMs: number, lastMs: number, hasReturned: boolean }

const phaseMs = 600
const exchangeMs = 100
const lateCredit = 0.3
const minSpreadStepMs = 100

/** Plays a load; `create` makes the policy of each gateway. */
export function simulateService (load: SimulatedLoad, create: (gateway: number, later: (ms: number, run: () => void) => void) => Decider): SimulatedResult {
  const random = createRandom(load.seed)
  const events: Array<Array<() => void>> = []
  let nowMs = 0
  const later = (ms: number, run: () => void): void => {
    const at = Math.ceil(nowMs + Math.max(0.01, ms));
    (events[at] ??= []).push(run)
  }
  const gateways = Array.from({ length: load.gateways }, (_, i) => create(i, later))
  const weights = gateways.map(() => 0.3 + 1.7 * random())
  const totalWeight = weights.reduce((sum, weight) => sum + weight, 0)
  const workers: Worker[] = Array.from({ length: load.workers }, () => ({ running: 0, waiting: [], slowUntilMs: 0 }))
  const result: SimulatedResult = { callers: 0, inTime: 0, late: 0, lost: 0, rejected: 0, refusals: 0, credit: 0, spread: 0, p99Ms: 0 }
  const times: number[] = []
  const spreads: number[] = []

  function normal (): number { return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random()) }

  function drawWorkMs (worker: number): number {
    const tail = random() < 0.01 ? 5 : 1
    const slow = nowMs < (workers[worker] as Worker).slowUntilMs ? 2.5 : 1
    return load.workMs * Math.exp(0.47 * normal() - 0.11) * tail * slow * (load.slowness[worker % load.slowness.length] ?? 1)
  }

  function start (index: number, job: Job): void {
    const worker = workers[index] as Worker
    worker.running++
    later(drawWorkMs(index), () => {
      worker.running--
      const next = worker.waiting.shift()
      if (next !== undefined) start(index, next)
      job.done(nowMs)
    })
  }

  function arrive (index: number, job: Job, refuse: () => void): void {
    const worker = workers[index] as Worker
    if (worker.running < load.slots) start(index, job)
    else if (worker.waiting.length < load.queue) worker.waiting.push(job)
    else refuse()
  }

  function begin (caller: Caller): void {
    let drawn = random() * totalWeight
    const gateway = Math.max(0, weights.findIndex((weight) => (drawn -= weight) < 0))
    const request = { startedMs: nowMs, deadlineMs: caller.lastMs }
    serve(caller, gateway, request)
  }

  function serve (caller: Caller, index: number, request: SimulatedRequest): void {
    const gateway = gateways[index] as Decider
    if (nowMs >= request.deadlineMs) return lose(caller)
    const step = gateway.decide(request, nowMs)
    if ('waitMs' in step) return later(step.waitMs, () => serve(caller, index, request))
    if ('refuseMs' in step) return giveBack(caller, step.refuseMs)
    const worker = step.send
    const trip = tripMs(index, worker)
    const sentMs = nowMs
    gateway.onSent(worker, nowMs)
    later(trip / 2, () => arrive(worker, {
      gateway: index,
      sentMs,
      deadlineMs: request.deadlineMs,
      done: () => later(trip / 2, () => {
        gateway.onEnd(worker, nowMs, nowMs - sentMs)
        finish(caller)
      })
    }, () => {
      result.rejected++
      later(trip / 2, () => {
        gateway.onEnd(worker, nowMs)
        giveBack(caller, 200)
      })
    }))
  }

  function finish (caller: Caller): void {
    const tookMs = nowMs - caller.firstMs
    times.push(tookMs)
    if (nowMs > caller.lastMs) return lose(caller)
    if (tookMs <= load.aimMs) result.inTime++
    else result.late++
    result.credit += tookMs <= load.aimMs ? 1 : lateCredit
  }

  function lose (caller: Caller): void {
    result.lost++
    // A caller who came back after a refusal and is not served costs part of the credit.
    if (caller.hasReturned) result.credit -= 0.3
  }

  function giveBack (caller: Caller, afterMs: number): void {
    result.refusals++
    const waitMs = Math.min(afterMs, (caller.lastMs - nowMs) / 3)
    if (caller.hasReturned) return lose(caller)
    caller.hasReturned = true
    later(waitMs + 2, () => begin(caller))
  }

  for (; nowMs < load.durationMs + load.deadlineMs; nowMs++) {
    for (const run of events[nowMs] ?? []) run()
    delete events[nowMs]
    if (nowMs % phaseMs === 0) for (const worker of workers) if (random() < load.slowShare) worker.slowUntilMs = nowMs + phaseMs
    for (const [i, gateway] of gateways.entries()) if (nowMs % exchangeMs === Math.floor(i * exchangeMs / gateways.length)) gateway.exchange?.(nowMs)
    if (nowMs < load.durationMs) {
      for (let left = load.perS(nowMs) / 1_000; left > 0; left--) {
        if (random() >= Math.min(1, left)) continue
        result.callers++
        begin({ firstMs: nowMs, lastMs: nowMs + load.deadlineMs * (0.94 + 0.12 * random()), hasReturned: false })
      }
      if (nowMs % minSpreadStepMs === 0) {
        const counts = workers.map(({ running, waiting }) => running + waiting.length)
        spreads.push(Math.max(...counts) - counts.reduce((sum, count) => sum + count, 0) / counts.length)
      }
    }
  }
  times.sort((a, b) => a - b)
  result.p99Ms = times[Math.floor(times.length * 0.99)] ?? 0
  result.spread = spreads.reduce((sum, value) => sum + value, 0) / spreads.length
  result.credit /= result.callers
  return result
}
