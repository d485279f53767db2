/**
 * The choice of the processes that remember what began a stream.
 */
import { hashPair, hashText } from '../subset/mod.ts'

/** Describes a process that can remember origins. */
export interface PointCandidate {
  /** Name that stays with the machine, such as its address. */
  name: string
  zone: string
  region: string
  /** True when the process is expected to end soon; it is chosen only when too few others are there. */
  isLeaving: boolean
}

/** Configures the choice. */
export interface ChoosePointsOptions {
  /** Key of the choice; requests with the same one have the same points. */
  key: string
  candidates: readonly PointCandidate[]
  count: number
}

/**
 * Chooses the points of a key by rendezvous hash, in as many availability zones and then regions as there are. Every process that knows
 * the same candidates chooses the same points, and a candidate that comes or goes replaces at most one of them where zones allow.
 *
 * @param options the key, the candidates and the number of points
 * @returns the names of the points, the highest rank first
 *
 * @example
 * ```ts
 * import { choosePoints } from 'briarloom/core/origin'
 *
 * const candidates = ['a', 'b', 'c'].map((name) => ({ name, zone: name, region: 'r', isLeaving: false }))
 * console.assert(choosePoints({ key: '7', candidates, count: 2 }).length === 2)
 * ```
 */
export function choosePoints ({ key, candidates, count }: ChoosePointsOptions): string[] {
  const keyHash = hashText(key)
  const byName = new Map(candidates.map((candidate) => [candidate.name, { ...candidate, score: hashPair(keyHash, hashText(candidate.name)) }]))
  const ranked = [...byName.values()].sort((a, b) => Number(a.isLeaving) - Number(b.isLeaving) || b.score - a.score || (a.name < b.name ? -1 : 1))
  const takenByZone = new Map<string, number>()
  const takenByRegion = new Map<string, number>()
  const withTurns = ranked.map((candidate, rank) => {
    const zoneTurn = takeTurn(takenByZone, candidate.zone)
    // Only the first of each zone counts for its region, so that the choice goes round the regions zone by zone.
    return { ...candidate, rank, zoneTurn, regionTurn: zoneTurn === 0 ? takeTurn(takenByRegion, candidate.region) : 0 }
  })
  withTurns.sort((a, b) => Number(a.isLeaving) - Number(b.isLeaving) || a.zoneTurn - b.zoneTurn || a.regionTurn - b.regionTurn || a.rank - b.rank)
  return withTurns.slice(0, count).map(({ name }) => name)
}

/** Returns how often a group has been counted before, and counts it once more. */
function takeTurn (taken: Map<string, number>, group: string): number {
  const turn = taken.get(group) ?? 0
  taken.set(group, turn + 1)
  return turn
}
