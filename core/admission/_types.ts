/**
 * Types for the admission queue.
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

/** Describes work that waits for a seat and memory. */
export interface AdmissionItem {
  ref: AttemptRef
  /** Name of the entry that sent the work. */
  owner: string
  /** Engine memory wanted, in pieces. */
  pieces: number
  /** Tokens that count in the deficit round robin. */
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
  /** True while the work is paused: it keeps its memory and frees its seat. */
  paused: boolean
  /** False while the work has its seat and memory but does not run yet; it cannot be paused then. */
  started: boolean
}

/** Describes what is free at the backend server. */
export interface FreeCapacity {
  seats: number
  /** Engine memory in pieces. */
  pieces: number
}

/** Describes a refusal; refused work has not run. */
export interface AdmissionRefusal {
  code: RefusalCode
  /** Time in milliseconds after which a retry may succeed. */
  retryAfterMs: number
}

/** Describes a waiting item that was refused. */
export interface RefusedItem extends AdmissionRefusal {
  item: AdmissionItem
}

/** Describes what the agent must do now. */
export interface AdmissionDecision {
  /** Items to admit, in order. */
  admit: AdmissionItem[]
  /** Waiting items that are refused. */
  refuse: RefusedItem[]
  /** Running free work to pause; each frees one seat. */
  pause: AttemptRef[]
  /** Paused work to resume; each takes one seat. */
  resume: AttemptRef[]
}

/** Queues work until seats and memory are free. */
export interface Admission {
  /** Replaces the policy and the headroom for later decisions; waiting items stay. */
  setPolicy (policy: AdmissionPolicy, paidHeadroom: number): void
  /** Queues an item, or refuses it with `NoCapacity` or `TargetMissed`. */
  offer (item: AdmissionItem, nowMs: number): Result<void, AdmissionRefusal>
  /** Removes an item from the queue; true when it was waiting, in which case it has not run. */
  withdraw (ref: AttemptRef): boolean
  /** Removes and returns all waiting items of an owner. */
  withdrawOwner (owner: string): AdmissionItem[]
  /** Decides what to admit, refuse, pause and resume; the caller must apply the decision. */
  decide (free: FreeCapacity, running: RunningItem[], nowMs: number): AdmissionDecision
  /** Returns the number of waiting items. */
  size (): number
  /** Estimates the time in milliseconds that an item of this class would wait if queued now. */
  estimateWaitMs (tierClass: TierClass): number
}
