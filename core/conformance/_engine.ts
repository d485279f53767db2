/**
 * A simulated engine that keeps running when its agent crashes. Calls in flight still arrive, and memory stays in use until the
 * attempt is cancelled or its complete answer is released.
 */
import { attemptKey } from '../types/mod.ts'
import type { AttemptRef } from '../types/mod.ts'
import type { HeldAttempt } from '../reservation/mod.ts'
import type { Random } from './_network.ts'
import type { Timer } from '../../timer/mod.ts'

/** Number of tokens in each answer. */
export const answerTokens = 4
const tokenMs = 10
const maxCallMs = 20

interface Work {
  ref: AttemptRef
  /** Number of tokens generated, including those of earlier attempts. */
  generated: number
}

/** A simulated engine; each call arrives after a delay, even when the agent that made it has crashed. */
export interface Engine {
  /** Starts to generate at a token offset; `done` receives whether the engine had a free seat for a new attempt. */
  start (ref: AttemptRef, offset: number, done: (accepted: boolean) => void): void
  /** Runs a prompt. */
  prefill (ref: AttemptRef, done: () => void): void
  /** Cancels an attempt and frees its memory. */
  cancel (ref: AttemptRef, done: () => void): void
  /** Returns the number of tokens generated for an attempt; undefined when the engine does not hold it. */
  countGenerated (ref: AttemptRef): number | undefined
  /** Frees the memory of an attempt whose answer is complete. */
  release (ref: AttemptRef): void
  /** Returns the attempts that use memory. */
  listHeld (): HeldAttempt[]
  /** Identifiers of the requests that ran, even in part. */
  ranRequests: Set<string>
  /** Returns the number of start calls that found no free seat. */
  countStartsWithoutSeat (): number
}

/** Creates an idle engine. */
export function createEngine (timer: Timer, random: Random, seats: number): Engine {
  const work = new Map<string, Work>()
  const ranRequests = new Set<string>()
  let startsWithoutSeat = 0

  const drawCallMs = () => 1 + Math.floor(random() * maxCallMs)

  function generateToken (item: Work): void {
    if (work.get(attemptKey(item.ref)) !== item || item.generated >= answerTokens) return
    item.generated++
    timer.after(tokenMs, () => generateToken(item))
  }

  function accept (ref: AttemptRef, offset: number): boolean {
    if (work.size >= seats) startsWithoutSeat++
    if (work.has(attemptKey(ref)) || work.size >= seats) return false
    const item = { ref, generated: offset }
    work.set(attemptKey(ref), item)
    ranRequests.add(ref.requestId)
    timer.after(tokenMs, () => generateToken(item))
    return true
  }

  return {
    ranRequests,
    countStartsWithoutSeat: () => startsWithoutSeat,
    start: (ref, offset, done) => {
      timer.after(drawCallMs(), () => {
        const accepted = accept(ref, offset)
        timer.after(1, () => done(accepted))
      })
    },
    prefill: (ref, done) => {
      timer.after(drawCallMs(), () => {
        ranRequests.add(ref.requestId)
        timer.after(tokenMs, done)
      })
    },
    cancel: (ref, done) => {
      timer.after(drawCallMs(), () => {
        work.delete(attemptKey(ref))
        timer.after(drawCallMs(), done)
      })
    },
    countGenerated: (ref) => work.get(attemptKey(ref))?.generated,
    release: (ref) => { work.delete(attemptKey(ref)) },
    listHeld: () => [...work.values()].map((item) => ({ ...item.ref, pieces: 1 }))
  }
}
