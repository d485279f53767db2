/**
 * The workers that a process knows.
 */
import { smooth } from './smooth.ts'
import { WorkerState } from './_types.ts'
import type { Worker, WorkerEntry } from './_types.ts'

/** Holds all known workers with what this process has measured of them. */
export interface Fleet {
  /** Adds or updates a worker from its published entry; a restarted worker loses its measurements. */
  upsert (entry: WorkerEntry, nowMs: number): void
  /** Removes a worker that is gone. */
  remove (id: string): void
  /** Returns the worker with an identity; undefined when it is not known. */
  get (id: string): Worker | undefined
  /** Returns all workers, including those that drain. */
  all (): Worker[]
  /** Returns the workers of a service that accept new requests. */
  serving (service: string): Worker[]
  /** Records the latency in milliseconds of a request that ended, when known, and whether the worker failed it. */
  recordResult (worker: Worker, result: { latencyMs?: number, failed: boolean }): void
  /** Marks a worker as suspect for one second, because it was unreachable or did not answer. */
  markSuspect (worker: Worker, nowMs: number): void
}

/** Time in milliseconds for which a worker stays suspect; about one heartbeat interval of a worker. */
const suspectMs = 1_000

/**
 * Creates an empty fleet.
 *
 * @returns the fleet
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

  function createWorker (entry: WorkerEntry): Worker {
    return { entry, inFlight: 0, ownTokens: 0, ownQueuedPromptTokens: 0, failureShare: 0, latencyMs: 0, suspectUntilMs: 0 }
  }

  return {
    upsert (entry, nowMs) {
      const known = workers.get(entry.id)
      const worker = known?.entry.bornMs === entry.bornMs ? known : createWorker(entry)
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
