/**
 * The decision whether this process may send a request to a worker now.
 */
import { getSendDelayMs } from './get_send_delay_ms.ts'
import { WorkerState } from './_types.ts'
import type { Worker } from './_types.ts'

/** Reasons why requests are held back from a worker; the values are labels of metrics and words of the log. */
export enum HoldReason {
  /** Its entry says that it drains. */
  Draining = 'draining',
  /** Its entry has been removed, or that of a later start has replaced it. */
  Gone = 'gone',
  /** It has said in an answer that it leaves. */
  Leaving = 'leaving',
  /** The prompt is likely to crash it. */
  Quarantine = 'prompt_quarantined',
  /** It turned a request away and named a time for which it wants none. */
  RetryAfter = 'retry_after',
  /** It was unreachable or did not answer. */
  Suspect = 'suspect',
  /** It limits the rate of its requests. */
  Limit = 'limit'
}

/** How willingly a request is sent to a worker; a lower rank is chosen first. */
export enum SendRank {
  Open = 0,
  /** It may get the request, but leaves soon. */
  Leaving = 1,
  /** It gets the request after a delay, since its rate is limited. */
  Delayed = 2,
  /** It may get the request when no other worker is left. */
  Suspect = 3,
  /** It gets no request before a time. */
  Held = 4,
  /** It gets no request at all. */
  Never = 5
}

/** Says whether a request may be sent to a worker. */
export interface SendVerdict {
  rank: SendRank
  /** Why the worker does not rank first; absent when it does. */
  reason?: HoldReason
  /** Time in milliseconds at which the reason ends; Infinity when no end is known. */
  untilMs: number
}

/** Configures the decision. */
export interface CheckSendOptions {
  nowMs: number
  /** Time in milliseconds for which a worker takes requests after it has said that it leaves. */
  drainMs: number
  /** Remaining time in milliseconds of a quarantine that holds the request back; none by default. */
  quarantineMs?: number
  /** True when the request has its place in the schedule of the worker already; false by default. */
  hasPlace?: boolean
}

/**
 * Decides whether this process may send a request to a worker now.
 *
 * @param worker the worker
 * @param options the time and what is known of the request
 * @returns the rank of the worker, and the reason when it is not the first
 *
 * @example
 * ```ts
 * import { checkSend, createFleet, SendRank } from 'briarloom/core/fleet'
 *
 * const isOpen = (worker) => checkSend(worker, { nowMs: 0, drainMs: 2500 }).rank === SendRank.Open
 * console.assert(createFleet().all().every(isOpen))
 * ```
 */
export function checkSend (worker: Worker, options: CheckSendOptions): SendVerdict {
  const { nowMs, drainMs, quarantineMs = 0, hasPlace = false } = options
  const { word } = worker
  const goneEndMs = (worker.goneSinceMs ?? Infinity) + (hasPlace ? drainMs : 0)
  if (nowMs >= goneEndMs) return { rank: SendRank.Never, reason: HoldReason.Gone, untilMs: Infinity }
  // A request that has its place was assigned before the entry said so, and the worker takes it for the drain time.
  const drainEndMs = hasPlace ? (worker.drainingSinceMs ?? nowMs) + drainMs : nowMs
  if (worker.entry.state === WorkerState.Draining && nowMs >= drainEndMs) {
    return { rank: SendRank.Never, reason: HoldReason.Draining, untilMs: Infinity }
  }
  const hasLeft = word.leavingSinceMs !== undefined && nowMs >= word.leavingSinceMs + drainMs
  if (hasLeft) return { rank: SendRank.Never, reason: HoldReason.Leaving, untilMs: Infinity }
  if (quarantineMs > 0) return { rank: SendRank.Never, reason: HoldReason.Quarantine, untilMs: nowMs + quarantineMs }
  const holdMs = hasPlace ? word.hold.untilMs() - nowMs : word.hold.delayMs(nowMs)
  if (holdMs > 0) return { rank: SendRank.Held, reason: HoldReason.RetryAfter, untilMs: nowMs + holdMs }
  if (hasPlace) return { rank: SendRank.Open, untilMs: nowMs }
  const toldMs = worker.capacity?.heldUntilMs ?? -Infinity
  if (toldMs > nowMs) return { rank: SendRank.Held, reason: HoldReason.RetryAfter, untilMs: toldMs }
  if (worker.suspectUntilMs > nowMs) return { rank: SendRank.Suspect, reason: HoldReason.Suspect, untilMs: worker.suspectUntilMs }
  const delayMs = getSendDelayMs(worker, nowMs)
  if (delayMs > 0) return { rank: SendRank.Delayed, reason: HoldReason.Limit, untilMs: nowMs + delayMs }
  if (word.leavingSinceMs !== undefined) return { rank: SendRank.Leaving, reason: HoldReason.Leaving, untilMs: Infinity }
  return { rank: SendRank.Open, untilMs: nowMs }
}
