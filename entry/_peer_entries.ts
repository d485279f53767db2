/**
 * Connections to other entries, and the usage messages by which entries divide the callers' limits.
 */
import { MemberState } from '../core/membership/mod.ts'
import { rankNames } from '../core/subset/mod.ts'
import type { Limiter } from '../core/limits/mod.ts'
import type { Member, MemberChange } from '../core/membership/mod.ts'
import type { DaemonBase } from '../daemon/mod.ts'

/** Maintains the connections to other entries. */
export interface PeerEntries {
  onMemberChanges (changes: MemberChange[]): void
}

/** Period of the usage messages in milliseconds; equals the default `sharePeriodMs` of the limits. */
const usagePeriodMs = 200

/** Periods without usage after which an entry sends an empty message, so that the others divide its part of the limits. */
const maxSilentPeriods = 4

/** Largest number of entries that one entry connects to. */
const maxPeerEntries = 8

/**
 * Creates the connections to other entries and starts the usage messages.
 */
export function createPeerEntries (base: DaemonBase, self: string, limiter: Limiter): PeerEntries {
  const { timer, peers, members, connectionManager } = base

  function isOtherEntry (member: Member): boolean {
    return member.process === 'entry' && member.name !== self && member.state !== MemberState.Gone
  }

  function updateConnections (): void {
    const entries = members.list().filter(isOtherEntry)
    limiter.setEntryCount(entries.length + 1)
    const chosen = new Set(rankNames(entries.map((member) => member.name), self).slice(0, maxPeerEntries))
    connectionManager.setWanted('peer entries', entries.filter((member) => chosen.has(member.name)))
  }

  let silentPeriods = 0

  timer.every(usagePeriodMs, () => {
    const share = limiter.createUsageShare(timer.now())
    silentPeriods += 1
    if (share.usage.length === 0 && silentPeriods < maxSilentPeriods) return
    silentPeriods = 0
    for (const peer of peers.list()) {
      if (peer.process === 'entry') peers.send(peer.name, share)
    }
  })

  return {
    onMemberChanges (changes) {
      if (changes.some(({ member }) => member.process === 'entry')) updateConnections()
    }
  }
}
