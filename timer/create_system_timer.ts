/**
 * Timer that uses the clocks of the machine and detects pauses of the process.
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

/** Delay in milliseconds beyond the due time from which the process counts as held up. */
const minLateMs = 50
/** Longest delay in milliseconds that Node takes; with a longer one it fires at once. */
const maxDelayMs = 2 ** 31 - 1

/**
 * Creates a timer that uses the clocks of the machine.
 *
 * @param options the period of the pause check, in milliseconds
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
  const subscriptions = new Set<Subscription>()
  const pauseListeners = new Set<PauseListener>()
  const createDeferral = createDeferrals()
  let lastCheckMs = performance.now()

  /** Registers a subscription, so that `close` cancels it; `stop` clears its timeout, interval or listener. */
  function createSubscription (stop: () => void): Subscription {
    const subscription: Subscription = {
      cancel () {
        subscriptions.delete(subscription)
        stop()
      }
    }
    subscriptions.add(subscription)
    return subscription
  }

  /** Takes the delay of the periodic check beyond its period as the length of a pause and reports it. */
  function checkPause (): void {
    const nowMs = performance.now()
    const pausedMs = nowMs - lastCheckMs - pauseCheckMs
    lastCheckMs = nowMs
    for (const listener of [...pauseListeners]) {
      if (pausedMs > listener.thresholdMs) listener.fn(pausedMs)
    }
  }

  const timer: Timer = {
    now: () => performance.now(),
    wallClockMs: () => Date.now(),
    after (delayMs, fn) {
      const deferred = createDeferral()
      const dueMs = performance.now() + delayMs
      const handle = setTimeout(() => deferred.run(dueMs, () => {
        subscription.cancel()
        fn()
      }), Math.min(delayMs, maxDelayMs))
      const subscription = createSubscription(() => {
        clearTimeout(handle)
        deferred.cancel()
      })
      return subscription
    },
    every (periodMs, fn) {
      const deferred = createDeferral()
      let dueMs = performance.now() + periodMs
      const handle = setInterval(() => {
        deferred.run(dueMs, fn)
        dueMs = performance.now() + periodMs
      }, Math.min(periodMs, maxDelayMs))
      return createSubscription(() => {
        clearInterval(handle)
        deferred.cancel()
      })
    },
    onPause (thresholdMs, fn) {
      const listener = { thresholdMs, fn }
      pauseListeners.add(listener)
      return createSubscription(() => pauseListeners.delete(listener))
    },
    close () {
      for (const subscription of [...subscriptions]) subscription.cancel()
    }
  }
  const pauseCheck = setInterval(checkPause, pauseCheckMs)
  createSubscription(() => clearInterval(pauseCheck))
  return timer
}

/** Runs what is due, and what is late only after the input that has arrived. */
interface Deferral {
  run (dueMs: number, fn: () => void): void
  cancel (): void
}

/**
 * Creates the deferrals of a timer. Node runs timers before it reads sockets, so a timeout would come before the response. What comes due
 * while others wait runs behind them, so that the order of the due times holds.
 */
function createDeferrals (): () => Deferral {
  let waiting = 0
  return () => {
    let immediate: NodeJS.Immediate | undefined

    function cancel (): void {
      if (immediate === undefined) return
      clearImmediate(immediate)
      immediate = undefined
      waiting--
    }

    return {
      run (dueMs, fn) {
        cancel()
        if (waiting === 0 && performance.now() - dueMs < minLateMs) {
          fn()
          return
        }
        waiting++
        immediate = setImmediate(() => {
          immediate = undefined
          waiting--
          fn()
        })
      },
      cancel
    }
  }
}
