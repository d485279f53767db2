/**
 * Types of the admission queue.
 */
import type { AdmissionPolicy } from '../records/mod.ts'
import type { Result } from '../results/mod.ts'
import type { AttemptRef, RefusalCode, TierClass } from '../types/mod.ts'

/** Configures an admission queue. */
export interface AdmissionOptions {
  policy: AdmissionPolicy
  /** Share of seats and memory that only paid work may use, from 0 to 1. */
  paidHeadroom: number
  /** Seats of the backend server. */
  seats: number
  /** Engine memory of the backend server, in pieces. */
  pieces: number
  /** Highest number of waiting items. */
  maxQueue: number
  /** Tokens that each caller may send in one round of the deficit round robin. */
  quantumTokens: number
  /** Time in milliseconds after which paused work is resumed before waiting paid work; 10000 by default. */
  maxPauseMs?: number
}

/** Describes work that asks for a seat and memory. */
export interface AdmissionItem {
  ref: AttemptRef
  /** Name of the entry that asks. */
  owner: string
  /** Engine memory wanted, in pieces. */
  pieces: number
  tokens: number
  tierClass: TierClass
  caller: string
  /** Time in milliseconds after which the item is refused. */
  deadlineMs: number
}

/** Describes work that holds memory. */
export interface RunningItem {
  ref: AttemptRef
  tierClass: TierClass
  /** Engine memory held, in pieces. */
  pieces: number
  /** True while the work gives up its seat and keeps its memory. */
  paused: boolean
  /** False while the work holds its seat and memory and does not run yet, so that it can't be paused. */
  started: boolean
}

/** Describes what is free at the backend server. */
export interface FreeCapacity {
  seats: number
  /** Engine memory in pieces. */
  pieces: number
}

/** Says why work was refused; it certainly did not run. */
export interface AdmissionRefusal {
  code: RefusalCode
  /** Time in milliseconds after which a retry makes sense. */
  retryAfterMs: number
}

/** Names a waiting item that was refused. */
export interface RefusedItem extends AdmissionRefusal {
  item: AdmissionItem
}

/** Says what to do now. */
export interface AdmissionDecision {
  /** Items to admit, in order. */
  admit: AdmissionItem[]
  refuse: RefusedItem[]
  /** Running free work to pause; each frees one seat. */
  pause: AttemptRef[]
  /** Paused work to resume; each takes one seat. */
  resume: AttemptRef[]
}

/** Holds work until there is room for it. */
export interface Admission {
  /** Replaces the policy and the headroom for later decisions; waiting items stay. */
  setPolicy (policy: AdmissionPolicy, paidHeadroom: number): void
  /** Adds an item, or says why it is refused. */
  offer (item: AdmissionItem, nowMs: number): Result<void, AdmissionRefusal>
  /** Takes an item out again; true when it was waiting, so that it certainly did not run. */
  withdraw (ref: AttemptRef): boolean
  /** Takes every item of an owner out again and returns them. */
  withdrawOwner (owner: string): AdmissionItem[]
  /** Decides what to admit, refuse, pause and resume; the caller must carry it out. */
  decide (free: FreeCapacity, running: RunningItem[], nowMs: number): AdmissionDecision
  /** Returns the number of waiting items. */
  size (): number
  /** Estimates the time in milliseconds that an item of this class waits when offered now. */
  estimateWaitMs (tierClass: TierClass): number
}
