/**
 * Determines the state of a member from the evidence about it.
 */
import { HostState } from '../../source/mod.ts'
import { MemberReason, MemberState } from './_types.ts'

/** Evidence about one incarnation of a member; times are monotonic and in milliseconds. */
export interface Evidence {
  /** State in the host list; absent when the list does not contain the member. */
  listed?: HostState
  /** Number of open connections. */
  connections: number
  /** Time of the last message of the member, or at which it was first listed. */
  lastSeenMs: number
  /** Last value of the progress counter. */
  progress?: number
  /** Time at which the progress counter last changed or the member had no work of this process. */
  lastProgressMs?: number
  /** Time at which the last connection was closed; absent while one is open. */
  disconnectedMs?: number
  /** True when the member itself says that it is draining. */
  isDraining: boolean
  /** Last report of another peer. */
  report?: { state: 'suspect' | 'leaving' | 'gone', atMs: number }
}

/** Timeouts in milliseconds; `MembershipOptions` describes them. */
export interface Timeouts {
  heartbeatMs: number
  stallMs: number
  disconnectMs: number
  reportMs: number
}

/** State of a member and its reason. */
export interface MemberStatus {
  state: MemberState
  reason: MemberReason
}

/**
 * Determines the state of a member.
 *
 * @param evidence what is known about the member
 * @param timeouts the timeouts in milliseconds
 * @param nowMs the monotonic time in milliseconds
 * @returns the state and its reason
 *
 * @example
 * ```ts
 * const timeouts = { heartbeatMs: 1500, stallMs: 1500, disconnectMs: 10000, reportMs: 10000 }
 * console.log(evaluateMember({ connections: 1, lastSeenMs: 0, isDraining: false }, timeouts, 10).state)
 * ```
 */
export function evaluateMember (evidence: Evidence, timeouts: Timeouts, nowMs: number): MemberStatus {
  const { listed, connections, disconnectedMs, isDraining } = evidence
  const report = getValidReport(evidence, timeouts, nowMs)
  if (isGone(evidence, timeouts, nowMs, report)) {
    return { state: MemberState.Gone, reason: listed === undefined ? MemberReason.NotListed : MemberReason.Disconnected }
  }
  if (isDraining) return { state: MemberState.Leaving, reason: MemberReason.Draining }
  if (listed === HostState.Leaving) return { state: MemberState.Leaving, reason: MemberReason.ListedLeaving }
  if (report === 'leaving') return { state: MemberState.Leaving, reason: MemberReason.Reported }
  if (connections === 0 && disconnectedMs !== undefined) return suspectBecause(MemberReason.Disconnected)
  if (connections > 0 && nowMs - evidence.lastSeenMs > timeouts.heartbeatMs) return suspectBecause(MemberReason.Silent)
  if (nowMs - (evidence.lastProgressMs ?? nowMs) > timeouts.stallMs) return suspectBecause(MemberReason.Stalled)
  if (report !== undefined) return suspectBecause(MemberReason.Reported)
  if (connections === 0) return { state: MemberState.Alive, reason: MemberReason.Listed }
  const reason = evidence.progress === undefined ? MemberReason.Connected : MemberReason.Progress
  return { state: MemberState.Alive, reason }
}

function suspectBecause (reason: MemberReason): MemberStatus {
  return { state: MemberState.Suspect, reason }
}

function isGone (evidence: Evidence, timeouts: Timeouts, nowMs: number, report: string | undefined): boolean {
  if (evidence.connections > 0) return false
  if (evidence.listed === undefined) return evidence.disconnectedMs === undefined || nowMs - evidence.disconnectedMs > timeouts.heartbeatMs
  if (report === 'gone' && evidence.disconnectedMs !== undefined) return true
  return evidence.disconnectedMs !== undefined && nowMs - evidence.disconnectedMs > timeouts.disconnectMs
}

/**
 * Returns the state that a peer reported; undefined when the report has expired, or when this process has observed progress
 * since then that contradicts it.
 */
function getValidReport (evidence: Evidence, timeouts: Timeouts, nowMs: number): 'suspect' | 'leaving' | 'gone' | undefined {
  const { report, connections, lastProgressMs } = evidence
  if (report === undefined || nowMs - report.atMs > timeouts.reportMs) return undefined
  const hasProgressedSince = connections > 0 && lastProgressMs !== undefined && lastProgressMs > report.atMs
  return hasProgressedSince && report.state !== 'leaving' ? undefined : report.state
}
