/**
 * The view of the workers that a process routes to.
 */
import { smooth } from './smooth.ts'
import { WorkerState } from './_types.ts'
import type { Worker, WorkerEntry } from './_types.ts'

/** Holds the view of all workers. */
export interface Fleet {
  /** Takes what a worker published. */
  upsert (entry: WorkerEntry, nowMs: number): void
  /** Takes the news that a worker is gone. */
  remove (id: string): void
  get (id: string): Worker | undefined
  /** Returns every worker, also those that leave. */
  all (): Worker[]
  /** Returns the workers of a service that take new work. */
  serving (service: string): Worker[]
  /** Counts a request that ended: how long it took, and whether the worker failed it. */
  recordResult (worker: Worker, result: { latencyMs?: number, failed: boolean }): void
  /** Notes that a worker could not be reached or fell silent. */
  markSuspect (worker: Worker, nowMs: number): void
}

/** Time in milliseconds for which an unreachable worker comes last; about one heartbeat interval of a worker. */
const suspectMs = 1_000

/**
 * Creates an empty view.
 *
 * @returns the view
 *
 * @example
 * ```ts
 * import { createFleet } from 'briarloom/core/fleet'
 *
 * console.assert(createFleet().serving('registre').length === 0)
 * ```
 */
export function createFleet (): Fleet {
  const workers = new Map<string, Worker>()

  function fresh (entry: WorkerEntry): Worker {
    return { entry, inFlight: 0, ownTokens: 0, ownQueuedPromptTokens: 0, failureShare: 0, latencyMs: 0, suspectUntilMs: 0 }
  }

  return {
    upsert (entry, nowMs) {
      const known = workers.get(entry.id)
      const worker = known?.entry.bornMs === entry.bornMs ? known : fresh(entry)
      worker.entry = entry
      if (entry.state === WorkerState.Draining) worker.drainingSinceMs ??= nowMs
      else delete worker.drainingSinceMs
      workers.set(entry.id, worker)
    },
    remove: (id) => { workers.delete(id) },
    get: (id) => workers.get(id),
    all: () => [...workers.values()],
    serving: (service) => [...workers.values()].filter(({ entry }) =>
      entry.service === service && entry.state === WorkerState.Ready),
    recordResult (worker, { latencyMs, failed }) {
      worker.failureShare = smooth(worker.failureShare, failed ? 1 : 0)
      if (latencyMs !== undefined) worker.latencyMs = smooth(worker.latencyMs === 0 ? undefined : worker.latencyMs, latencyMs)
    },
    markSuspect (worker, nowMs) { worker.suspectUntilMs = nowMs + suspectMs }
  }
}
