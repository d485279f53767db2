/**
 * An engine that outlives its agent: calls in flight arrive late, and memory stays held until it is cancelled or read out.
 */
import { attemptKey } from '../types/mod.ts'
import type { AttemptRef } from '../types/mod.ts'
import type { HeldAttempt } from '../reservation/mod.ts'
import type { Random } from './_network.ts'
import type { Timer } from '../../timer/mod.ts'

/** Number of tokens of every answer. */
export const answerTokens = 4
const tokenMs = 10
const maxCallMs = 20

interface Work {
  ref: AttemptRef
  generated: number
}

/** Answers calls late; a call reaches the engine although the agent that made it is gone. */
export interface Engine {
  start (ref: AttemptRef, offset: number, done: (accepted: boolean) => void): void
  prefill (ref: AttemptRef, done: () => void): void
  cancel (ref: AttemptRef, done: () => void): void
  /** Number of tokens generated for an attempt; undefined when the engine does not hold it. */
  generated (ref: AttemptRef): number | undefined
  /** Frees an answer that was read to its end. */
  readOut (ref: AttemptRef): void
  held (): HeldAttempt[]
  /** Requests of which any part ran. */
  ran: Set<string>
  /** Number of start calls that found no free seat. */
  overfull (): number
}

/** Creates an engine that holds nothing. */
export function createEngine (timer: Timer, random: Random, seats: number): Engine {
  const work = new Map<string, Work>()
  const ran = new Set<string>()
  let overfull = 0

  const callMs = () => 1 + Math.floor(random() * maxCallMs)

  function generate (item: Work): void {
    if (work.get(attemptKey(item.ref)) !== item || item.generated >= answerTokens) return
    item.generated++
    timer.after(tokenMs, () => generate(item))
  }

  function accept (ref: AttemptRef, offset: number): boolean {
    if (work.size >= seats) overfull++
    if (work.has(attemptKey(ref)) || work.size >= seats) return false
    const item = { ref, generated: offset }
    work.set(attemptKey(ref), item)
    ran.add(ref.requestId)
    timer.after(tokenMs, () => generate(item))
    return true
  }

  return {
    ran,
    overfull: () => overfull,
    start: (ref, offset, done) => {
      timer.after(callMs(), () => {
        const accepted = accept(ref, offset)
        timer.after(1, () => done(accepted))
      })
    },
    prefill: (ref, done) => {
      timer.after(callMs(), () => {
        ran.add(ref.requestId)
        timer.after(tokenMs, done)
      })
    },
    cancel: (ref, done) => {
      timer.after(callMs(), () => {
        work.delete(attemptKey(ref))
        timer.after(callMs(), done)
      })
    },
    generated: (ref) => work.get(attemptKey(ref))?.generated,
    readOut: (ref) => { work.delete(attemptKey(ref)) },
    held: () => [...work.values()].map((item) => ({ ...item.ref, pieces: 1 }))
  }
}
