/**
 * Periodically compares what the engine holds with what the agent admitted.
 */
import { attemptKey } from '../core/types/mod.ts'
import type { EngineAdapter } from '../engine/mod.ts'
import type { ReservationTable } from '../core/reservation/mod.ts'
import type { AttemptRef } from '../core/types/mod.ts'
import type { TaskPorts } from './_types.ts'

/** Configures the reconciler. */
export interface ReconcilerOptions {
  engine: EngineAdapter
  table: ReservationTable
  /** Period of the comparison in milliseconds. */
  periodMs: number
  /** Time in milliseconds for which an entry may claim an attempt that the engine holds and this agent did not admit. */
  claimMs: number
  release: (ref: AttemptRef) => void
}

/** Releases what the engine holds and no entry claims. */
export interface Reconciler {
  /** Compares for the first time; repeats until the engine responds. */
  reconcileAtStart (): Promise<void>
  close (): void
}

/**
 * Creates a reconciler and starts its periodic comparison.
 *
 * A call can arrive at the engine after its own cancel, or after the agent that sent it has ended. A single comparison at the
 * start would miss both.
 */
export function createReconciler (ports: TaskPorts, options: ReconcilerOptions): Reconciler {
  const { engine, table } = options
  const { timer } = ports
  const unclaimedSinceMs = new Map<string, number>()

  function releaseUnclaimed (): void {
    const unclaimed = table.listUnclaimed()
    const keys = new Set(unclaimed.map(attemptKey))
    for (const key of unclaimedSinceMs.keys()) {
      if (!keys.has(key)) unclaimedSinceMs.delete(key)
    }
    for (const ref of unclaimed) {
      const key = attemptKey(ref)
      const sinceMs = unclaimedSinceMs.get(key) ?? timer.now()
      unclaimedSinceMs.set(key, sinceMs)
      if (timer.now() - sinceMs >= options.claimMs) options.release(ref)
    }
  }

  async function compare (): Promise<boolean> {
    const held = await engine.readHeldStreams()
    if (held.err) return false
    table.adopt(held.val)
    releaseUnclaimed()
    return true
  }

  const comparisons = timer.every(options.periodMs, () => { compare() })

  return {
    async reconcileAtStart () {
      while (!await compare()) {
        await new Promise<void>((resolve) => { timer.after(options.periodMs, resolve) })
      }
    },
    close: () => comparisons.cancel()
  }
}
