/**
 * The choice of the peers with which a process exchanges configuration.
 */
import { chooseReaders, rankNames } from './choose_readers.ts'
import type { SubsetMember } from './choose_subset.ts'
import { hashText } from './rendezvous_score.ts'

/** Configures the choice of relay peers. */
export interface RelayPeersOptions {
  /** Name of the process that chooses; it need not be on the list yet. */
  self: string
  /** Processes on the host list. */
  members: SubsetMember[]
  /** Number of readers in each availability zone; they are the roots of the trees. */
  readersPerZone: number
  /** Number of children of a process in each tree. */
  fanOut: number
}

/** Lists the relay peers of a process. */
export interface RelayPeers {
  /** True when the process watches the configuration service. */
  isReader: boolean
  /** Processes that push changes to this one. */
  parents: string[]
  /**
   * Readers to which this process is linked, mainly of other availability zones; empty unless it is a reader or, in the first tree, a
   * child of one.
   */
  crossZone: string[]
}

/** Number of chord lengths on the ring of readers: 1, 2 and 4 steps in each direction. */
const chordLengths = 3
/** Number of readers of other availability zones to which a child of a reader is linked. */
const readerChildLinks = 2

/**
 * Chooses the peers with which a process exchanges configuration.
 *
 * The members of each availability zone form two trees with bounded fan-out over different orders, with the readers of the zone as
 * roots. Each process thus has two parents, and the loss of any one process disconnects no other. Readers are linked to readers of
 * other zones, and so are their children in the first tree, so that a zone still receives changes without its readers. Every process
 * derives the trees from its host list; where two lists differ, the exchange of digests makes up for missing links.
 *
 * @param options the process, the members and the limits
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
  const first = findParent(ranked, self, options)
  const second = findParent([...roots, ...rankNames(rest, `${zone}/second`)], self, options, first)
  const parents = [first, second].filter((name) => name !== undefined)
  const isReader = roots.includes(self)
  const isReaderChild = !isReader && ranked.indexOf(self) < roots.length * (1 + fanOut)
  const crossZone = isReader ? linkReaders(self, roots, readers) : isReaderChild ? linkReaderChild(self, roots, readers) : []
  return { isReader, parents, crossZone }
}

/** Returns the parent of a process in one tree, other than `taken` if possible; undefined when it has none. */
function findParent (order: string[], self: string, options: RelayPeersOptions, taken?: string): string | undefined {
  const position = order.indexOf(self)
  if (position < options.readersPerZone) return undefined
  const index = Math.floor((position - options.readersPerZone) / options.fanOut)
  if (order[index] !== taken) return order[index]
  const neighbour = order[index === 0 ? 1 : index - 1]
  return neighbour === self ? undefined : neighbour
}

/** Links a reader to the readers of its zone and, by a ring of all readers with chords, to readers of other zones. */
function linkReaders (self: string, roots: string[], readers: string[]): string[] {
  const ring = [...readers].sort((a, b) => hashText(a) - hashText(b) || (a < b ? -1 : 1))
  const position = ring.indexOf(self)
  const links = new Set(roots)
  for (let exponent = 0; exponent < chordLengths; exponent++) {
    const step = 2 ** exponent
    for (const index of [position + step, position - step]) {
      links.add(ring[((index % ring.length) + ring.length) % ring.length] ?? self)
    }
  }
  links.delete(self)
  return [...links]
}

/** Links a child of a reader to readers of other zones. */
function linkReaderChild (self: string, roots: string[], readers: string[]): string[] {
  return rankNames(readers.filter((name) => !roots.includes(name)), self).slice(0, readerChildLinks)
}
