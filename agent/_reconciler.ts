/**
 * Compares again and again what the engine holds with what the agent admitted.
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
  /** Time in milliseconds for which an entry may claim what the engine held without the agent. */
  claimMs: number
  release: (ref: AttemptRef) => void
}

/** Finds what the engine holds for nobody. */
export interface Reconciler {
  /** Compares for the first time; repeats until the engine answers. */
  reconcileAtStart (): Promise<void>
  close (): void
}

/**
 * Creates the reconciler.
 *
 * A call to the engine can arrive after the cancel that was meant for it, or after the agent that sent it ended. Comparing
 * once at the start would miss both.
 */
export function createReconciler (ports: TaskPorts, options: ReconcilerOptions): Reconciler {
  const { engine, table } = options
  const { timer } = ports
  const adoptedMs = new Map<string, number>()

  function releaseUnclaimed (): void {
    const unclaimed = table.listUnclaimed()
    const keys = new Set(unclaimed.map(attemptKey))
    for (const key of adoptedMs.keys()) {
      if (!keys.has(key)) adoptedMs.delete(key)
    }
    for (const ref of unclaimed) {
      const key = attemptKey(ref)
      const sinceMs = adoptedMs.get(key) ?? timer.now()
      adoptedMs.set(key, sinceMs)
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
