/**
 * The recent peak of the memory that paid work needs.
 */
import { TierClass } from '../types/mod.ts'
import type { AdmissionItem, RunningItem } from './_types.ts'

/** Time in milliseconds in which a past peak halves. */
const halfLifeMs = 500

/** Tracks the memory that paid work needs. */
export interface PaidPeak {
  /** Updates the peak from the running items and the waiting paid items. */
  observe (running: RunningItem[], waiting: AdmissionItem[], nowMs: number): void
  /** Returns the recent peak in pieces, which decays towards the current need. */
  pieces (): number
}

/** Creates a tracker with a peak of 0. */
export function createPaidPeak (): PaidPeak {
  let peak = 0
  let lastMs: number | undefined

  function observe (running: RunningItem[], waiting: AdmissionItem[], nowMs: number): void {
    const decay = 0.5 ** (Math.max(0, nowMs - (lastMs ?? nowMs)) / halfLifeMs)
    lastMs = nowMs
    const paid = [...running.filter((item) => item.tierClass === TierClass.Paid), ...waiting]
    peak = Math.max(paid.reduce((sum, item) => sum + item.pieces, 0), peak * decay)
  }

  return { observe, pieces: () => peak }
}
