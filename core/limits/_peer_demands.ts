/**
 * The demand of each caller at the other entries, from their last messages.
 */
import type { UsageShare } from '../../wire/mod.ts'
import type { SeatDemand } from './_allocate.ts'

/** Demand of one caller at one entry. */
export interface Demand {
  /** Requests offered per second. */
  requests: number
  /** Tokens offered per second. */
  tokens: number
  /** Requests in flight. */
  concurrency: number
  /** Requests that were refused recently because of the concurrency limit. */
  waiting: number
}

interface PeerUsage {
  incarnation: number
  seq: number
  receivedMs: number
  demands: Map<string, Demand>
}

/** Demands from the last messages of the other entries. */
export interface PeerDemands {
  /** Records a message; returns false when it is older than one already recorded. */
  record (msg: UsageShare, nowMs: number): boolean
  /** Removes entries whose last message has expired. */
  removeExpired (nowMs: number): void
  /** Returns the number of entries with a message that has not been removed. */
  count (): number
  /** Returns the demand per second at each of these entries. */
  listRates (caller: string, measure: 'requests' | 'tokens'): number[]
  /** Returns the seats that each of these entries uses and has requests waiting for. */
  listSeats (caller: string): SeatDemand[]
}

/** Creates an empty table; a message expires after `ttlMs` milliseconds. */
export function createPeerDemands (ttlMs: number): PeerDemands {
  const peers = new Map<string, PeerUsage>()

  function record (msg: UsageShare, nowMs: number): boolean {
    const known = peers.get(msg.entry)
    if (known !== undefined) {
      if (msg.incarnation < known.incarnation) return false
      if (msg.incarnation === known.incarnation && msg.seq <= known.seq) return false
    }
    const demands = new Map(msg.usage.map((demand) => [demand.caller, demand]))
    peers.set(msg.entry, { incarnation: msg.incarnation, seq: msg.seq, receivedMs: nowMs, demands })
    return true
  }

  return {
    record,
    removeExpired (nowMs) {
      for (const [entry, peer] of peers) {
        if (nowMs - peer.receivedMs > ttlMs) peers.delete(entry)
      }
    },
    count: () => peers.size,
    listRates: (caller, measure) => [...peers.values()].map((peer) => peer.demands.get(caller)?.[measure] ?? 0),
    listSeats: (caller) => [...peers].map(([entry, peer]) => {
      const demand = peer.demands.get(caller)
      return { entry, inUse: demand?.concurrency ?? 0, waiting: demand?.waiting ?? 0 }
    })
  }
}
