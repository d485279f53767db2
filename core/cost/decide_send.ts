/**
 * The decision whether a request of a plain service is sent now, waits for a moment, or is refused.
 */

/** Names what is done with a request now. */
export enum SendDecision {
  Send = 'send',
  /** Asked again shortly. */
  Wait = 'wait',
  Refuse = 'refuse'
}

/** Describes a request and the best worker for it; times in milliseconds. */
export interface SendSituation {
  /** Expected time until the best worker has answered. */
  levelMs: number
  /** The same if that worker had nothing to do. */
  idleMs: number
  /** True when that worker has a free slot, as far as is known. */
  isIdle: boolean
  /** Time for which the request has waited here. */
  waitedMs: number
  targetMs: number
  /** Time that its client has left. */
  leftMs: number
  /** Time that its client used up before it sent this request: it has come back after a refusal or a failure; 0 for a first request. */
  usedMs: number
  /** Number of more urgent kinds of requests that the same workers serve. */
  rank: number
  /** Age of what is known of the workers' load. */
  ageMs: number
}

/** Age in milliseconds beyond which a load says where to send, and not whether: all processes would stop and start together. */
const maxAgeMs = 300
/** Share of the target that the expected answer may take; it is a median, and a quarter of the answers take half as long again. */
const inTimeShare = 0.7
/** The same for one that has come back, which is not refused again. */
const backShare = 1
/** Share of the target by which each more urgent kind lowers that, so that it still finds room when the others do not. */
const rankShare = 0.15
/** Lowest such share. */
const minInTimeShare = 0.4
/** Share of the target for which a request waits before it is refused; up to it, the wait costs its client next to nothing. */
const waitShare = 0.12
/** Share of the target that the queue of a worker may take for a request that is late already: it fills what those in time leave. */
const lateQueueShare = 0.06
/** Share of the time left for which such a request waits for that; then it is sent if it can still be answered. */
const lateWaitShare = 0.5

/**
 * Decides whether a request is sent now, waits, or is refused.
 *
 * The load that it answers: in a burst of some seconds, more requests come than the workers of a service can answer. If each is sent at
 * once, the queues fill to the point where every answer misses its target, and workers refuse the rest, at a cost of one arrival each.
 * So a request is sent while it will be answered in time; one that will not be is told to come back when the burst may be over, and then
 * waits here until the queues are short, so that it delays none that can still be in time.
 *
 * @param situation the request and the best worker
 * @returns the decision
 *
 * @example
 * ```ts
 * import { decideSend, SendDecision } from 'briarloom/core/cost'
 *
 * const situation = { levelMs: 100, idleMs: 90, waitedMs: 0, targetMs: 400, leftMs: 4000, isIdle: false, usedMs: 0, rank: 0, ageMs: 100 }
 * console.assert(decideSend(situation) === SendDecision.Send)
 * console.assert(decideSend({ ...situation, levelMs: 900, waitedMs: 60 }) === SendDecision.Refuse)
 * ```
 */
export function decideSend (situation: SendSituation): SendDecision {
  const { levelMs, idleMs, waitedMs, targetMs, leftMs, usedMs, rank, ageMs, isIdle } = situation
  if (ageMs > maxAgeMs) return SendDecision.Send
  const lastsMs = usedMs + waitedMs
  const share = Math.max(minInTimeShare, inTimeShare - rankShare * rank)
  // A free slot is used however slow its worker is: no other will be faster.
  if (isIdle || lastsMs + levelMs <= share * targetMs) return SendDecision.Send
  // Who comes back soon after a failure may still be in time.
  if (usedMs > 0 && lastsMs + levelMs <= backShare * targetMs) return SendDecision.Send
  if (usedMs === 0 && waitedMs + idleMs <= targetMs) return waitedMs < waitShare * targetMs ? SendDecision.Wait : SendDecision.Refuse
  if (levelMs - idleMs <= lateQueueShare * targetMs) return SendDecision.Send
  if (waitedMs < lateWaitShare * (leftMs + waitedMs)) return SendDecision.Wait
  return levelMs < leftMs ? SendDecision.Send : SendDecision.Refuse
}

/** Longest wait that clients are asked for, as a share of the time that they have left; they honour no longer one. */
const maxReturnShare = 1 / 3
/** Shortest wait, as such a share: after it, the deadline shows that the client has come back. */
const minReturnShare = 0.18

/**
 * Returns the time after which a refused client may come back: when the work that the best worker has now will be done at the earliest, and
 * spread from there over the time for which clients wait, so that those who return meet the room that comes free one after the other.
 *
 * @param situation the request and the best worker
 * @param random a number from 0 up to but not including 1
 * @returns the time in milliseconds
 *
 * @example
 * ```ts
 * import { getReturnDelayMs } from 'briarloom/core/cost'
 *
 * console.assert(getReturnDelayMs({ levelMs: 800, leftMs: 3900 }, 0) === 800)
 * ```
 */
export function getReturnDelayMs ({ levelMs, leftMs }: Pick<SendSituation, 'levelMs' | 'leftMs'>, random: number): number {
  const latestMs = Math.max(0, leftMs) * maxReturnShare
  const earliestMs = Math.min(Math.max(levelMs, minReturnShare * leftMs), latestMs)
  return Math.round(earliestMs + (latestMs - earliestMs) * random)
}
