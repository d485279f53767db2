/**
 * The admission policies.
 */
import { AdmissionPolicy } from '../records/mod.ts'
import { TierClass } from '../types/mod.ts'
import type { FairQueue } from './_fair_queue.ts'
import type { PauseClock } from './_pause_clock.ts'
import type { CapacityTracker } from './_capacity_tracker.ts'
import type { AdmissionDecision } from './_types.ts'

/** Holds what a policy decides from. */
export interface PolicyContext {
  queues: { [K in TierClass]: FairQueue }
  capacity: CapacityTracker
  clock: PauseClock
  /** Number of seats that overdue free work may take at one time ahead of paid work. */
  overdueSeats: number
}

type Decide = (context: PolicyContext, decision: AdmissionDecision) => void

function resumeOverdue (context: PolicyContext, decision: AdmissionDecision): void {
  const { capacity, clock } = context
  let remainingSeats = context.overdueSeats - capacity.pausable.filter((item) => clock.isOverdue(item)).length
  for (const item of capacity.paused) {
    if (remainingSeats <= 0 || !capacity.hasSeat()) return
    if (!clock.isOverdue(item)) continue
    capacity.resume()
    decision.resume.push(item.ref)
    remainingSeats -= 1
  }
}

function pauseOne (context: PolicyContext, decision: AdmissionDecision): boolean {
  const index = context.capacity.pausable.findIndex((item) => !context.clock.isOverdue(item))
  const [item] = index < 0 ? [] : context.capacity.pausable.splice(index, 1)
  if (item === undefined) return false
  context.capacity.pause()
  decision.pause.push(item.ref)
  return true
}

function admitPaid (context: PolicyContext, decision: AdmissionDecision): void {
  const { capacity } = context
  const queue = context.queues[TierClass.Paid]
  for (;;) {
    const item = queue.peek()
    if (item === undefined || !capacity.fitsPieces(item)) return
    if (!capacity.hasSeat() && !pauseOne(context, decision)) return
    queue.shift()
    capacity.admit(item)
    decision.admit.push(item)
  }
}

function resumeFree (context: PolicyContext, decision: AdmissionDecision): void {
  for (const item of context.capacity.paused) {
    if (!context.capacity.hasSeat() || !context.capacity.isWithinFreeTierLimit(0)) return
    if (decision.resume.includes(item.ref)) continue
    context.capacity.resume()
    decision.resume.push(item.ref)
  }
}

function admitFree (context: PolicyContext, decision: AdmissionDecision): void {
  const queue = context.queues[TierClass.Free]
  for (;;) {
    const item = queue.peek()
    if (item === undefined || !context.capacity.fits(item) || !context.capacity.isWithinFreeTierLimit(item.pieces)) return
    queue.shift()
    context.capacity.admit(item)
    decision.admit.push(item)
  }
}

function decideTiered (context: PolicyContext, decision: AdmissionDecision): void {
  resumeOverdue(context, decision)
  admitPaid(context, decision)
  if (context.queues[TierClass.Paid].size() > 0 || decision.pause.length > 0) return
  resumeFree(context, decision)
  admitFree(context, decision)
}

function decideFifo (context: PolicyContext, decision: AdmissionDecision): void {
  // Work paused under another policy is resumed first; this policy pauses nothing.
  for (const item of context.capacity.paused) {
    if (!context.capacity.hasSeat()) return
    context.capacity.resume()
    decision.resume.push(item.ref)
  }
  const queue = context.queues[TierClass.Paid]
  for (;;) {
    const item = queue.peek()
    if (item === undefined || !context.capacity.fits(item)) return
    queue.shift()
    context.capacity.admit(item)
    decision.admit.push(item)
  }
}

/** Maps each policy to its decision. Under `Fifo` all items wait in the queue of paid work. */
export const policies: { [K in AdmissionPolicy]: Decide } = {
  [AdmissionPolicy.Tiered]: decideTiered,
  [AdmissionPolicy.Fifo]: decideFifo
}
