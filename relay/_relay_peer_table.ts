/**
 * The peers of a relay: its links, which this process chose from the host list, and its subscribers, which chose this process.
 */
import { chooseRelayPeers } from '../core/subset/mod.ts'
import type { RelayPeers, SubsetMember } from '../core/subset/mod.ts'
import { createPageJoiner } from './_pages.ts'
import type { PageJoiner } from './_pages.ts'

/** Describes one connected peer. */
export interface RelayPeer {
  /** Joins the parts of pages that the peer sends. */
  joiner: PageJoiner
  /** Highest revision up to which the peer is known to miss nothing. */
  revision: number
  /** Time in milliseconds of the last digest that the peer, not being a link, sent without being asked; absent when none. */
  subscribedMs?: number
}

/** Configures the table of relay peers. */
export interface RelayPeerTableOptions {
  self: SubsetMember
  readersPerZone: number
  fanOut: number
  /** Returns the current time in milliseconds. */
  now: () => number
}

/** Holds the connected peers of a relay and the links that this process chose. */
export interface RelayPeerTable {
  /** Recomputes the links from the processes of the host list. */
  setMembers (members: SubsetMember[]): void
  /** Returns the chosen links and whether this process is a reader. */
  chosenPeers (): RelayPeers
  /** Returns the names of the links, connected or not. */
  wantedPeers (): string[]
  /** Adds a connected peer with nothing known about it. */
  add (name: string): void
  remove (name: string): void
  /** Returns the entry of a peer; adds it when it is missing. */
  getOrAdd (name: string): RelayPeer
  /** Returns the names of the connected peers. */
  names (): string[]
  isLink (name: string): boolean
  /** Returns whether this process is a reader and the peer is one of its links across availability zones. */
  isLinkedReader (name: string): boolean
  /** Returns whether the peer subscribed within the lifetime of a subscription. */
  isSubscriber (name: string): boolean
  /** Starts or renews the subscription of a peer; has no effect on a new subscriber when the table is full. */
  addSubscriber (name: string): void
}

/** Subscribers renew with each digest; with the default period of 1 s, a subscription outlasts a few lost ones. */
const subscriptionLifetimeMs = 5_000

/** Bounds the number of pushes that one change causes. */
const maxSubscribers = 64

/** Creates a table of relay peers without links and without connected peers. */
export function createRelayPeerTable (options: RelayPeerTableOptions): RelayPeerTable {
  const { self, readersPerZone, fanOut, now } = options
  const peers = new Map<string, RelayPeer>()
  let chosen: RelayPeers = { isReader: false, parents: [], crossZone: [] }

  function wantedPeers (): string[] {
    return [...chosen.parents, ...chosen.crossZone]
  }

  function isSubscriber (name: string): boolean {
    const subscribedMs = peers.get(name)?.subscribedMs
    return subscribedMs !== undefined && now() - subscribedMs <= subscriptionLifetimeMs
  }

  function getOrAdd (name: string): RelayPeer {
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
    wantedPeers,
    add: (name) => { peers.set(name, { joiner: createPageJoiner(), revision: 0 }) },
    remove: (name) => { peers.delete(name) },
    getOrAdd,
    names: () => [...peers.keys()],
    isLink: (name) => chosen.parents.includes(name) || chosen.crossZone.includes(name),
    isLinkedReader: (name) => chosen.isReader && chosen.crossZone.includes(name),
    isSubscriber,
    addSubscriber (name) {
      const hasCapacity = [...peers.keys()].filter(isSubscriber).length < maxSubscribers
      if (hasCapacity || isSubscriber(name)) getOrAdd(name).subscribedMs = now()
    }
  }
}
