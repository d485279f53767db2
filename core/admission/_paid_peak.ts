/**
 * Remembers how much memory paid work lately needed.
 */
import { TierClass } from '../types/mod.ts'
import type { AdmissionItem, RunningItem } from './_types.ts'

const halfLifeMs = 500

/** Follows the need of paid work. */
export interface PaidPeak {
  /** Takes in what paid work holds and waits for. */
  observe (running: RunningItem[], waiting: AdmissionItem[], nowMs: number): void
  /** Returns the highest recent need in pieces, which decays towards the present one. */
  pieces (): number
}

/** Creates a meter that saw no paid work. */
export function createPaidPeak (): PaidPeak {
  let peak = 0
  let lastMs: number | undefined

  function observe (running: RunningItem[], waiting: AdmissionItem[], nowMs: number): void {
    const keeps = 0.5 ** (Math.max(0, nowMs - (lastMs ?? nowMs)) / halfLifeMs)
    lastMs = nowMs
    const paid = [...running.filter((item) => item.tierClass === TierClass.Paid), ...waiting]
    peak = Math.max(paid.reduce((sum, item) => sum + item.pieces, 0), peak * keeps)
  }

  return { observe, pieces: () => peak }
}
