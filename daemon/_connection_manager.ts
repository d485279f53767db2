/**
 * Merges the wishes of several parts of a process for connections to peers.
 */
import type { Peers } from '../peer/mod.ts'

/** A peer that some part wants to be connected to. */
export interface WantedPeer {
  name: string
  /** Peer address `ip:port`. */
  address: string
}

/** Keeps the connections that any part wants. */
export interface ConnectionManager {
  /** Replaces the wishes of one part. */
  setWanted (part: string, wanted: WantedPeer[]): void
}

/**
 * Creates the keeper of connections.
 */
export function createConnectionManager (peers: Pick<Peers, 'dial' | 'stopDialling' | 'dialledNames'>): ConnectionManager {
  const wishes = new Map<string, WantedPeer[]>()

  function apply (): void {
    const all = new Map<string, string>()
    for (const { name, address } of [...wishes.values()].flat()) all.set(name, address)
    for (const name of peers.dialledNames()) {
      if (!all.has(name)) peers.stopDialling(name)
    }
    for (const [name, address] of all) peers.dial(name, address)
  }

  return {
    setWanted (part, wanted) {
      wishes.set(part, wanted)
      apply()
    }
  }
}
