/**
 * Chooses the peers with which a process exchanges configuration.
 */
import { chooseReaders, rankNames } from './choose_readers.ts'
import type { SubsetMember } from './choose_subset.ts'
import { hashText } from './rendezvous_score.ts'

/** Configures the choice of relay peers. */
export interface RelayPeersOptions {
  /** Name of the choosing process; it need not be on the list yet. */
  self: string
  members: SubsetMember[]
  /** Readers in each availability zone; they are the roots. */
  readersPerZone: number
  /** Most children of a process in each tree. */
  fanOut: number
}

/** Lists the relay peers of a process. */
export interface RelayPeers {
  /** True when the process watches the configuration service. */
  isReader: boolean
  /** Processes that push changes to this one. */
  parents: string[]
  /** Processes to which this one pushes changes. */
  children: string[]
  /** Readers of other availability zones with which this reader exchanges changes. */
  crossZone: string[]
}

const trees = ['a', 'b']
const crossZoneLinks = 3

/**
 * Chooses the peers with which a process exchanges configuration.
 *
 * The members of each availability zone form two trees with bounded fan-out over different orders, with the zone's readers as roots, so
 * that each process has two parents and the loss of any one cuts nobody off. Readers are linked to readers of other
 * zones. Everyone works the trees out from the host list; where two lists differ, the digests close the gap.
 *
 * @param options the process, the members and the bounds
 * @returns the peers
 *
 * @example
 * ```ts
 * import { chooseRelayPeers } from 'briarloom/core/subset'
 *
 * const place = { availabilityZone: 'levis', region: 'qc-est' }
 * const members = ['e1', 'e2', 'e3'].map((name) => ({ name, ...place }))
 * const peers = chooseRelayPeers({ self: 'e1', members, readersPerZone: 1, fanOut: 4 })
 * console.assert(peers.isReader ? peers.children.length > 0 : peers.parents.length > 0)
 * ```
 */
export function chooseRelayPeers (options: RelayPeersOptions): RelayPeers {
  const { self, members, readersPerZone, fanOut } = options
  const readers = chooseReaders({ members, perZone: readersPerZone })
  const zone = members.find((member) => member.name === self)?.availabilityZone
  const names = members.filter((member) => member.availabilityZone === zone).map((member) => member.name)
  const roots = readers.filter((name) => names.includes(name))
  const parents = new Set<string>()
  const children = new Set<string>()
  for (const tree of trees) {
    const others = names.filter((name) => !roots.includes(name))
    const order = [...roots, ...rankNames(others, `${zone}/${tree}`)]
    const place = order.indexOf(self)
    const parent = order[Math.floor((place - roots.length) / fanOut)]
    if (place >= roots.length && parent !== undefined) parents.add(parent)
    const firstChild = roots.length + place * fanOut
    if (place >= 0) order.slice(firstChild, firstChild + fanOut).forEach((child) => children.add(child))
  }
  const isReader = roots.includes(self)
  const crossZone = isReader ? chooseCrossZone(self, roots, readers) : []
  return { isReader, parents: [...parents], children: [...children], crossZone }
}

/** Links a reader to its fellow readers and, on a ring of all readers with chords, to readers of other zones. */
function chooseCrossZone (self: string, roots: string[], readers: string[]): string[] {
  const ring = [...readers].sort((a, b) => hashText(a) - hashText(b) || (a < b ? -1 : 1))
  const place = ring.indexOf(self)
  const links = new Set(roots)
  for (let link = 0; link < crossZoneLinks; link++) {
    const step = 2 ** link
    for (const index of [place + step, place - step]) {
      links.add(ring[((index % ring.length) + ring.length) % ring.length] ?? self)
    }
  }
  links.delete(self)
  return [...links]
}
