/**
 * Works out the state of a member from the evidence about it.
 */
import { HostState } from '../../source/mod.ts'
import { MemberReason, MemberState } from './_types.ts'

/** Holds what is known about one incarnation of a member; times are monotonic milliseconds. */
export interface Evidence {
  /** What the host list says; absent when the member is not on it. */
  listed?: HostState
  /** Open connections. */
  connections: number
  /** When the member was last heard on a connection, or first listed. */
  seenMs: number
  /** Last value of the progress counter. */
  progress?: number
  /** When the progress counter last moved or nothing was owed. */
  movedMs?: number
  /** When the last connection broke. */
  brokenMs?: number
  /** True when the member itself says that it is leaving. */
  draining: boolean
  /** What a third process said last. */
  hint?: { state: 'suspect' | 'leaving' | 'gone', atMs: number }
}

/** Bounds in milliseconds. */
export interface Thresholds {
  silentMs: number
  stalledMs: number
  goneMs: number
  hintMs: number
}

/** The state of a member and why. */
export interface Verdict {
  state: MemberState
  reason: MemberReason
}

/**
 * Works out the state of a member.
 *
 * @param evidence what is known
 * @param thresholds the bounds in milliseconds
 * @param nowMs the time in milliseconds
 * @returns the state and its reason
 *
 * @example
 * ```ts
 * const thresholds = { silentMs: 1500, stalledMs: 1500, goneMs: 10000, hintMs: 10000 }
 * console.log(judge({ connections: 1, seenMs: 0, draining: false }, thresholds, 10).state)
 * ```
 */
export function judge (evidence: Evidence, thresholds: Thresholds, nowMs: number): Verdict {
  const { listed, connections, brokenMs, draining } = evidence
  const hint = freshHint(evidence, thresholds, nowMs)
  if (isGone(evidence, thresholds, nowMs, hint)) {
    return { state: MemberState.Gone, reason: listed === undefined ? MemberReason.NotListed : MemberReason.Disconnected }
  }
  if (draining) return { state: MemberState.Leaving, reason: MemberReason.Draining }
  if (listed === HostState.Leaving) return { state: MemberState.Leaving, reason: MemberReason.ListedLeaving }
  if (hint === 'leaving') return { state: MemberState.Leaving, reason: MemberReason.Reported }
  if (connections === 0 && brokenMs !== undefined) return suspect(MemberReason.Disconnected)
  if (connections > 0 && nowMs - evidence.seenMs > thresholds.silentMs) return suspect(MemberReason.Silent)
  if (nowMs - (evidence.movedMs ?? nowMs) > thresholds.stalledMs) return suspect(MemberReason.Stalled)
  if (hint !== undefined) return suspect(MemberReason.Reported)
  if (connections === 0) return { state: MemberState.Alive, reason: MemberReason.Listed }
  const reason = evidence.progress === undefined ? MemberReason.Connected : MemberReason.Progress
  return { state: MemberState.Alive, reason }
}

function suspect (reason: MemberReason): Verdict {
  return { state: MemberState.Suspect, reason }
}

function isGone (evidence: Evidence, thresholds: Thresholds, nowMs: number, hint: string | undefined): boolean {
  if (evidence.connections > 0) return false
  if (evidence.listed === undefined) return evidence.brokenMs === undefined || nowMs - evidence.brokenMs > thresholds.silentMs
  if (hint === 'gone' && evidence.brokenMs !== undefined) return true
  return evidence.brokenMs !== undefined && nowMs - evidence.brokenMs > thresholds.goneMs
}

/** Returns a peer's report while it is fresh and nothing that this process saw itself speaks against it. */
function freshHint (evidence: Evidence, thresholds: Thresholds, nowMs: number): 'suspect' | 'leaving' | 'gone' | undefined {
  const { hint, connections, movedMs } = evidence
  if (hint === undefined || nowMs - hint.atMs > thresholds.hintMs) return undefined
  const movedSince = connections > 0 && movedMs !== undefined && movedMs > hint.atMs
  return movedSince && hint.state !== 'leaving' ? undefined : hint.state
}
