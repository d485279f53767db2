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
const overdueShare = 0.1

/**
 * Creates an admission queue.
 *
 * Under the policy `tiered`, waiting work is admitted in this order: paused work that has waited for `maxPauseMs` (on
 * at most a tenth of the seats, at least one), paid work, other paused work, free work. Callers of one tier class take
 * turns by deficit round robin, and the item whose turn it is is never overtaken within its class. New free work
 * never takes the headroom above what paid work lately needed. Paid work that finds no seat pauses the newest running free work, which
 * keeps its memory. Paused work that became overdue isn't paused again, so it runs at the latest once every overdue
 * item before it has ended. Under `fifo` items are admitted as they came and nothing is paused.
 *
 * A full queue refuses the newest free item of the busiest caller for a paid one, and otherwise the item offered. An
 * item whose deadline passes, or would pass at the rate of recent admissions, is refused.
 *
 * @param options the policy, the room of the backend server, and the bounds of the queue
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
 * console.assert(admission.next({ seats: 20, pieces: 4000 }, [], 0).admit.length === 1)
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
  const peak = createPaidPeak()
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

  function refusal (code: RefusalCode, tierClass: TierClass): AdmissionRefusal {
    return { code, retryAfterMs: Math.max(minRetryAfterMs, Math.ceil(estimateWaitMs(tierClass))) }
  }

  function makePlace (item: AdmissionItem): boolean {
    if (size() < maxQueue) return true
    if (policy === AdmissionPolicy.Fifo || item.tierClass !== TierClass.Paid) return false
    const victim = queues[TierClass.Free].popFromLongestLane()
    if (victim === undefined) return false
    evicted.push({ item: victim, ...refusal(RefusalCode.NoCapacity, TierClass.Free) })
    return true
  }

  function offer (item: AdmissionItem, nowMs: number): Result<void, AdmissionRefusal> {
    if (item.pieces > pieces) return Err(refusal(RefusalCode.NoCapacity, item.tierClass))
    if (nowMs >= item.deadlineMs) return Err(refusal(RefusalCode.TargetMissed, item.tierClass))
    const waitMs = policy === AdmissionPolicy.Fifo ? 0 : estimateWaitMs(item.tierClass)
    if (nowMs + waitMs > item.deadlineMs) return Err(refusal(RefusalCode.TargetMissed, item.tierClass))
    if (!makePlace(item)) return Err(refusal(RefusalCode.NoCapacity, item.tierClass))
    // One lane for all callers makes the fair queue first come, first served.
    if (policy === AdmissionPolicy.Fifo) queues[TierClass.Paid].push(item, '')
    else queues[item.tierClass].push(item, item.caller)
    return Ok(undefined)
  }

  function refuseLate (nowMs: number): RefusedItem[] {
    const late = [...queues[TierClass.Paid].removeWhere((item) => item.deadlineMs <= nowMs),
      ...queues[TierClass.Free].removeWhere((item) => item.deadlineMs <= nowMs)]
    return late.map((item) => ({ item, ...refusal(RefusalCode.TargetMissed, item.tierClass) }))
  }

  function next (free: FreeCapacity, running: RunningItem[], nowMs: number): AdmissionDecision {
    const decision: AdmissionDecision = { admit: [], refuse: [...evicted, ...refuseLate(nowMs)], pause: [], resume: [] }
    evicted = []
    clock.observe(running, nowMs)
    peak.observe(running, queues[TierClass.Paid].items(), nowMs)
    policies[policy]({ queues, capacity: createCapacityTracker(free, running, freeCap()), clock, overdueSeats }, decision)
    meter.observe(decision.admit.length, size() > 0, nowMs)
    return decision
  }

  /** Leaves room for what paid work lately needed and for the headroom above it. */
  function freeCap (): FreeCapacity {
    // Paid work takes seats back by a pause but can't take memory back.
    return {
      seats: Math.floor(seats * (1 - paidHeadroom)),
      pieces: Math.floor(pieces * (1 - paidHeadroom) - peak.pieces())
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
    decide: next,
    size,
    estimateWaitMs
  }
}
