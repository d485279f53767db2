/**
 * What the other entries said about the demand of each caller.
 */
import type { UsageShare } from '../../wire/mod.ts'
import type { SeatDemand } from './_divide.ts'

/** Holds the demand of one caller at one entry. */
export interface Demand {
  /** Requests offered per second. */
  requests: number
  /** Tokens offered per second. */
  tokens: number
  /** Requests in flight. */
  concurrency: number
  /** Requests that were lately refused for concurrency. */
  waiting: number
}

interface Peer {
  incarnation: number
  seq: number
  atMs: number
  usage: Map<string, Demand>
}

/** Holds the last messages of the other entries. */
export interface Peers {
  /** Takes in a message; false when it is older than one already seen. */
  observe (msg: UsageShare, nowMs: number): boolean
  /** Forgets entries that fell silent. */
  dropStale (nowMs: number): void
  count (): number
  /** Returns the rate that each known entry demands. */
  rates (caller: string, measure: 'requests' | 'tokens'): number[]
  /** Returns the seats that each known entry uses and wants. */
  seats (caller: string): SeatDemand[]
}

/** Creates an empty table. */
export function createPeers (staleMs: number): Peers {
  const peers = new Map<string, Peer>()

  function observe (msg: UsageShare, nowMs: number): boolean {
    const known = peers.get(msg.entry)
    if (known !== undefined) {
      if (msg.incarnation < known.incarnation) return false
      if (msg.incarnation === known.incarnation && msg.seq <= known.seq) return false
    }
    const usage = new Map(msg.usage.map((demand) => [demand.caller, demand]))
    peers.set(msg.entry, { incarnation: msg.incarnation, seq: msg.seq, atMs: nowMs, usage })
    return true
  }

  return {
    observe,
    dropStale (nowMs) {
      for (const [entry, peer] of peers) {
        if (nowMs - peer.atMs > staleMs) peers.delete(entry)
      }
    },
    count: () => peers.size,
    rates: (caller, measure) => [...peers.values()].map((peer) => peer.usage.get(caller)?.[measure] ?? 0),
    seats: (caller) => [...peers].map(([entry, peer]) => {
      const demand = peer.usage.get(caller)
      return { entry, inUse: demand?.concurrency ?? 0, waiting: demand?.waiting ?? 0 }
    })
  }
}
