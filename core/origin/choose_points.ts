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
  /** Hash of the name, when it is kept from one choice to the next. */
  nameHash?: number
}

interface Scored {
  candidate: PointCandidate
  score: number
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
  const ranked = listBest(hashText(key), candidates, count).sort(compareScored)
  const takenByZone = new Map<string, number>()
  const takenByRegion = new Map<string, number>()
  const withTurns = ranked.map(({ candidate }, rank) => {
    const zoneTurn = takeTurn(takenByZone, candidate.zone)
    // Only the first of each zone counts for its region, so that the choice goes round the regions zone by zone.
    return { ...candidate, rank, zoneTurn, regionTurn: zoneTurn === 0 ? takeTurn(takenByRegion, candidate.region) : 0 }
  })
  withTurns.sort((a, b) => Number(a.isLeaving) - Number(b.isLeaving) || a.zoneTurn - b.zoneTurn || a.regionTurn - b.regionTurn || a.rank - b.rank)
  return withTurns.slice(0, count).map(({ name }) => name)
}

function compareScored (a: Scored, b: Scored): number {
  const order = Number(a.candidate.isLeaving) - Number(b.candidate.isLeaving) || b.score - a.score
  return order !== 0 ? order : a.candidate.name < b.candidate.name ? -1 : Number(a.candidate.name > b.candidate.name)
}

/** Returns the best candidates of each zone, as many as may be chosen, those that leave apart: sorting all would take most of the time. */
function listBest (keyHash: number, candidates: readonly PointCandidate[], count: number): Scored[] {
  const bestByZone = [new Map<string, Scored[]>(), new Map<string, Scored[]>()] as const
  for (const candidate of candidates) {
    const zones = bestByZone[candidate.isLeaving ? 1 : 0]
    const best = zones.get(candidate.zone) ?? []
    const scored = { candidate, score: hashPair(keyHash, candidate.nameHash ?? hashText(candidate.name)) }
    const last = best[count - 1]
    if (last !== undefined && compareScored(last, scored) < 0) continue
    // A candidate that is listed twice counts once.
    if (best.some(({ candidate: other }) => other.name === candidate.name)) continue
    zones.set(candidate.zone, [...best, scored].sort(compareScored).slice(0, count))
  }
  return bestByZone.flatMap((zones) => [...zones.values()].flat())
}

/** Returns how often a group has been counted before, and counts it once more. */
function takeTurn (taken: Map<string, number>, group: string): number {
  const turn = taken.get(group) ?? 0
  taken.set(group, turn + 1)
  return turn
}
