/**
 * A timer that follows the clock of the machine and measures pauses of the process.
 */
import { performance } from 'node:perf_hooks'
import type { Subscription, Timer } from './_timer.ts'

/** Configures a system timer. */
export interface SystemTimerOptions {
  /** Period in milliseconds at which the timer checks for pauses; 100 by default. */
  pauseCheckMs?: number
}

const defaultPauseCheckMs = 100

interface PauseListener {
  thresholdMs: number
  fn: (pausedMs: number) => void
}

/**
 * Creates a timer that follows the clock of the machine.
 *
 * @param options the period of the check for pauses, in milliseconds
 * @returns the timer; it keeps the process alive until `close` is called
 *
 * @example
 * ```ts
 * import { createSystemTimer } from 'briarloom/timer'
 *
 * const timer = createSystemTimer()
 * console.assert(timer.now() >= 0)
 * timer.close()
 * ```
 */
export function createSystemTimer (options: SystemTimerOptions = {}): Timer {
  const pauseCheckMs = options.pauseCheckMs ?? defaultPauseCheckMs
  const live = new Set<Subscription>()
  const pauseListeners = new Set<PauseListener>()
  let lastCheck = performance.now()

  function track (stop: () => void): Subscription {
    const sub: Subscription = {
      cancel () {
        live.delete(sub)
        stop()
      }
    }
    live.add(sub)
    return sub
  }

  function checkPause (): void {
    const now = performance.now()
    const pausedMs = now - lastCheck - pauseCheckMs
    lastCheck = now
    for (const listener of [...pauseListeners]) {
      if (pausedMs > listener.thresholdMs) listener.fn(pausedMs)
    }
  }

  const timer: Timer = {
    now: () => performance.now(),
    wallClockMs: () => Date.now(),
    after (delayMs, fn) {
      const handle = setTimeout(() => {
        sub.cancel()
        fn()
      }, delayMs)
      const sub = track(() => clearTimeout(handle))
      return sub
    },
    every (periodMs, fn) {
      const handle = setInterval(fn, periodMs)
      return track(() => clearInterval(handle))
    },
    onPause (thresholdMs, fn) {
      const listener = { thresholdMs, fn }
      pauseListeners.add(listener)
      return track(() => pauseListeners.delete(listener))
    },
    close () {
      for (const sub of [...live]) sub.cancel()
    }
  }
  timer.every(pauseCheckMs, checkPause)
  return timer
}
