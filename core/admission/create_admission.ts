/**
 * The admission queue of one backend server.
 */
import { AdmissionPolicy } from '../records/mod.ts'
import { Err, Ok } from '../results/mod.ts'
import { RefusalCode, TierClass } from '../types/mod.ts'
import { createFairQueue } from './_fair_queue.ts'
import { createPauseClock } from './_pause_clock.ts'
import { createPaidPeak } from './_paid_peak.ts'
import { policies } from './_policies.ts'
import { createCapacityTracker } from './_capacity_tracker.ts'
import { createWaitMeter } from './_wait_meter.ts'
import type { Result } from '../results/mod.ts'
import type {
  Admission, AdmissionDecision, AdmissionItem, AdmissionOptions, AdmissionRefusal, FreeCapacity, RefusedItem, RunningItem
} from './_types.ts'

const defaultMaxPauseMs = 10000
const minRetryAfterMs = 100
/** Share of the seats that overdue paused work may take at one time ahead of paid work. */
const overdueShare = 0.1

/**
 * Creates an admission queue.
 *
 * Under the policy `tiered`, work starts or resumes in this order: overdue work, which has been paused for `maxPauseMs` (on at most a
 * tenth of the seats, at least one); paid work; other paused work; free work. Callers of one tier class are served by deficit round
 * robin, and the item that is next in its class is never overtaken within the class. New free work never takes the memory that paid
 * work recently needed, nor the headroom above it. Paid work that finds no seat pauses the newest running free work, which keeps its
 * memory. Overdue work is not paused again, so it runs at the latest when all overdue items before it have ended. Under `fifo`, items
 * are admitted in the order of their arrival and nothing is paused.
 *
 * When the queue is full, a paid item evicts the newest free item of the caller with the most waiting free items; any other item is
 * refused. An item is refused when its deadline has passed or would pass at the rate of recent admissions.
 *
 * @param options the policy, the seats and memory of the backend server, and the limits of the queue
 * @returns the queue
 *
 * @example
 * ```ts
 * import { createAdmission } from 'briarloom/core/admission'
 * import { AdmissionPolicy } from 'briarloom/core/records'
 * import { TierClass } from 'briarloom/core/types'
 *
 * const admission = createAdmission({
 *   policy: AdmissionPolicy.Tiered, paidHeadroom: 0.1, seats: 20, pieces: 4000, maxQueue: 64, quantumTokens: 2000
 * })
 * const ref = { requestId: 'r1', attempt: 1 }
 * const item = {
 *   ref, owner: 'e1', pieces: 40, tokens: 600, tierClass: TierClass.Paid, caller: 'notaires', deadlineMs: 900
 * }
 * console.assert(admission.offer(item, 0).ok)
 * console.assert(admission.decide({ seats: 20, pieces: 4000 }, [], 0).admit.length === 1)
 * ```
 */
export function createAdmission (options: AdmissionOptions): Admission {
  const { seats, pieces, maxQueue } = options
  const queues = {
    [TierClass.Paid]: createFairQueue(options.quantumTokens),
    [TierClass.Free]: createFairQueue(options.quantumTokens)
  }
  const clock = createPauseClock(options.maxPauseMs ?? defaultMaxPauseMs)
  const meter = createWaitMeter()
  const paidPeak = createPaidPeak()
  const overdueSeats = Math.max(1, Math.floor(seats * overdueShare))
  let { policy, paidHeadroom } = options
  let evicted: RefusedItem[] = []

  function size (): number {
    return queues[TierClass.Paid].size() + queues[TierClass.Free].size()
  }

  function estimateWaitMs (tierClass: TierClass): number {
    const ahead = tierClass === TierClass.Paid ? queues[TierClass.Paid].size() : size()
    return ahead * meter.intervalMs()
  }

  function createRefusal (code: RefusalCode, tierClass: TierClass): AdmissionRefusal {
    return { code, retryAfterMs: Math.max(minRetryAfterMs, Math.ceil(estimateWaitMs(tierClass))) }
  }

  function ensureQueueSpace (item: AdmissionItem): boolean {
    if (size() < maxQueue) return true
    if (policy === AdmissionPolicy.Fifo || item.tierClass !== TierClass.Paid) return false
    const evictedItem = queues[TierClass.Free].popFromLongestLane()
    if (evictedItem === undefined) return false
    evicted.push({ item: evictedItem, ...createRefusal(RefusalCode.NoCapacity, TierClass.Free) })
    return true
  }

  function offer (item: AdmissionItem, nowMs: number): Result<void, AdmissionRefusal> {
    if (item.pieces > pieces) return Err(createRefusal(RefusalCode.NoCapacity, item.tierClass))
    if (nowMs >= item.deadlineMs) return Err(createRefusal(RefusalCode.TargetMissed, item.tierClass))
    const waitMs = policy === AdmissionPolicy.Fifo ? 0 : estimateWaitMs(item.tierClass)
    if (nowMs + waitMs > item.deadlineMs) return Err(createRefusal(RefusalCode.TargetMissed, item.tierClass))
    if (!ensureQueueSpace(item)) return Err(createRefusal(RefusalCode.NoCapacity, item.tierClass))
    // A single lane for all callers makes the fair queue first in, first out.
    if (policy === AdmissionPolicy.Fifo) queues[TierClass.Paid].push(item, '')
    else queues[item.tierClass].push(item, item.caller)
    return Ok(undefined)
  }

  function refuseExpired (nowMs: number): RefusedItem[] {
    const expired = [...queues[TierClass.Paid].removeWhere((item) => item.deadlineMs <= nowMs),
      ...queues[TierClass.Free].removeWhere((item) => item.deadlineMs <= nowMs)]
    return expired.map((item) => ({ item, ...createRefusal(RefusalCode.TargetMissed, item.tierClass) }))
  }

  function decide (free: FreeCapacity, running: RunningItem[], nowMs: number): AdmissionDecision {
    const decision: AdmissionDecision = { admit: [], refuse: [...evicted, ...refuseExpired(nowMs)], pause: [], resume: [] }
    evicted = []
    clock.observe(running, nowMs)
    paidPeak.observe(running, queues[TierClass.Paid].items(), nowMs)
    policies[policy]({ queues, capacity: createCapacityTracker(free, running, computeFreeTierLimit()), clock, overdueSeats }, decision)
    meter.observe(decision.admit.length, size() > 0, nowMs)
    return decision
  }

  /** Returns the limits of free work, which leave what paid work recently needed and the headroom above it. */
  function computeFreeTierLimit (): FreeCapacity {
    // Paid work regains seats when it pauses free work, but paused work keeps its memory.
    return {
      seats: Math.floor(seats * (1 - paidHeadroom)),
      pieces: Math.floor(pieces * (1 - paidHeadroom) - paidPeak.pieces())
    }
  }

  function withdrawOwner (owner: string): AdmissionItem[] {
    return [...queues[TierClass.Paid].removeWhere((item) => item.owner === owner),
      ...queues[TierClass.Free].removeWhere((item) => item.owner === owner)]
  }

  return {
    setPolicy (nextPolicy, headroom) {
      policy = nextPolicy
      paidHeadroom = headroom
    },
    offer,
    withdraw: (ref) => [queues[TierClass.Paid].remove(ref), queues[TierClass.Free].remove(ref)].some(Boolean),
    withdrawOwner,
    decide,
    size,
    estimateWaitMs
  }
}
