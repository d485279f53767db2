/**
 * The view that one process has of the others, from the host list, its own connections and its peers' reports.
 */

import type { HostEntry } from '../../source/mod.ts'
import { judge } from './_judge.ts'
import type { Evidence, Thresholds } from './_judge.ts'
import { MemberReason, MemberState } from './_types.ts'
import type { Member, MemberChange, Membership, PeerHint, PeerIdentity, PeerProgress } from './_types.ts'

/** Reasons that come from the host list or from peers, not from this process's own connections. */
const hearsay = new Set([MemberReason.Listed, MemberReason.ListedLeaving, MemberReason.NotListed, MemberReason.Reported])

/** Configures a membership view. */
export interface MembershipOptions {
  /** Silence in milliseconds on a connection after which a member is suspect; 1500 by default. */
  silentMs?: number
  /** Time in milliseconds without progress, while work is owed, after which a member is suspect; 1500 by default. */
  stalledMs?: number
  /** Time in milliseconds without a connection after which a suspect member is gone; 10000 by default. */
  goneMs?: number
  /** Time in milliseconds for which a peer's report counts; 10000 by default. */
  hintMs?: number
}

/**
 * Creates the view that one process has of the others.
 *
 * Each state is a hint: a wrong one costs a retry. What a member says of itself counts more than what the host list says, and
 * both count more than a third process. A member that says it is leaving stays so, whatever a stale list says, until it
 * says otherwise or starts anew with a higher incarnation.
 *
 * @param options the time bounds in milliseconds
 * @returns the view, empty at first; every method returns the members whose state changed
 *
 * @example
 * ```ts
 * import { createMembership } from 'briarloom/core/membership'
 *
 * const membership = createMembership()
 * const place = { availabilityZone: 'levis', region: 'qc-est' }
 * membership.connected({ name: 'b1', process: 'agent', address: '127.0.0.1:7000', incarnation: 1, ...place }, 0)
 * membership.draining('b1', 1, true, 100)
 * console.assert(!membership.acceptsWork('b1'))
 * ```
 */
export function createMembership (options: MembershipOptions = {}): Membership {
  const thresholds: Thresholds = {
    silentMs: options.silentMs ?? 1_500,
    stalledMs: options.stalledMs ?? 1_500,
    goneMs: options.goneMs ?? 10_000,
    hintMs: options.hintMs ?? 10_000
  }
  const members = new Map<string, { member: Member, evidence: Evidence }>()

  function update (name: string, nowMs: number): MemberChange[] {
    const known = members.get(name)
    if (known === undefined) return []
    const { state, reason } = judge(known.evidence, thresholds, nowMs)
    const { state: from, reason: earlier } = known.member
    known.member = { ...known.member, state, reason }
    const forgets = state === MemberState.Gone && known.evidence.listed === undefined
    if (forgets) members.delete(name)
    const own = !hearsay.has(reason)
    // What a peer or the list said first still counts as a change when this process sees it itself.
    const isConfirmed = own && hearsay.has(earlier) && state !== MemberState.Alive
    return state === from && !isConfirmed ? [] : [{ member: known.member, from, isLocallyObserved: own }]
  }

  function add (identity: Omit<PeerIdentity, 'incarnation'>, nowMs: number): { member: Member, evidence: Evidence } {
    const { name, process, address, availabilityZone, region } = identity
    const base = { name, process, address, availabilityZone, region, incarnation: 0 }
    const member: Member = { ...base, state: MemberState.Gone, reason: MemberReason.NotListed }
    const known = { member, evidence: { seenMs: nowMs, connections: 0, draining: false } }
    members.set(name, known)
    return known
  }

  /** Returns a member's entry when the incarnation is current; a newer one wipes what was known of the older. */
  function current (name: string, incarnation: number, nowMs: number): { member: Member, evidence: Evidence } | undefined {
    const known = members.get(name)
    if (known === undefined || incarnation < known.member.incarnation) return undefined
    if (incarnation > known.member.incarnation) {
      known.member = { ...known.member, incarnation }
      const { listed } = known.evidence
      known.evidence = { seenMs: nowMs, connections: 0, draining: false, ...(listed && { listed }) }
    }
    return known
  }

  function list (hosts: HostEntry[], nowMs: number): MemberChange[] {
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
      changes.push(...update(name, nowMs))
    }
    return changes
  }

  function connected (peer: PeerIdentity, nowMs: number): MemberChange[] {
    const { name, address, availabilityZone, region } = peer
    if (!members.has(name)) add(peer, nowMs)
    const known = current(name, peer.incarnation, nowMs)
    if (known === undefined) return []
    known.member = { ...known.member, address, availabilityZone, region }
    const { evidence } = known
    evidence.connections++
    evidence.seenMs = nowMs
    evidence.movedMs = nowMs
    delete evidence.brokenMs
    return update(name, nowMs)
  }

  function disconnected (name: string, incarnation: number, nowMs: number): MemberChange[] {
    const known = members.get(name)
    if (known === undefined || known.member.incarnation !== incarnation) return []
    const { evidence } = known
    evidence.connections = Math.max(0, evidence.connections - 1)
    if (evidence.connections === 0) evidence.brokenMs = nowMs
    return update(name, nowMs)
  }

  function progressed (progress: PeerProgress, nowMs: number): MemberChange[] {
    const known = current(progress.name, progress.incarnation, nowMs)
    if (known === undefined) return []
    const { evidence } = known
    evidence.seenMs = nowMs
    const moved = progress.progress !== evidence.progress || !progress.hasPendingWork
    if (moved) evidence.movedMs = nowMs
    evidence.progress = progress.progress
    return update(progress.name, nowMs)
  }

  function draining (name: string, incarnation: number, isDraining: boolean, nowMs: number): MemberChange[] {
    const known = current(name, incarnation, nowMs)
    if (known === undefined) return []
    known.evidence.seenMs = nowMs
    known.evidence.draining = isDraining
    return update(name, nowMs)
  }

  function reported (hint: PeerHint, nowMs: number): MemberChange[] {
    const known = members.get(hint.name)
    if (known === undefined || hint.incarnation < known.member.incarnation) return []
    known.evidence.hint = { state: hint.state, atMs: nowMs }
    return update(hint.name, nowMs)
  }

  function tick (nowMs: number): MemberChange[] {
    const changes: MemberChange[] = []
    for (const [name, { evidence }] of members) {
      // Nearly all members are known from the host list only, and time alone does not change their state.
      const dependsOnTime = evidence.connections > 0 || evidence.brokenMs !== undefined || evidence.hint !== undefined
      if (dependsOnTime) changes.push(...update(name, nowMs))
    }
    return changes
  }

  return {
    applyHostList: list,
    recordConnection: connected,
    recordDisconnection: disconnected,
    recordHeartbeat: progressed,
    recordDraining: draining,
    recordPeerReport: reported,
    updateStates: tick,
    get: (name) => members.get(name)?.member,
    list: () => [...members.values()].map(({ member }) => member)
      .filter(({ state }) => state !== MemberState.Gone).sort((a, b) => a.name < b.name ? -1 : 1),
    acceptsWork (name, asLastResort = false) {
      const state = members.get(name)?.member.state
      return state === MemberState.Alive || (asLastResort && state === MemberState.Suspect)
    }
  }
}
