/**
 * Timer whose time moves only when a test advances it.
 */
import type { Subscription, Timer } from './_timer.ts'

/** Configures a manual timer. */
export interface ManualTimerOptions {
  /** Time in milliseconds at which the timer starts, for both clocks; 0 by default. */
  startMs?: number
}

/** A timer whose time a test moves. */
export interface ManualTimer extends Timer {
  /** Moves time forward by `ms` milliseconds and runs the callbacks that become due, in order of their times. */
  advance (ms: number): void
  /** Moves time forward by `ms` milliseconds at once, as a pause of the process: due callbacks run late, after the pause listeners. */
  simulatePause (ms: number): void
}

interface Task {
  dueMs: number
  /** Sequence number; tasks that are due at the same time run in this order. */
  order: number
  /** Period in milliseconds; undefined for a task that runs once. */
  periodMs: number | undefined
  fn: () => void
}

interface PauseListener {
  thresholdMs: number
  fn: (pausedMs: number) => void
}

/**
 * Creates a timer whose time moves only by `advance` and `simulatePause`.
 *
 * @param options the start time in milliseconds
 * @returns the timer
 *
 * @example
 * ```ts
 * import { createManualTimer } from 'briarloom/timer'
 *
 * const timer = createManualTimer()
 * let fired = false
 * timer.after(10, () => { fired = true })
 * timer.advance(10)
 * console.assert(fired)
 * ```
 */
export function createManualTimer (options: ManualTimerOptions = {}): ManualTimer {
  let nowMs = options.startMs ?? 0
  let nextOrder = 0
  const tasks = new Set<Task>()
  const pauseListeners = new Set<PauseListener>()

  function schedule (delayMs: number, periodMs: number | undefined, fn: () => void): Subscription {
    const task = { dueMs: nowMs + delayMs, order: nextOrder++, periodMs, fn }
    tasks.add(task)
    return { cancel: () => { tasks.delete(task) } }
  }

  /** Returns the earliest task that is due at or before `limitMs`. */
  function findNextDue (limitMs: number): Task | undefined {
    let next: Task | undefined
    for (const task of tasks) {
      if (task.dueMs > limitMs) continue
      const isEarlier = next === undefined || task.dueMs < next.dueMs ||
        (task.dueMs === next.dueMs && task.order < next.order)
      if (isEarlier) next = task
    }
    return next
  }

  /** Runs a task; removes it, or schedules it one period later. */
  function runTask (task: Task): void {
    if (task.periodMs === undefined) {
      tasks.delete(task)
    } else {
      task.dueMs = Math.max(task.dueMs, nowMs) + task.periodMs
      task.order = nextOrder++
    }
    task.fn()
  }

  function advance (ms: number): void {
    const targetMs = nowMs + ms
    let task = findNextDue(targetMs)
    while (task !== undefined) {
      nowMs = Math.max(nowMs, task.dueMs)
      runTask(task)
      task = findNextDue(targetMs)
    }
    nowMs = targetMs
  }

  function simulatePause (ms: number): void {
    nowMs += ms
    for (const listener of [...pauseListeners]) {
      if (ms > listener.thresholdMs) listener.fn(ms)
    }
    advance(0)
  }

  return {
    now: () => nowMs,
    wallClockMs: () => nowMs,
    after: (delayMs, fn) => schedule(delayMs, undefined, fn),
    every: (periodMs, fn) => schedule(periodMs, periodMs, fn),
    onPause (thresholdMs, fn) {
      const listener = { thresholdMs, fn }
      pauseListeners.add(listener)
      return { cancel: () => { pauseListeners.delete(listener) } }
    },
    advance,
    simulatePause,
    close () {
      tasks.clear()
      pauseListeners.clear()
    }
  }
}
