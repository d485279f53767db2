/**
 * A timer that moves only when a test advances it.
 */
import type { Subscription, Timer } from './_timer.ts'

/** Configures a manual timer. */
export interface ManualTimerOptions {
  /** Monotonic start time in milliseconds; 0 by default. */
  startMs?: number
}

/** Adds to a timer the means to move it by hand. */
export interface ManualTimer extends Timer {
  /** Moves time forward by `ms` milliseconds and runs what falls due, in order. */
  advance (ms: number): void
  /** Moves time forward by `ms` milliseconds as one pause: subscribers run late, after the pause listeners. */
  simulatePause (ms: number): void
}

interface Task {
  dueMs: number
  order: number
  periodMs: number | undefined
  fn: () => void
}

interface PauseListener {
  thresholdMs: number
  fn: (pausedMs: number) => void
}

/**
 * Creates a timer that moves only by `advance` and `pause`.
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

  function nextDue (limitMs: number): Task | undefined {
    let next: Task | undefined
    for (const task of tasks) {
      if (task.dueMs > limitMs) continue
      const sooner = next === undefined || task.dueMs < next.dueMs ||
        (task.dueMs === next.dueMs && task.order < next.order)
      if (sooner) next = task
    }
    return next
  }

  function run (task: Task): void {
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
    let task = nextDue(targetMs)
    while (task !== undefined) {
      nowMs = Math.max(nowMs, task.dueMs)
      run(task)
      task = nextDue(targetMs)
    }
    nowMs = targetMs
  }

  function pause (ms: number): void {
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
    simulatePause: pause,
    close () {
      tasks.clear()
      pauseListeners.clear()
    }
  }
}
