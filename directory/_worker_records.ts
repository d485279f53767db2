/**
 * Applies the records of workers to the fleet.
 */
import { WorkerState } from '../core/fleet/mod.ts'
import { decodeWorkerEntry, workerPrefix } from '../platform/mod.ts'
import { PassedOver } from './_types.ts'
import type { Fleet, WorkerEntry } from '../core/fleet/mod.ts'
import type { StoreChange } from '../core/view/mod.ts'
import type { Log } from '../log/mod.ts'
import type { Subscription, Timer } from '../timer/mod.ts'

/** Configures how records are applied. */
export interface WorkerRecordsOptions {
  fleet: Fleet
  timer: Timer
  log: Log
  /** Time in milliseconds after an outage of the store within which live workers have written their entries again. */
  reregistrationMs: number
  /** Returns the time in milliseconds at which the store is last known to have failed. */
  lastFailureMs (): number
  /** Returns the time in milliseconds since all changes of the store were known. */
  viewAgeMs (): number
  onRecordPassedOver (reason: PassedOver): void
}

/** Applies records of workers in the order of their positions. */
export interface WorkerRecords {
  apply (change: StoreChange): void
  close (): void
}

/** The latest entry that a worker itself is known to have written, and whether it was deleted since. */
interface LatestEntry {
  entry: WorkerEntry
  /** Era of the record that last confirmed it. */
  era: number
  /** Time in milliseconds at which the entry was deleted; undefined while it is there. */
  goneAtMs?: number
}

/** Time in milliseconds within which the store removes the entry of a worker that has ended: three heartbeat intervals, with a margin. */
const entryLeaseMs = 5_000
/** Time in milliseconds for which the entry of a worker that is gone is remembered; a copy of the store is some seconds old. */
const rememberGoneMs = 60_000

/** Creates the application of worker records to a fleet. */
export function createWorkerRecords (options: WorkerRecordsOptions): WorkerRecords {
  const { fleet, timer, log, reregistrationMs } = options
  const latest = new Map<string, LatestEntry>()
  const removals = new Map<string, Subscription>()
  /** Entries of a restored store that are older than what is known, until the worker had time to write again. */
  const held = new Map<string, Subscription>()

  /** Returns the earliest time at which the store can have taken a change that is known now: its view was complete until then. */
  function earliestMs (): number { return timer.now() - options.viewAgeMs() }

  function removeWorker (id: string, sinceMs: number): void {
    removals.get(id)?.cancel()
    const waitMs = options.lastFailureMs() + reregistrationMs - timer.now()
    if (waitMs <= 0) {
      fleet.remove(id, sinceMs)
      log.info({ worker: id }, 'worker gone')
      return
    }
    // Entries expire while the store is unavailable, and a restored store lacks some; live workers write them again soon afterwards.
    removals.set(id, timer.after(waitMs, () => removeWorker(id, sinceMs)))
  }

  function markGone (id: string, era: number): void {
    const nowMs = timer.now()
    for (const [other, { goneAtMs }] of latest) if (goneAtMs !== undefined && nowMs - goneAtMs > rememberGoneMs) latest.delete(other)
    const known = latest.get(id)
    if (known !== undefined) latest.set(id, { ...known, era, goneAtMs: known.goneAtMs ?? nowMs })
  }

  function upsert (id: string, entry: WorkerEntry, era: number): void {
    removals.get(id)?.cancel()
    const before = fleet.get(id)?.entry
    fleet.upsert(entry, earliestMs())
    latest.set(id, { entry, era })
    if (before?.state !== entry.state || before.stage !== entry.stage || before.bornMs !== entry.bornMs) {
      log.info({ worker: id, service: entry.service, address: entry.address, state: entry.state, stage: entry.stage }, 'worker')
    }
  }

  /** Keeps what is known for a while, because the entry of the restored store is older; a worker that is alive writes its entry again. */
  function hold (id: string, entry: WorkerEntry, known: LatestEntry, era: number): void {
    const waitMs = known.goneAtMs === undefined ? reregistrationMs : entryLeaseMs
    log.info({ worker: id, state: entry.state, sequence: entry.sequence, knownSequence: known.entry.sequence, waitMs }, 'older entry held back')
    options.onRecordPassedOver(PassedOver.OlderEntry)
    latest.set(id, { ...known, era })
    if (isReturnOfDraining(known, entry)) return
    release(id, entry, { era, waitMs, isGone: known.goneAtMs !== undefined })
  }

  /** Takes a held entry into use once its worker had time to write again, or the store to drop it: while it can be heard. */
  function release (id: string, entry: WorkerEntry, { era, waitMs, isGone }: { era: number, waitMs: number, isGone: boolean }): void {
    const sinceMs = timer.now()
    held.set(id, timer.after(waitMs, () => {
      if (isGone && options.lastFailureMs() > sinceMs) {
        release(id, entry, { era, waitMs, isGone })
        return
      }
      held.delete(id)
      upsert(id, entry, era)
    }))
  }

  return {
    apply (change) {
      const id = change.key.slice(workerPrefix.length)
      const era = change.era ?? 0
      const entry = change.value === null ? undefined : decodeWorkerEntry(change.key, change.value)
      held.get(id)?.cancel()
      held.delete(id)
      if (entry === undefined) {
        if (change.value !== null) log.warn({ worker: id, revision: change.revision }, 'entry cannot be read')
        if (fleet.get(id) !== undefined) removeWorker(id, earliestMs())
        markGone(id, era)
        return
      }
      const known = latest.get(id)
      const isOlder = known !== undefined && (known.era < era ? isEarlier(entry, known) : isOlderReturn(known, entry))
      if (isOlder) hold(id, entry, known, era)
      else upsert(id, entry, era)
    },
    close () {
      for (const subscription of [...removals.values(), ...held.values()]) subscription.cancel()
    }
  }
}

/** Tells whether an entry names as ready a worker that the same incarnation is known to have declared draining, which is final. */
function isReturnOfDraining ({ entry: known }: LatestEntry, entry: WorkerEntry): boolean {
  return known.bornMs === entry.bornMs && known.state === WorkerState.Draining && entry.state === WorkerState.Ready
}

/** Tells whether an entry that names a draining worker as ready was written before it declared that. */
function isOlderReturn (known: LatestEntry, entry: WorkerEntry): boolean {
  return isReturnOfDraining(known, entry) && (entry.sequence ?? 0) <= (known.entry.sequence ?? 0)
}

/** Tells whether an entry was written before the known one, whose record belongs to an earlier era of the store. */
function isEarlier (entry: WorkerEntry, known: LatestEntry): boolean {
  const { bornMs, sequence = 0 } = known.entry
  if (entry.bornMs !== bornMs) return entry.bornMs < bornMs
  if (isReturnOfDraining(known, entry)) return true
  return (entry.sequence ?? 0) < sequence || (entry.sequence === sequence && known.goneAtMs !== undefined)
}
