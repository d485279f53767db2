/**
 * The workers that a process knows.
 */
import { createHold } from '../pacing/mod.ts'
import { isFailing } from './is_failing.ts'
import { smooth } from './smooth.ts'
import { WorkerState } from './_types.ts'
import type { Worker, WorkerEntry, WorkerWord } from './_types.ts'

/** Names an incarnation of a worker that leaves. */
export interface LeavingWorker {
  id: string
  bornMs: number
}

/** Holds all known workers with what this process has measured of them. */
export interface Fleet {
  /** Adds or updates a worker from its published entry; a restarted worker loses its measurements. */
  upsert (entry: WorkerEntry, nowMs: number): void
  /** Removes a worker that is gone. */
  remove (id: string, nowMs: number): void
  /** Returns the worker with an identity; undefined when it is not known. */
  get (id: string): Worker | undefined
  /** Returns all workers, including those that drain. */
  all (): Worker[]
  /** Returns the workers of a service that accept new requests. */
  serving (service: string): Worker[]
  /** Records the latency in milliseconds of a request that ended, when known, and whether the worker failed it. */
  recordResult (worker: Worker, result: { latencyMs?: number, failed: boolean }): void
  /**
   * Records whether an engine failed a stream; after a failure it is asked last for a time, which doubles with each further one. Returns
   * the time in milliseconds when it begins, else 0.
   */
  recordStream (worker: Worker, result: { failed: boolean, nowMs: number }): number
  /** Marks a worker as suspect for one second, because it was unreachable or did not answer. */
  markSuspect (worker: Worker, nowMs: number): void
  /**
   * Records that an incarnation of a worker leaves, whether its entry is known or not; it counts as leaving until a later incarnation is
   * known. Returns true when that is new.
   */
  markLeaving (leaving: LeavingWorker, nowMs: number): boolean
  /** Lists the incarnations that leave and have not been replaced, the newest last. */
  leaving (): LeavingWorker[]
  /** Holds requests back from a worker for a time, `maxHoldMs` at most; returns the time in milliseconds. */
  hold (worker: Worker, forMs: number, nowMs: number, random: () => number): number
}

/** Time in milliseconds for which a worker stays suspect; about one heartbeat interval of a worker. */
const suspectMs = 1_000
/** Times in milliseconds for which an engine is asked last: after its first failed stream, and at most. */
const firstFailingMs = 500
const maxFailingMs = 16_000
/** Longest time in milliseconds for which a worker's word holds requests back; it is asked again afterwards. */
const maxHoldMs = 300_000
/** Number of workers without an entry whose words are kept. */
const maxForeignWords = 4_096

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
  const words = new Map<string, WorkerWord>()

  /** Returns the word of an incarnation; an earlier one, which an old copy of the store may name, has that of the latest. */
  function getWord (id: string, bornMs: number): WorkerWord {
    const known = words.get(id)
    if (known !== undefined && bornMs <= known.bornMs) return known
    // The hold is that of all incarnations, since a later one may answer before its entry is known.
    const word: WorkerWord = { bornMs, hold: known?.hold ?? createHold() }
    words.delete(id)
    words.set(id, word)
    for (const oldest of words.keys()) {
      if (words.size <= workers.size + maxForeignWords) break
      if (!workers.has(oldest)) words.delete(oldest)
    }
    return word
  }

  function createWorker (entry: WorkerEntry): Worker {
    return { entry, word: getWord(entry.id, entry.bornMs), inFlight: 0, ownTokens: 0, ownQueuedPromptTokens: 0, failureShare: 0, latencyMs: 0, suspectUntilMs: 0 }
  }

  return {
    upsert (entry, nowMs) {
      const known = workers.get(entry.id)
      const worker = known?.entry.bornMs === entry.bornMs ? known : createWorker(entry)
      if (known !== undefined && known !== worker) known.goneSinceMs = nowMs
      worker.entry = entry
      if (entry.state === WorkerState.Draining) worker.drainingSinceMs ??= nowMs
      else delete worker.drainingSinceMs
      workers.set(entry.id, worker)
    },
    remove (id, nowMs) {
      const worker = workers.get(id)
      if (worker !== undefined) worker.goneSinceMs = nowMs
      workers.delete(id)
    },
    get: (id) => workers.get(id),
    all: () => [...workers.values()],
    serving: (service) => [...workers.values()].filter(({ entry }) =>
      entry.service === service && entry.state === WorkerState.Ready),
    recordResult (worker, { latencyMs, failed }) {
      worker.failureShare = smooth(worker.failureShare, failed ? 1 : 0)
      if (latencyMs !== undefined) worker.latencyMs = smooth(worker.latencyMs === 0 ? undefined : worker.latencyMs, latencyMs)
    },
    recordStream (worker, { failed, nowMs }) {
      if (!failed) delete worker.streamFailures
      // Streams that ran side by side fail together, and tell no more than one of them.
      if (!failed || isFailing(worker, nowMs)) return 0
      const count = (worker.streamFailures?.count ?? 0) + 1
      const forMs = Math.min(maxFailingMs, firstFailingMs * 2 ** (count - 1))
      worker.streamFailures = { count, untilMs: nowMs + forMs }
      return forMs
    },
    markSuspect (worker, nowMs) { worker.suspectUntilMs = nowMs + suspectMs },
    markLeaving ({ id, bornMs }, nowMs) {
      const word = getWord(id, bornMs)
      if (bornMs < word.bornMs || word.leavingSinceMs !== undefined) return false
      word.leavingSinceMs = nowMs
      return true
    },
    leaving: () => [...words].flatMap(([id, { bornMs, leavingSinceMs }]) => leavingSinceMs === undefined ? [] : [{ id, bornMs }]),
    hold ({ word }, forMs, nowMs, random) {
      const boundedMs = Math.min(maxHoldMs, forMs)
      word.hold.extend(nowMs + boundedMs, random())
      return boundedMs
    }
  }
}
