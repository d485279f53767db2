/**
 * The other entries: connections to them and the usage that evens out limits.
 */
import { MemberState } from '../core/membership/mod.ts'
import { rankNames } from '../core/subset/mod.ts'
import type { Limiter } from '../core/limits/mod.ts'
import type { Member, MemberChange } from '../core/membership/mod.ts'
import type { DaemonBase } from '../daemon/mod.ts'

/** Follows the other entries. */
export interface PeerEntries {
  onMembers (changes: MemberChange[]): void
}

const sharePeriodMs = 200

/** Periods after which an entry without usage says so; the others then divide its part. */
const idlePeriods = 4

/** Entries that one entry connects to at most. */
const maxFellows = 8

/**
 * Creates the view of the other entries.
 */
export function createPeerEntries (base: DaemonBase, self: string, limits: Limiter): PeerEntries {
  const { timer, peers, members, connectionManager: connectionManager } = base

  function isFellow (member: Member): boolean {
    return member.process === 'entry' && member.name !== self && member.state !== MemberState.Gone
  }

  function refresh (): void {
    const entries = members.list().filter(isFellow)
    limits.setEntryCount(entries.length + 1)
    const nearest = new Set(rankNames(entries.map((member) => member.name), self).slice(0, maxFellows))
    connectionManager.setWanted('fellows', entries.filter((member) => nearest.has(member.name)))
  }

  let silentPeriods = 0

  timer.every(sharePeriodMs, () => {
    const share = limits.createUsageShare(timer.now())
    silentPeriods += 1
    if (share.usage.length === 0 && silentPeriods < idlePeriods) return
    silentPeriods = 0
    for (const peer of peers.list()) {
      if (peer.process === 'entry') peers.send(peer.name, share)
    }
  })

  return {
    onMembers (changes) {
      if (changes.some(({ member }) => member.process === 'entry')) refresh()
    }
  }
}
