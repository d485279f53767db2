/**
 * Remembers for how long running work has been paused.
 */
import { attemptKey } from '../types/mod.ts'
import type { RunningItem } from './_types.ts'

/** Measures pauses. */
export interface PauseClock {
  /** Takes in what runs now and forgets what ended. */
  observe (running: RunningItem[], nowMs: number): void
  /** Tells whether work was paused for so long that it must not wait any longer. */
  isOverdue (item: RunningItem): boolean
}

/** Creates a clock that counts all pauses of an attempt together. */
export function createPauseClock (maxPauseMs: number): PauseClock {
  const pausedMs = new Map<string, number>()
  let lastMs: number | undefined

  function observe (running: RunningItem[], nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - (lastMs ?? nowMs))
    lastMs = nowMs
    const keys = new Set(running.map((item) => attemptKey(item.ref)))
    for (const key of pausedMs.keys()) {
      if (!keys.has(key)) pausedMs.delete(key)
    }
    for (const item of running) {
      const key = attemptKey(item.ref)
      const known = pausedMs.get(key)
      if (item.paused) pausedMs.set(key, known === undefined ? 0 : known + elapsedMs)
    }
  }

  return { observe, isOverdue: (item) => (pausedMs.get(attemptKey(item.ref)) ?? 0) >= maxPauseMs }
}
