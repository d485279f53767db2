/**
 * A network between named processes that loses, repeats, delays and reorders messages, cuts links one way, and holds
 * back what is due at a process while it is paused.
 */
import type { Timer } from '../../timer/mod.ts'

/** Draws numbers from 0 up to, but not including, 1. */
export type Random = () => number

/** Configures a network. */
export interface NetworkOptions {
  timer: Timer
  random: Random
  /** Share of messages that are lost while faults are on. */
  loss: number
  /** Share of messages that are delivered twice while faults are on. */
  repeats: number
  /** Longest delay of a message, in milliseconds. */
  maxDelayMs: number
}

/** Carries messages between processes. */
export interface Network {
  send (from: string, to: string, deliver: () => void): void
  /** Runs `fn` at a process after a delay, or when its pause ends. */
  after (process: string, delayMs: number, fn: () => void): void
  /** Cuts the direction from one process to another for a time. */
  cut (from: string, to: string, ms: number): void
  pause (process: string, ms: number): void
  /** Ends losses, repeats, cuts and pauses. */
  heal (): void
}

/** Creates a network without cuts and pauses. */
export function createNetwork (options: NetworkOptions): Network {
  const { timer, random } = options
  const cutUntilMs = new Map<string, number>()
  const asleepUntilMs = new Map<string, number>()
  let faulty = true

  function runAwake (process: string, fn: () => void): void {
    const waitMs = (asleepUntilMs.get(process) ?? 0) - timer.now()
    if (waitMs > 0) timer.after(waitMs, () => runAwake(process, fn))
    else fn()
  }

  function deliverLater (to: string, deliver: () => void): void {
    timer.after(1 + Math.floor(random() * options.maxDelayMs), () => runAwake(to, deliver))
  }

  return {
    send (from, to, deliver) {
      if (timer.now() < (cutUntilMs.get(`${from}>${to}`) ?? 0)) return
      if (faulty && random() < options.loss) return
      deliverLater(to, deliver)
      if (faulty && random() < options.repeats) deliverLater(to, deliver)
    },
    after: (process, delayMs, fn) => { timer.after(delayMs, () => runAwake(process, fn)) },
    cut: (from, to, ms) => { cutUntilMs.set(`${from}>${to}`, timer.now() + ms) },
    pause: (process, ms) => { asleepUntilMs.set(process, timer.now() + ms) },
    heal () {
      faulty = false
      cutUntilMs.clear()
      asleepUntilMs.clear()
    }
  }
}
