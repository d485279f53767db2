/**
 * The seats and memory that are left while a decision is made.
 */
import { TierClass } from '../types/mod.ts'
import type { AdmissionItem, FreeCapacity, RunningItem } from './_types.ts'

/** Holds the limits for work of the free tier. */
export interface FreeTierLimit {
  seats: number
  pieces: number
}

/** Tracks free seats and memory, and the use by the free tier. */
export interface CapacityTracker {
  /** Tells whether a seat and the memory for an item are free. */
  fits (item: AdmissionItem): boolean
  /** Tells whether the memory for an item is free. */
  fitsPieces (item: AdmissionItem): boolean
  /** Tells whether the free tier has a seat left and stays within its memory with `pieces` more pieces. */
  isWithinFreeTierLimit (pieces: number): boolean
  /** Tells whether a seat is free. */
  hasSeat (): boolean
  /** Takes a seat and memory for an admitted item. */
  admit (item: AdmissionItem): void
  /** Frees the seat of free-tier work that is paused. */
  pause (): void
  /** Takes a seat for free-tier work that is resumed. */
  resume (): void
  /** Running free-tier work that can be paused, newest first. */
  pausable: RunningItem[]
  /** Paused work, oldest first. */
  paused: RunningItem[]
}

/** Creates the tracker for one decision. */
export function createCapacityTracker (free: FreeCapacity, running: RunningItem[], freeTierLimit: FreeTierLimit): CapacityTracker {
  let { seats, pieces } = free
  const freeTierItems = running.filter((item) => item.tierClass === TierClass.Free)
  let freeTierSeats = freeTierItems.filter((item) => !item.paused).length
  let freeTierPieces = freeTierItems.reduce((sum, item) => sum + item.pieces, 0)
  return {
    fits: (item) => seats > 0 && item.pieces <= pieces,
    fitsPieces: (item) => item.pieces <= pieces,
    isWithinFreeTierLimit: (addedPieces) => freeTierSeats < freeTierLimit.seats && freeTierPieces + addedPieces <= freeTierLimit.pieces,
    hasSeat: () => seats > 0,
    admit (item) {
      seats -= 1
      pieces -= item.pieces
      if (item.tierClass !== TierClass.Free) return
      freeTierSeats += 1
      freeTierPieces += item.pieces
    },
    pause () {
      seats += 1
      freeTierSeats -= 1
    },
    resume () {
      seats -= 1
      freeTierSeats += 1
    },
    pausable: freeTierItems.filter((item) => item.started && !item.paused).reverse(),
    paused: running.filter((item) => item.paused)
  }
}
