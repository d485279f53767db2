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
  /** Time in milliseconds in which a worker of mean speed would work off what is then ahead of the request. */
  queueMs: number
}

/** Difference in milliseconds below which two expected times are equal. */
const equalMs = 2

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
  const count = candidates.length
  if (count === 0) return undefined
  const { workMs, unseenRequests, random } = options
  const completions = new Float64Array(count)
  for (let i = 0; i < count; i++) completions[i] = estimateCompletionMs(candidates[i] as Candidate, workMs)
  const order = Uint32Array.from(completions, (_, i) => i).sort((a, b) => (completions[a] as number) - (completions[b] as number))
  const levelMs = Math.max(findLevel(candidates, completions, order, workMs, 1 + unseenRequests), (completions[order[0] as number] as number) + equalMs)
  let drawn = random() * sumRoom(candidates, completions, order, workMs, levelMs)
  let index = order[0] as number
  for (const i of order) {
    const room = findRoom(candidates[i] as Candidate, completions[i] as number, workMs, levelMs)
    if (room <= 0) break
    index = i
    drawn -= room
    if (drawn < 0) break
  }
  const completionMs = completions[index] as number
  const { fixedMs, slowness } = candidates[index] as Candidate
  const queueMs = Math.max(0, (Math.max(levelMs, completionMs) - fixedMs) / slowness - workMs)
  return { index, completionMs, levelMs: Math.max(levelMs, completionMs), queueMs }
}

/** Returns the completion in milliseconds up to which all workers together have room for so many requests; they are given by increasing completion. */
function findLevel (candidates: readonly Candidate[], completions: Float64Array, order: Uint32Array, workMs: number, neededRoom: number): number {
  // The room of the workers so far at a level is `fixedRoom + perMs * level`.
  let fixedRoom = 0
  let perMs = 0
  let leastMs = 0
  for (let k = 0; k < order.length; k++) {
    const i = order[k] as number
    const completionMs = completions[i] as number
    if (k > 0 && fixedRoom + perMs * completionMs >= neededRoom) break
    const candidate = candidates[i] as Candidate
    const ratePerMs = getRate(candidate, workMs)
    fixedRoom += countFree(candidate) - ratePerMs * completionMs
    perMs += ratePerMs
    leastMs = completionMs
  }
  // The last of these workers may have more free slots than are needed.
  return Math.max(leastMs, (neededRoom - fixedRoom) / perMs)
}

function sumRoom (candidates: readonly Candidate[], completions: Float64Array, order: Uint32Array, workMs: number, levelMs: number): number {
  let sum = 0
  for (const i of order) {
    const room = findRoom(candidates[i] as Candidate, completions[i] as number, workMs, levelMs)
    if (room <= 0) break
    sum += room
  }
  return sum
}

/** Returns how many requests a worker can take until the next one would be answered later than `levelMs`. */
function findRoom (candidate: Candidate, completionMs: number, workMs: number, levelMs: number): number {
  return completionMs > levelMs ? 0 : countFree(candidate) + (levelMs - completionMs) * getRate(candidate, workMs)
}

/** Returns the number of requests that a worker can take without delaying the next one. */
function countFree ({ slots, requests }: Candidate): number {
  return 1 + Math.max(0, slots - 1 - requests)
}

/** Returns the requests that a worker with a full queue answers in a millisecond. */
function getRate ({ slots, slowness, requests, workMs: aheadMs }: Candidate, workMs: number): number {
  return slots / (slowness * Math.max(1, requests > 0 ? aheadMs / requests : workMs))
}
