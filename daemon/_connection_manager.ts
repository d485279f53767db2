/**
 * Merges the lists of peers to which the parts of a process need connections.
 */
import type { Peers } from '../peer/mod.ts'

/** A peer to which a part of the process needs a connection. */
export interface WantedPeer {
  name: string
  /** Peer address `ip:port`. */
  address: string
}

/** Keeps the connections that at least one part of the process needs. */
export interface ConnectionManager {
  /** Replaces the list of peers that one part needs; dials new peers and stops dialling those that no part needs any more. */
  setWanted (part: string, wanted: WantedPeer[]): void
}

/**
 * Creates a connection manager, which dials nothing before the first `setWanted`.
 */
export function createConnectionManager (peers: Pick<Peers, 'dial' | 'stopDialling' | 'dialledNames'>): ConnectionManager {
  const wantedByPart = new Map<string, WantedPeer[]>()

  function apply (): void {
    const addresses = new Map<string, string>()
    for (const { name, address } of [...wantedByPart.values()].flat()) addresses.set(name, address)
    for (const name of peers.dialledNames()) {
      if (!addresses.has(name)) peers.stopDialling(name)
    }
    for (const [name, address] of addresses) peers.dial(name, address)
  }

  return {
    setWanted (part, wanted) {
      wantedByPart.set(part, wanted)
      apply()
    }
  }
}
