/**
 * The table of admission policies.
 */
import { AdmissionPolicy } from '../records/mod.ts'
import { TierClass } from '../types/mod.ts'
import type { FairQueue } from './_fair_queue.ts'
import type { PauseClock } from './_pause_clock.ts'
import type { CapacityTracker } from './_capacity_tracker.ts'
import type { AdmissionDecision } from './_types.ts'

/** Holds what a policy decides on. */
export interface PolicyContext {
  queues: { [K in TierClass]: FairQueue }
  capacity: CapacityTracker
  clock: PauseClock
  /** Seats that overdue free work may take at one time ahead of paid work. */
  overdueSeats: number
}

type Decide = (ctx: PolicyContext, decision: AdmissionDecision) => void

function resumeOverdue (ctx: PolicyContext, decision: AdmissionDecision): void {
  const { capacity: room, clock } = ctx
  let left = ctx.overdueSeats - room.pausable.filter((item) => clock.isOverdue(item)).length
  for (const item of room.paused) {
    if (left <= 0 || !room.hasSeat()) return
    if (!clock.isOverdue(item)) continue
    room.resume()
    decision.resume.push(item.ref)
    left -= 1
  }
}

function pauseOne (ctx: PolicyContext, decision: AdmissionDecision): boolean {
  const index = ctx.capacity.pausable.findIndex((item) => !ctx.clock.isOverdue(item))
  const [item] = index < 0 ? [] : ctx.capacity.pausable.splice(index, 1)
  if (item === undefined) return false
  ctx.capacity.pause()
  decision.pause.push(item.ref)
  return true
}

function admitPaid (ctx: PolicyContext, decision: AdmissionDecision): void {
  const { capacity: room } = ctx
  const queue = ctx.queues[TierClass.Paid]
  for (;;) {
    const item = queue.peek()
    if (item === undefined || !room.fitsPieces(item)) return
    if (!room.hasSeat() && !pauseOne(ctx, decision)) return
    queue.shift()
    room.admit(item)
    decision.admit.push(item)
  }
}

function resumeFree (ctx: PolicyContext, decision: AdmissionDecision): void {
  for (const item of ctx.capacity.paused) {
    if (!ctx.capacity.hasSeat() || !ctx.capacity.isWithinFreeTierLimit(0)) return
    if (decision.resume.includes(item.ref)) continue
    ctx.capacity.resume()
    decision.resume.push(item.ref)
  }
}

function admitFree (ctx: PolicyContext, decision: AdmissionDecision): void {
  const queue = ctx.queues[TierClass.Free]
  for (;;) {
    const item = queue.peek()
    if (item === undefined || !ctx.capacity.fits(item) || !ctx.capacity.isWithinFreeTierLimit(item.pieces)) return
    queue.shift()
    ctx.capacity.admit(item)
    decision.admit.push(item)
  }
}

function decideTiered (ctx: PolicyContext, decision: AdmissionDecision): void {
  resumeOverdue(ctx, decision)
  admitPaid(ctx, decision)
  if (ctx.queues[TierClass.Paid].size() > 0 || decision.pause.length > 0) return
  resumeFree(ctx, decision)
  admitFree(ctx, decision)
}

function decideFifo (ctx: PolicyContext, decision: AdmissionDecision): void {
  // A change of policy may leave paused work behind; it goes on first.
  for (const item of ctx.capacity.paused) {
    if (!ctx.capacity.hasSeat()) return
    ctx.capacity.resume()
    decision.resume.push(item.ref)
  }
  const queue = ctx.queues[TierClass.Paid]
  for (;;) {
    const item = queue.peek()
    if (item === undefined || !ctx.capacity.fits(item)) return
    queue.shift()
    ctx.capacity.admit(item)
    decision.admit.push(item)
  }
}

/** Maps each policy to its handler. Under `Fifo` every item waits in the queue of paid work. */
export const policies: { [K in AdmissionPolicy]: Decide } = {
  [AdmissionPolicy.Tiered]: decideTiered,
  [AdmissionPolicy.Fifo]: decideFifo
}
