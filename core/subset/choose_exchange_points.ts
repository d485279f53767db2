/**
 * The choice of the processes through which others exchange sums, such as what they have spent of a common limit.
 */
import { hashPair, hashText } from './rendezvous_score.ts'

/** Describes a process that can serve as an exchange point. */
export interface ExchangeCandidate {
  /** Name that stays with the machine, such as its address. */
  name: string
  zone: string
}

/** Configures the choice of exchange points. */
export interface ExchangePointsOptions {
  candidates: readonly ExchangeCandidate[]
  /** Number of points; odd, so that two majorities of them have a point in common. */
  count: number
}

/** Key of the rendezvous hash; another one would choose other points. */
const exchangeKey = hashText('exchange points')

/**
 * Chooses the exchange points among the candidates by rendezvous hash, from as many zones as there are. Every process that knows the
 * same candidates chooses the same points, and a candidate that comes or goes replaces at most one of them. With fewer candidates than
 * `count`, the largest odd number of them is chosen.
 *
 * @param options the candidates and the number of points
 * @returns the names of the points, the highest rank first
 *
 * @example
 * ```ts
 * import { chooseExchangePoints } from 'briarloom/core/subset'
 *
 * const candidates = ['a', 'b', 'c', 'd'].map((name, i) => ({ name, zone: `z${i % 2}` }))
 * console.assert(chooseExchangePoints({ candidates, count: 3 }).length === 3)
 * console.assert(chooseExchangePoints({ candidates: candidates.slice(0, 2), count: 3 }).length === 1)
 * ```
 */
export function chooseExchangePoints ({ candidates, count }: ExchangePointsOptions): string[] {
  const zoneOf = new Map(candidates.map(({ name, zone }) => [name, zone]))
  const ranked = [...zoneOf].map(([name, zone]) => ({ name, zone, score: hashPair(exchangeKey, hashText(name)) }))
  ranked.sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1))
  const oddCount = ranked.length >= count ? count : ranked.length - (ranked.length + 1) % 2
  const takenByZone = new Map<string, number>()
  const withTurn = ranked.map((candidate, rank) => {
    const turn = takenByZone.get(candidate.zone) ?? 0
    takenByZone.set(candidate.zone, turn + 1)
    return { name: candidate.name, turn, rank }
  })
  withTurn.sort((a, b) => a.turn - b.turn || a.rank - b.rank)
  return withTurn.slice(0, Math.max(0, oddCount)).map(({ name }) => name)
}
