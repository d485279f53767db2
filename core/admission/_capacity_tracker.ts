/**
 * Counts seats and memory while a decision is made.
 */
import { TierClass } from '../types/mod.ts'
import type { AdmissionItem, FreeCapacity, RunningItem } from './_types.ts'

/** Says how much free work may use. */
export interface FreeTierLimit {
  seats: number
  pieces: number
}

/** Counts what is left. */
export interface CapacityTracker {
  fits (item: AdmissionItem): boolean
  fitsPieces (item: AdmissionItem): boolean
  /** Tells whether an item stays within the share of free work. */
  isWithinFreeTierLimit (pieces: number): boolean
  hasSeat (): boolean
  /** Counts an admitted item. */
  admit (item: AdmissionItem): void
  /** Counts a pause of free work. */
  pause (): void
  /** Counts a resumption of free work. */
  resume (): void
  /** Free work that runs, newest first. */
  pausable: RunningItem[]
  /** Paused work, oldest first. */
  paused: RunningItem[]
}

/** Creates the counts for one decision. */
export function createCapacityTracker (free: FreeCapacity, running: RunningItem[], cap: FreeTierLimit): CapacityTracker {
  let { seats, pieces } = free
  const ofFree = running.filter((item) => item.tierClass === TierClass.Free)
  let freeSeats = ofFree.filter((item) => !item.paused).length
  let freePieces = ofFree.reduce((sum, item) => sum + item.pieces, 0)
  return {
    fits: (item) => seats > 0 && item.pieces <= pieces,
    fitsPieces: (item) => item.pieces <= pieces,
    isWithinFreeTierLimit: (more) => freeSeats < cap.seats && freePieces + more <= cap.pieces,
    hasSeat: () => seats > 0,
    admit (item) {
      seats -= 1
      pieces -= item.pieces
      if (item.tierClass !== TierClass.Free) return
      freeSeats += 1
      freePieces += item.pieces
    },
    pause () {
      seats += 1
      freeSeats -= 1
    },
    resume () {
      seats -= 1
      freeSeats += 1
    },
    pausable: ofFree.filter((item) => item.started && !item.paused).reverse(),
    paused: running.filter((item) => item.paused)
  }
}
