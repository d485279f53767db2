/**
 * The choice of a worker by the time until it has answered.
 */
import { estimateCompletionMs } from './estimate_completion_ms.ts'
import type { Candidate } from './_types.ts'

/** Configures the choice. */
export interface ChooseByCompletionOptions {
  /** Work of the request, in milliseconds of a worker of mean speed. */
  workMs: number
  /** Requests that other processes are likely to have sent since the loads were told. */
  unseenRequests: number
  /** Returns a number from 0 up to but not including 1. */
  random: () => number
}

/** The chosen worker. */
export interface CompletionChoice {
  /** Index of the candidate. */
  index: number
  /** Expected time in milliseconds until it has answered, with the load as told. */
  completionMs: number
  /** The same after the requests that other processes are likely to have sent since. */
  levelMs: number
}

/** Number of halvings in the search for the level; its error is then below a millisecond for queues of up to a minute. */
const maxHalvings = 16

/**
 * Chooses the worker that is likely to answer first.
 *
 * The load that it answers: many processes, each with a few requests a second, before a few workers of uneven speed. Requests in flight
 * of one process say nothing of the queue, and if all processes follow the same report, all run to the worker that was the freest in it.
 * So the requests that others have probably sent since the report are spread over the workers up to one level of completion, as they
 * spread them, and the worker is drawn at random by its part of that room: with a fresh report the best one, with an older one any
 * that had room.
 *
 * @param candidates the workers, each with what it still has to do
 * @param options the request and what is not seen yet
 * @returns the choice; undefined when there is no candidate
 *
 * @example
 * ```ts
 * import { chooseByCompletion } from 'briarloom/core/cost'
 *
 * const near = { fixedMs: 1, slots: 6, slowness: 1, requests: 30, workMs: 2400 }
 * const far = { fixedMs: 42, slots: 6, slowness: 1, requests: 3, workMs: 240 }
 * console.assert(chooseByCompletion([near, far], { workMs: 80, unseenRequests: 0, random: () => 0 })?.index === 1)
 * ```
 */
export function chooseByCompletion (candidates: readonly Candidate[], options: ChooseByCompletionOptions): CompletionChoice | undefined {
  if (candidates.length === 0) return undefined
  const { workMs, unseenRequests, random } = options
  const completions = candidates.map((candidate) => estimateCompletionMs(candidate, workMs))
  const neededRoom = 1 + unseenRequests
  let low = Math.min(...completions)
  let high = low + 1
  while (sumRoom(candidates, completions, workMs, high) < neededRoom) high = low + 2 * (high - low)
  for (let i = 0; i < maxHalvings && high - low > 0.5; i++) {
    const middle = (low + high) / 2
    if (sumRoom(candidates, completions, workMs, middle) < neededRoom) low = middle
    else high = middle
  }
  let drawn = random() * sumRoom(candidates, completions, workMs, high)
  let index = completions.indexOf(Math.min(...completions))
  for (const [i, candidate] of candidates.entries()) {
    const room = findRoom(candidate, completions[i] as number, workMs, high)
    if (room <= 0) continue
    index = i
    drawn -= room
    if (drawn < 0) break
  }
  return { index, completionMs: completions[index] as number, levelMs: Math.max(high, completions[index] as number) }
}

/** Returns how many requests a worker can take until the next one would be answered later than `levelMs`. */
function findRoom (candidate: Candidate, completionMs: number, workMs: number, levelMs: number): number {
  if (completionMs > levelMs) return 0
  const { slots, slowness, requests, workMs: aheadMs } = candidate
  const meanWorkMs = Math.max(1, requests > 0 ? aheadMs / requests : workMs)
  const freeSlots = Math.max(0, slots - 1 - requests)
  return freeSlots + 1 + (levelMs - completionMs) * slots / (slowness * meanWorkMs)
}

function sumRoom (candidates: readonly Candidate[], completions: readonly number[], workMs: number, levelMs: number): number {
  let sum = 0
  for (let i = 0; i < candidates.length; i++) sum += findRoom(candidates[i] as Candidate, completions[i] as number, workMs, levelMs)
  return sum
}
