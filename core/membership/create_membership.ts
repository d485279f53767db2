/**
 * The view that one process has of the others. It is derived from the host list, its own connections and reports of peers.
 */

import type { HostEntry } from '../../source/mod.ts'
import { evaluateMember } from './_evaluate_member.ts'
import type { Evidence, Timeouts } from './_evaluate_member.ts'
import { MemberReason, MemberState } from './_types.ts'
import type { Member, MemberChange, Membership, PeerHint, PeerIdentity, PeerProgress } from './_types.ts'

/** Reasons that come from the host list or from peers rather than from a connection of this process. */
const secondHandReasons = new Set([MemberReason.Listed, MemberReason.ListedLeaving, MemberReason.NotListed, MemberReason.Reported])

/** Options of a membership view. */
export interface MembershipOptions {
  /** Time in milliseconds without a message on a connection after which a member is suspect; 1500 by default. */
  heartbeatTimeoutMs?: number
  /** Time in milliseconds without progress after which a member that has work is suspect; 1500 by default. */
  stallTimeoutMs?: number
  /** Time in milliseconds without a connection after which a suspect member is gone; 10000 by default. */
  disconnectTimeoutMs?: number
  /** Time in milliseconds after which a report of a peer expires; 10000 by default. */
  reportTtlMs?: number
}

/**
 * Creates the view that one process has of the others.
 *
 * Each state is a hint, and a wrong one costs a retry. Messages of the member itself take precedence over the host list, and
 * both take precedence over reports of other peers. A member that says it is draining stays leaving, even if an outdated host
 * list says otherwise, until it says that it is not draining or restarts with a higher incarnation.
 *
 * @param options the timeouts in milliseconds
 * @returns the view, without members
 *
 * @example
 * ```ts
 * import { createMembership } from 'briarloom/core/membership'
 *
 * const membership = createMembership()
 * const place = { availabilityZone: 'levis', region: 'qc-est' }
 * membership.recordConnection({ name: 'b1', process: 'agent', address: '127.0.0.1:7000', incarnation: 1, ...place }, 0)
 * membership.recordDraining('b1', 1, true, 100)
 * console.assert(!membership.acceptsWork('b1'))
 * ```
 */
export function createMembership (options: MembershipOptions = {}): Membership {
  const timeouts: Timeouts = {
    heartbeatMs: options.heartbeatTimeoutMs ?? 1_500,
    stallMs: options.stallTimeoutMs ?? 1_500,
    disconnectMs: options.disconnectTimeoutMs ?? 10_000,
    reportMs: options.reportTtlMs ?? 10_000
  }
  const members = new Map<string, { member: Member, evidence: Evidence }>()

  function updateState (name: string, nowMs: number): MemberChange[] {
    const known = members.get(name)
    if (known === undefined) return []
    const { state, reason } = evaluateMember(known.evidence, timeouts, nowMs)
    const { state: from, reason: previousReason } = known.member
    known.member = { ...known.member, state, reason }
    const isForgotten = state === MemberState.Gone && known.evidence.listed === undefined
    if (isForgotten) members.delete(name)
    const isLocallyObserved = !secondHandReasons.has(reason)
    // A state that is already known from a peer or the host list is reported again when this process observes its cause itself.
    const isConfirmed = isLocallyObserved && secondHandReasons.has(previousReason) && state !== MemberState.Alive
    return state === from && !isConfirmed ? [] : [{ member: known.member, from, isLocallyObserved }]
  }

  function add (identity: Omit<PeerIdentity, 'incarnation'>, nowMs: number): { member: Member, evidence: Evidence } {
    const { name, process, address, availabilityZone, region } = identity
    const base = { name, process, address, availabilityZone, region, incarnation: 0 }
    const member: Member = { ...base, state: MemberState.Gone, reason: MemberReason.NotListed }
    const known = { member, evidence: { lastSeenMs: nowMs, connections: 0, isDraining: false } }
    members.set(name, known)
    return known
  }

  /** Returns a member; undefined for an older incarnation. A newer incarnation discards the evidence about the older one. */
  function getCurrent (name: string, incarnation: number, nowMs: number): { member: Member, evidence: Evidence } | undefined {
    const known = members.get(name)
    if (known === undefined || incarnation < known.member.incarnation) return undefined
    if (incarnation > known.member.incarnation) {
      known.member = { ...known.member, incarnation }
      const { listed } = known.evidence
      known.evidence = { lastSeenMs: nowMs, connections: 0, isDraining: false, ...(listed && { listed }) }
    }
    return known
  }

  function applyHostList (hosts: HostEntry[], nowMs: number): MemberChange[] {
    const listed = new Map(hosts.map((host) => [host.name, host]))
    const changes: MemberChange[] = []
    for (const host of hosts) {
      const known = members.get(host.name) ?? add({ ...host, process: host.kind }, nowMs)
      const { address, availabilityZone, region } = host
      if (known.evidence.connections === 0) known.member = { ...known.member, address, availabilityZone, region }
      known.evidence.listed = host.state
    }
    for (const [name, { evidence }] of members) {
      if (!listed.has(name)) delete evidence.listed
      changes.push(...updateState(name, nowMs))
    }
    return changes
  }

  function recordConnection (peer: PeerIdentity, nowMs: number): MemberChange[] {
    const { name, address, availabilityZone, region } = peer
    if (!members.has(name)) add(peer, nowMs)
    const known = getCurrent(name, peer.incarnation, nowMs)
    if (known === undefined) return []
    known.member = { ...known.member, address, availabilityZone, region }
    const { evidence } = known
    evidence.connections++
    evidence.lastSeenMs = nowMs
    evidence.lastProgressMs = nowMs
    delete evidence.disconnectedMs
    return updateState(name, nowMs)
  }

  function recordDisconnection (name: string, incarnation: number, nowMs: number): MemberChange[] {
    const known = members.get(name)
    if (known === undefined || known.member.incarnation !== incarnation) return []
    const { evidence } = known
    evidence.connections = Math.max(0, evidence.connections - 1)
    if (evidence.connections === 0) evidence.disconnectedMs = nowMs
    return updateState(name, nowMs)
  }

  function recordHeartbeat (progress: PeerProgress, nowMs: number): MemberChange[] {
    const known = getCurrent(progress.name, progress.incarnation, nowMs)
    if (known === undefined) return []
    const { evidence } = known
    evidence.lastSeenMs = nowMs
    const hasProgressed = progress.progress !== evidence.progress || !progress.hasPendingWork
    if (hasProgressed) evidence.lastProgressMs = nowMs
    evidence.progress = progress.progress
    return updateState(progress.name, nowMs)
  }

  function recordDraining (name: string, incarnation: number, isDraining: boolean, nowMs: number): MemberChange[] {
    const known = getCurrent(name, incarnation, nowMs)
    if (known === undefined) return []
    known.evidence.lastSeenMs = nowMs
    known.evidence.isDraining = isDraining
    return updateState(name, nowMs)
  }

  function recordPeerReport (report: PeerHint, nowMs: number): MemberChange[] {
    const known = members.get(report.name)
    if (known === undefined || report.incarnation < known.member.incarnation) return []
    known.evidence.report = { state: report.state, atMs: nowMs }
    return updateState(report.name, nowMs)
  }

  function updateStates (nowMs: number): MemberChange[] {
    const changes: MemberChange[] = []
    for (const [name, { evidence }] of members) {
      // Most members are known from the host list only, and their state does not change with time.
      const dependsOnTime = evidence.connections > 0 || evidence.disconnectedMs !== undefined || evidence.report !== undefined
      if (dependsOnTime) changes.push(...updateState(name, nowMs))
    }
    return changes
  }

  return {
    applyHostList,
    recordConnection,
    recordDisconnection,
    recordHeartbeat,
    recordDraining,
    recordPeerReport,
    updateStates,
    get: (name) => members.get(name)?.member,
    list: () => [...members.values()].map(({ member }) => member)
      .filter(({ state }) => state !== MemberState.Gone).sort((a, b) => a.name < b.name ? -1 : 1),
    acceptsWork (name, asLastResort = false) {
      const state = members.get(name)?.member.state
      return state === MemberState.Alive || (asLastResort && state === MemberState.Suspect)
    }
  }
}
