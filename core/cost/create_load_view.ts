/**
 * What workers still have to do, as one process knows it: what it has sent itself, and what exchange points told of the others.
 */
import type { LoadEntry, WorkerLoad } from './_types.ts'

/** What is known of a worker's load now. */
export interface SeenLoad extends WorkerLoad {
  /** Requests of other processes that the worker has probably answered since the load was told; as many have come instead. */
  unseenRequests: number
  /** What other processes have measured of its speed. */
  others: { slowness: number, samples: number }
}

/** Knows the loads of workers. */
export interface LoadView {
  /** Counts a request that is sent to a worker. */
  add (worker: string, workMs: number): void
  /** Counts the end of a request that was sent. */
  remove (worker: string, workMs: number): void
  /** Returns what this process has at workers. */
  own (): Array<{ worker: string } & WorkerLoad>
  /** Takes what an exchange point told of the others, the newest of which is `ageMs` milliseconds old. */
  merge (others: LoadEntry[], atMs: number): void
  /** Tells whether what is known of the others is new enough to choose by. */
  isKnown (nowMs: number): boolean
  /** Returns the age in milliseconds of what is known of the others. */
  ageMs (nowMs: number): number
  /** Returns the load of a worker, with `drainPerMs` requests answered in each millisecond since it was told while it has so many. */
  find (worker: string, drainPerMs: number, nowMs: number): SeenLoad
}

/** Time in milliseconds after which what was told of the others is no longer used. */
const maxAgeMs = 1_000

/**
 * Creates a view without any load.
 *
 * @returns the view
 *
 * @example
 * ```ts
 * import { createLoadView } from 'briarloom/core/cost'
 *
 * const view = createLoadView()
 * view.add('w', 80)
 * console.assert(view.find('w', 0, 0).requests === 1 && !view.isKnown(0))
 * ```
 */
export function createLoadView (): LoadView {
  const own = new Map<string, WorkerLoad>()
  let others = new Map<string, LoadEntry>()
  let toldAtMs = -Infinity

  return {
    add (worker, workMs) {
      const load = own.get(worker) ?? { requests: 0, workMs: 0 }
      load.requests++
      load.workMs += workMs
      own.set(worker, load)
    },
    remove (worker, workMs) {
      const load = own.get(worker)
      if (load === undefined) return
      load.requests--
      load.workMs = Math.max(0, load.workMs - workMs)
      if (load.requests <= 0) own.delete(worker)
    },
    own: () => [...own].map(([worker, load]) => ({ worker, ...load })),
    merge (told, atMs) {
      if (atMs < toldAtMs) return
      others = new Map(told.map((entry) => [entry.worker, entry]))
      toldAtMs = atMs
    },
    ageMs: (nowMs) => nowMs - toldAtMs,
    isKnown: (nowMs) => nowMs - toldAtMs <= maxAgeMs,
    find (worker, drainPerMs, nowMs) {
      const mine = own.get(worker)
      const told = nowMs - toldAtMs <= maxAgeMs ? others.get(worker) : undefined
      const requests = told?.requests ?? 0
      const answered = requests === 0 ? 0 : Math.min(requests, drainPerMs * Math.max(0, nowMs - toldAtMs))
      const leftShare = requests === 0 ? 0 : 1 - answered / requests
      return {
        requests: (mine?.requests ?? 0) + requests * leftShare,
        workMs: (mine?.workMs ?? 0) + (told?.workMs ?? 0) * leftShare,
        unseenRequests: answered,
        others: { slowness: told?.slowness ?? 1, samples: told?.samples ?? 0 }
      }
    }
  }
}
