/**
 * Measurement of how long running work has been paused.
 */
import { attemptKey } from '../types/mod.ts'
import type { RunningItem } from './_types.ts'

/** Measures the pauses of running items. */
export interface PauseClock {
  /** Adds the time since the last call to the paused items and removes items that have ended. */
  observe (running: RunningItem[], nowMs: number): void
  /** Tells whether the pauses of an item have reached the limit, so that it must not wait any longer. */
  isOverdue (item: RunningItem): boolean
}

/** Creates a clock that adds up all pauses of an attempt; the limit is `maxPauseMs` milliseconds. */
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
