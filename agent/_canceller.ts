/**
 * Cancels attempts at the engine and repeats each cancel until the engine confirms it.
 */
import { attemptKey } from '../core/types/mod.ts'
import { Metric } from '../metrics/mod.ts'
import { MessageKind } from '../wire/mod.ts'
import { CancelCause } from './_types.ts'
import type { EngineAdapter } from '../engine/mod.ts'
import type { ReservationTable } from '../core/reservation/mod.ts'
import type { AttemptRef } from '../core/types/mod.ts'
import type { TaskPorts } from './_types.ts'

/** Ends attempts at the engine. */
export interface Canceller {
  /** Sends the cancel; `retry` repeats it until the engine confirms. */
  cancel (ref: AttemptRef, cause: CancelCause): void
  /** Repeats the cancels that are not confirmed yet. */
  retryPending (): void
  /** Tells an entry once nothing is held for the attempt. */
  notifyWhenFreed (ref: AttemptRef, owner: string): void
  /** Tells the waiting entry at once when nothing is held. */
  notifyIfFreed (ref: AttemptRef): void
}

/**
 * Creates the canceller.
 */
export function createCanceller (
  ports: TaskPorts, engine: EngineAdapter, table: ReservationTable, onFreed: () => void
): Canceller {
  const pending = new Set<string>()
  const waiting = new Map<string, string>()
  const startedMs = new Map<string, number>()

  function settle (ref: AttemptRef): void {
    const key = attemptKey(ref)
    const owner = waiting.get(key)
    if (owner === undefined) return
    if (table.listCancelling().some((other) => attemptKey(other) === key)) return
    waiting.delete(key)
    ports.send(owner, { kind: MessageKind.Cancelled, requestId: ref.requestId, attempt: ref.attempt })
  }

  function begin (key: string, cause: CancelCause): void {
    if (startedMs.has(key)) return
    startedMs.set(key, ports.timer.now())
    ports.metrics.count(Metric.Cancels, 1, { cause })
  }

  function end (key: string): void {
    const beganMs = startedMs.get(key)
    if (startedMs.delete(key) && beganMs !== undefined) ports.metrics.timing(Metric.CancelTime, ports.timer.now() - beganMs)
  }

  async function start (ref: AttemptRef, cause: CancelCause): Promise<void> {
    const key = attemptKey(ref)
    if (pending.has(key)) return
    begin(key, cause)
    pending.add(key)
    const done = await engine.cancel(ref)
    pending.delete(key)
    if (done.err) return
    end(key)
    table.confirmCancel(ref)
    onFreed()
    settle(ref)
  }

  return {
    cancel: start,
    retryPending () {
      // One that was not started before came from the engine's own list.
      for (const ref of table.listCancelling()) start(ref, CancelCause.Unclaimed)
    },
    notifyWhenFreed (ref, owner) {
      waiting.set(attemptKey(ref), owner)
    },
    notifyIfFreed: settle
  }
}
