/**
 * The peers of a relay: links that it chose, and subscribers that chose it.
 */
import { chooseRelayPeers } from '../core/subset/mod.ts'
import type { RelayPeers, SubsetMember } from '../core/subset/mod.ts'
import { createPageJoiner } from './_pages.ts'
import type { PageJoiner } from './_pages.ts'

/** Describes one connected peer. */
export interface RelayPeer {
  joiner: PageJoiner
  /** Highest revision that the peer is known to have whole. */
  revision: number
  /** When the peer last sent a digest of its own accord without being a link. */
  subscribedMs?: number
}

/** Configures the table of peers. */
export interface RelayPeerTableOptions {
  self: SubsetMember
  readersPerZone: number
  fanOut: number
  /** Returns the time in milliseconds. */
  now: () => number
}

/** Holds the peers of a relay. */
export interface RelayPeerTable {
  setMembers (members: SubsetMember[]): void
  chosenPeers (): RelayPeers
  /** Returns the names of the links, connected or not. */
  wantedPeers (): string[]
  add (name: string): void
  remove (name: string): void
  /** Returns the entry of a peer, new when it is not known. */
  getOrAdd (name: string): RelayPeer
  names (): string[]
  isLink (name: string): boolean
  /** Returns whether both this process and the peer are readers that are linked. */
  isLinkedReader (name: string): boolean
  isSubscriber (name: string): boolean
  /** Notes that a peer follows this process; the number of such peers is bounded. */
  addSubscriber (name: string): void
}

const subscriptionMs = 5_000
const maxSubscribers = 64

/** Creates the table of peers of a relay. */
export function createRelayPeerTable (options: RelayPeerTableOptions): RelayPeerTable {
  const { self, readersPerZone, fanOut, now } = options
  const peers = new Map<string, RelayPeer>()
  let chosen: RelayPeers = { isReader: false, parents: [], crossZone: [] }

  function wanted (): string[] {
    return [...chosen.parents, ...chosen.crossZone]
  }

  function isSubscriber (name: string): boolean {
    const subscribedMs = peers.get(name)?.subscribedMs
    return subscribedMs !== undefined && now() - subscribedMs <= subscriptionMs
  }

  function of (name: string): RelayPeer {
    const peer = peers.get(name) ?? { joiner: createPageJoiner(), revision: 0 }
    peers.set(name, peer)
    return peer
  }

  return {
    setMembers (members) {
      const others = members.filter((member) => member.name !== self.name)
      chosen = chooseRelayPeers({ self: self.name, members: [...others, self], readersPerZone, fanOut })
    },
    chosenPeers: () => chosen,
    wantedPeers: wanted,
    add: (name) => { peers.set(name, { joiner: createPageJoiner(), revision: 0 }) },
    remove: (name) => { peers.delete(name) },
    getOrAdd: of,
    names: () => [...peers.keys()],
    isLink: (name) => chosen.parents.includes(name) || chosen.crossZone.includes(name),
    isLinkedReader: (name) => chosen.isReader && chosen.crossZone.includes(name),
    isSubscriber,
    addSubscriber (name) {
      const hasRoom = [...peers.keys()].filter(isSubscriber).length < maxSubscribers
      if (hasRoom || isSubscriber(name)) of(name).subscribedMs = now()
    }
  }
}
