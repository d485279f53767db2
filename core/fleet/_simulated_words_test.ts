/**
 * A simulation of processes that send requests to workers, which at random turn them away for a time, leave and start again.
 */
import { checkSend, chooseWorker, createFleet, SendRank, takeSendPlace, WorkerState } from './mod.ts'
import type { Fleet, Worker, WorkerEntry } from './mod.ts'

/** What happened in one simulation; times in milliseconds, processes and workers by their incarnation. */
export interface SimulatedFleet {
  arrivals: Array<{ process: string, worker: string, sentMs: number, atMs: number }>
  refusals: Array<{ process: string, worker: string, atMs: number, retryAfterMs: number }>
  /** Answers in which a worker said that it leaves, as they were passed on. */
  farewells: Array<{ process: string, worker: string, atMs: number }>
}

interface Process {
  name: string
  fleet: Fleet
  /** The process's clock is the time of the simulation times `rate`, plus `offsetMs`. */
  rate: number
  offsetMs: number
}

interface SimulatedWorker {
  id: string
  bornMs: number
  isLeaving: boolean
  /** Time until which it turns requests away. */
  busyUntilMs: number
}

const durationMs = 12_000
const stepMs = 5
const processCount = 3
const workerCount = 3
const maxTransitMs = 25
/** Longest time in milliseconds until a connection is established. */
const maxConnectMs = 900
/** Largest deviation of the rate of a clock. */
const maxDrift = 0.0001
const maxWaitMs = 150

function createRandom (seed: number): () => number {
  let state = seed % 4_294_967_296
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 4_294_967_296
    return state / 4_294_967_296
  }
}

/** Runs one simulation. */
export function simulateFleet (seed: number, drainMs: number): SimulatedFleet {
  const random = createRandom(seed)
  const result: SimulatedFleet = { arrivals: [], refusals: [], farewells: [] }
  const events: Array<{ atMs: number, run: () => void }> = []
  const workers: SimulatedWorker[] = Array.from({ length: workerCount }, (_, i) => ({ id: `w${i}`, bornMs: 1_000, isLeaving: false, busyUntilMs: 0 }))
  const processes = Array.from({ length: processCount }, (_, i) => startProcess(`p${i}.0`))
  let nowMs = 0

  function schedule (delayMs: number, run: () => void): void { events.push({ atMs: nowMs + delayMs, run }) }

  function buildEntry ({ id, bornMs }: SimulatedWorker, earlierMs = 0): WorkerEntry {
    return { id, service: 's', address: '10.0.0.1:80', zone: 'z', slots: 6, state: WorkerState.Ready, softwareVersion: 'v1', bornMs: bornMs - earlierMs }
  }

  function startProcess (name: string): Process {
    const fleet = createFleet()
    for (const worker of workers) fleet.upsert(buildEntry(worker), 0)
    return { name, fleet, rate: 1 + maxDrift * (2 * random() - 1), offsetMs: 1e6 * random() }
  }

  function clockOf (process: Process): number { return nowMs * process.rate + process.offsetMs }

  /** Does what a gateway does with a request: chooses a worker, waits for a place, connects and writes. */
  function sendRequest (process: Process): void {
    const sentMs = nowMs
    const localMs = clockOf(process)
    const options = { nowMs: localMs, drainMs, roundTripMs: () => 1, exclude: new Set<string>(), failureMs: 400, random }
    const worker = chooseWorker(process.fleet.serving('s'), options)
    if (worker === undefined) return
    const verdict = checkSend(worker, { nowMs: localMs, drainMs })
    if (verdict.rank !== SendRank.Open && verdict.rank !== SendRank.Leaving && verdict.untilMs - localMs > maxWaitMs) return
    const connectMs = random() < 0.3 ? maxConnectMs * random() : 0
    schedule(takeSendPlace(worker, localMs) + connectMs, () => {
      if (checkSend(worker, { nowMs: clockOf(process), drainMs, hasPlace: true }).rank >= SendRank.Held) return
      schedule(maxTransitMs * random(), () => receive(process, worker, sentMs))
    })
  }

  function receive (process: Process, known: Worker, sentMs: number): void {
    const worker = workers.find(({ id }) => id === known.entry.id) as SimulatedWorker
    const name = `${worker.id}/${worker.bornMs}`
    // An incarnation whose entry the process has not seen yet answers under the identity of the one before it.
    if (worker.bornMs !== known.entry.bornMs && random() < 0.5) return
    result.arrivals.push({ process: process.name, worker: name, sentMs, atMs: nowMs })
    const { isLeaving } = worker
    const retryAfterMs = nowMs < worker.busyUntilMs ? Math.max(1, (worker.busyUntilMs - nowMs) * (0.5 + random())) : undefined
    if (retryAfterMs !== undefined) result.refusals.push({ process: process.name, worker: name, atMs: nowMs, retryAfterMs })
    schedule(maxTransitMs * random(), () => {
      if (isLeaving && worker.bornMs === known.entry.bornMs) result.farewells.push({ process: process.name, worker: name, atMs: nowMs })
      if (retryAfterMs !== undefined) process.fleet.hold(known, retryAfterMs, clockOf(process), random)
      if (isLeaving) process.fleet.markLeaving({ id: known.entry.id, bornMs: known.entry.bornMs }, clockOf(process))
      process.fleet.recordResult(known, { latencyMs: 20, failed: retryAfterMs !== undefined })
    })
  }

  function pick<T> (items: readonly T[]): T { return items[Math.floor(random() * items.length)] as T }

  /** Changes that come at random: busy, leaving and restarted workers, restarted processes, and entries that go and come back. */
  const disruptions: ReadonlyArray<() => void> = [
    () => { pick(workers).busyUntilMs = nowMs + 4_000 * random() },
    () => { pick(workers).busyUntilMs = nowMs + 4_000 * random() },
    () => { for (const worker of workers) worker.busyUntilMs = nowMs + 3_000 * random() },
    () => { pick(workers).isLeaving = true },
    () => {
      const worker = pick(workers)
      Object.assign(worker, { bornMs: worker.bornMs + 1_000, isLeaving: false, busyUntilMs: 0 })
      for (const process of processes) schedule(500 * random(), () => process.fleet.upsert(buildEntry(worker), clockOf(process)))
    },
    () => {
      const i = Math.floor(random() * processes.length)
      const [name, life] = (processes[i] as Process).name.split('.')
      processes[i] = startProcess(`${name}.${Number(life) + 1}`)
    },
    () => {
      const worker = pick(workers)
      const { fleet } = pick(processes)
      fleet.remove(worker.id, nowMs)
      schedule(300 * random(), () => fleet.upsert(buildEntry(worker, random() < 0.5 ? 500 : 0), nowMs))
      schedule(300 + 300 * random(), () => fleet.upsert(buildEntry(worker), nowMs))
    }
  ]

  for (; nowMs < durationMs; nowMs += stepMs) {
    for (const process of processes) if (random() < 0.15) sendRequest(process)
    if (random() < 0.01) pick(disruptions)()
    for (;;) {
      const due = events.findIndex(({ atMs }) => atMs <= nowMs)
      if (due < 0) break
      events.splice(due, 1)[0]?.run()
    }
  }
  return result
}
