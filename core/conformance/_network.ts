/**
 * A simulated network between named processes. It loses, duplicates, delays and reorders messages, cuts links in one
 * direction, and delays messages and timers of a process while the process is paused.
 */
import type { Timer } from '../../timer/mod.ts'

/** Returns a random number from 0 up to, but not including, 1. */
export type Random = () => number

/** Options of a network. */
export interface NetworkOptions {
  timer: Timer
  random: Random
  /** Share of messages that are lost, from 0 to 1, until the network is healed. */
  loss: number
  /** Share of messages that are delivered twice, from 0 to 1, until the network is healed. */
  duplicates: number
  /** Maximum delay of a message, in milliseconds. */
  maxDelayMs: number
}

/** A simulated network. */
export interface Network {
  /** Sends a message, which calls `deliver` when it arrives. */
  send (from: string, to: string, deliver: () => void): void
  /** Runs `fn` at a process after a delay, or when its pause ends. */
  runAfter (process: string, delayMs: number, fn: () => void): void
  /** Drops all messages from one process to another for `ms` milliseconds. */
  cutLink (from: string, to: string, ms: number): void
  /** Pauses a process for `ms` milliseconds. */
  pauseProcess (process: string, ms: number): void
  /** Ends all losses, duplicates, cuts and pauses. */
  heal (): void
}

/** Creates a network that loses and duplicates messages, with no link cut and no process paused. */
export function createNetwork (options: NetworkOptions): Network {
  const { timer, random } = options
  const linkDownUntilMs = new Map<string, number>()
  const pausedUntilMs = new Map<string, number>()
  let hasFaults = true

  function runWhenNotPaused (process: string, fn: () => void): void {
    const waitMs = (pausedUntilMs.get(process) ?? 0) - timer.now()
    if (waitMs > 0) timer.after(waitMs, () => runWhenNotPaused(process, fn))
    else fn()
  }

  function deliverLater (to: string, deliver: () => void): void {
    timer.after(1 + Math.floor(random() * options.maxDelayMs), () => runWhenNotPaused(to, deliver))
  }

  return {
    send (from, to, deliver) {
      if (timer.now() < (linkDownUntilMs.get(`${from}>${to}`) ?? 0)) return
      if (hasFaults && random() < options.loss) return
      deliverLater(to, deliver)
      if (hasFaults && random() < options.duplicates) deliverLater(to, deliver)
    },
    runAfter: (process, delayMs, fn) => { timer.after(delayMs, () => runWhenNotPaused(process, fn)) },
    cutLink: (from, to, ms) => { linkDownUntilMs.set(`${from}>${to}`, timer.now() + ms) },
    pauseProcess: (process, ms) => { pausedUntilMs.set(process, timer.now() + ms) },
    heal () {
      hasFaults = false
      linkDownUntilMs.clear()
      pausedUntilMs.clear()
    }
  }
}
