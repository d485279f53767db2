/**
 * The other entries: connections to them and the usage that evens out limits.
 */
import { MemberState } from '../core/membership/mod.ts'
import { rankNames } from '../core/subset/mod.ts'
import type { Limits } from '../core/limits/mod.ts'
import type { Member, MemberChange } from '../core/membership/mod.ts'
import type { Base } from '../daemon/mod.ts'

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
export function createPeerEntries (base: Base, self: string, limits: Limits): PeerEntries {
  const { timer, peers, members, links } = base

  function isFellow (member: Member): boolean {
    return member.process === 'entry' && member.name !== self && member.state !== MemberState.Gone
  }

  function refresh (): void {
    const entries = members.all().filter(isFellow)
    limits.entries(entries.length + 1)
    const nearest = new Set(rankNames(entries.map((member) => member.name), self).slice(0, maxFellows))
    links.want('fellows', entries.filter((member) => nearest.has(member.name)))
  }

  let silentPeriods = 0

  timer.every(sharePeriodMs, () => {
    const share = limits.share(timer.now())
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
