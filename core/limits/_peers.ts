/**
 * What the other entries said about the demand of each caller.
 */
import type { UsageShare } from '../../wire/mod.ts'
import type { NamedDemand } from './_divide.ts'

/** Holds the demand of one caller at one entry. */
export interface Demand {
  /** Requests offered per second. */
  requests: number
  /** Tokens offered per second. */
  tokens: number
  /** Requests in flight or refused for concurrency since the last message. */
  concurrency: number
}

interface Peer {
  incarnation: number
  seq: number
  atMs: number
  last: Map<string, Demand>
  before: Map<string, Demand>
}

/** Holds the last messages of the other entries. */
export interface Peers {
  /** Takes in a message; false when it is older than one already seen. */
  observe (msg: UsageShare, nowMs: number): boolean
  /** Forgets entries that fell silent. */
  dropStale (nowMs: number): void
  count (): number
  /** Returns what each known entry may be using, by one measure. */
  demands (caller: string, measure: keyof Demand): NamedDemand[]
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
    const last = new Map(msg.usage.map((usage) => [usage.caller, usage]))
    const before = known?.last ?? new Map<string, Demand>()
    peers.set(msg.entry, { incarnation: msg.incarnation, seq: msg.seq, atMs: nowMs, last, before })
    return true
  }

  // The higher of two messages, because the peer lowers its share only after the later one left it.
  function demandOf (peer: Peer, caller: string, measure: keyof Demand): number {
    return Math.max(peer.last.get(caller)?.[measure] ?? 0, peer.before.get(caller)?.[measure] ?? 0)
  }

  return {
    observe,
    dropStale (nowMs) {
      for (const [entry, peer] of peers) {
        if (nowMs - peer.atMs > staleMs) peers.delete(entry)
      }
    },
    count: () => peers.size,
    demands: (caller, measure) =>
      [...peers].map(([entry, peer]) => ({ entry, demand: demandOf(peer, caller, measure) }))
  }
}
