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
  /** Children of a process in each tree. */
  fanOut: number
}

/** Lists the relay peers of a process. */
export interface RelayPeers {
  /** True when the process watches the configuration service. */
  isReader: boolean
  /** Processes that push changes to this one. */
  parents: string[]
  /** Readers with which this process exchanges changes across availability zones; only readers and their children have some. */
  crossZone: string[]
}

const readerChords = 3
const deputyLinks = 2

/**
 * Chooses the peers with which a process exchanges configuration.
 *
 * The members of each availability zone form two trees with bounded fan-out over different orders, with the zone's readers as roots, so
 * that each process has two parents and the loss of any one cuts nobody off. Readers are linked to readers of other
 * zones, and so are their children in the first tree, so that a zone goes on without its readers. Everyone works the trees
 * out from the host list; where two lists differ, the digests close the gap.
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
 * console.assert(peers.isReader || peers.parents.length > 0)
 * ```
 */
export function chooseRelayPeers (options: RelayPeersOptions): RelayPeers {
  const { self, members, readersPerZone, fanOut } = options
  const readers = chooseReaders({ members, perZone: readersPerZone })
  const zone = members.find((member) => member.name === self)?.availabilityZone ?? ''
  const names = members.filter((member) => member.availabilityZone === zone).map((member) => member.name)
  const ranked = rankNames(names, zone)
  const roots = ranked.slice(0, readersPerZone)
  const rest = ranked.slice(readersPerZone)
  const first = parentIn(ranked, self, options)
  const second = parentIn([...roots, ...rankNames(rest, `${zone}/second`)], self, options, first)
  const parents = [first, second].filter((name) => name !== undefined)
  const isReader = roots.includes(self)
  const isDeputy = !isReader && ranked.indexOf(self) < roots.length * (1 + fanOut)
  const crossZone = isReader ? linkReaders(self, roots, readers) : isDeputy ? linkDeputy(self, roots, readers) : []
  return { isReader, parents, crossZone }
}

/** Returns the parent of a process in one tree, other than `taken` where there is another. */
function parentIn (order: string[], self: string, options: RelayPeersOptions, taken?: string): string | undefined {
  const place = order.indexOf(self)
  if (place < options.readersPerZone) return undefined
  const index = Math.floor((place - options.readersPerZone) / options.fanOut)
  if (order[index] !== taken) return order[index]
  const neighbour = order[index === 0 ? 1 : index - 1]
  return neighbour === self ? undefined : neighbour
}

/** Links a reader to its fellow readers and, on a ring of all readers with chords, to readers of other zones. */
function linkReaders (self: string, roots: string[], readers: string[]): string[] {
  const ring = [...readers].sort((a, b) => hashText(a) - hashText(b) || (a < b ? -1 : 1))
  const place = ring.indexOf(self)
  const links = new Set(roots)
  for (let chord = 0; chord < readerChords; chord++) {
    const step = 2 ** chord
    for (const index of [place + step, place - step]) {
      links.add(ring[((index % ring.length) + ring.length) % ring.length] ?? self)
    }
  }
  links.delete(self)
  return [...links]
}

function linkDeputy (self: string, roots: string[], readers: string[]): string[] {
  return rankNames(readers.filter((name) => !roots.includes(name)), self).slice(0, deputyLinks)
}
