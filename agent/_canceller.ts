/**
 * Cancels attempts at the engine and retries each cancel until the engine confirms it.
 */
import { attemptKey } from '../core/types/mod.ts'
import { Metric } from '../metrics/mod.ts'
import { MessageKind } from '../wire/mod.ts'
import { CancelCause } from './_types.ts'
import type { EngineAdapter } from '../engine/mod.ts'
import type { ReservationTable } from '../core/reservation/mod.ts'
import type { AttemptRef } from '../core/types/mod.ts'
import type { TaskPorts } from './_types.ts'

/** Cancels attempts at the engine. */
export interface Canceller {
  /** Sends a cancel to the engine; does nothing while one for the same attempt is outstanding. */
  cancel (ref: AttemptRef, cause: CancelCause): void
  /** Repeats every cancel that the engine has not confirmed. */
  retryPending (): void
  /** Remembers that an entry is to receive `Cancelled` once nothing is held for the attempt. */
  notifyWhenFreed (ref: AttemptRef, owner: string): void
  /** Sends `Cancelled` to the waiting entry, unless the attempt is still being cancelled at the engine. */
  notifyIfFreed (ref: AttemptRef): void
}

/**
 * Creates a canceller; `onFreed` is called after each confirmed cancel.
 */
export function createCanceller (
  ports: TaskPorts, engine: EngineAdapter, table: ReservationTable, onFreed: () => void
): Canceller {
  const sentCancels = new Set<string>()
  const waitingOwners = new Map<string, string>()
  const cancelStartMs = new Map<string, number>()

  function notifyIfFreed (ref: AttemptRef): void {
    const key = attemptKey(ref)
    const owner = waitingOwners.get(key)
    if (owner === undefined) return
    if (table.listCancelling().some((other) => attemptKey(other) === key)) return
    waitingOwners.delete(key)
    ports.send(owner, { kind: MessageKind.Cancelled, requestId: ref.requestId, attempt: ref.attempt })
  }

  function recordStart (key: string, cause: CancelCause): void {
    if (cancelStartMs.has(key)) return
    cancelStartMs.set(key, ports.timer.now())
    ports.metrics.count(Metric.Cancels, 1, { cause })
  }

  function recordConfirmed (key: string): void {
    const beganMs = cancelStartMs.get(key)
    if (cancelStartMs.delete(key) && beganMs !== undefined) ports.metrics.timing(Metric.CancelTime, ports.timer.now() - beganMs)
  }

  async function cancel (ref: AttemptRef, cause: CancelCause): Promise<void> {
    const key = attemptKey(ref)
    if (sentCancels.has(key)) return
    recordStart(key, cause)
    sentCancels.add(key)
    const done = await engine.cancel(ref)
    sentCancels.delete(key)
    if (done.err) return
    recordConfirmed(key)
    table.confirmCancel(ref)
    onFreed()
    notifyIfFreed(ref)
  }

  return {
    cancel,
    retryPending () {
      // A cancel that was not started before is for an attempt that the reconciler found at the engine.
      for (const ref of table.listCancelling()) cancel(ref, CancelCause.Unclaimed)
    },
    notifyWhenFreed (ref, owner) {
      waitingOwners.set(attemptKey(ref), owner)
    },
    notifyIfFreed
  }
}
