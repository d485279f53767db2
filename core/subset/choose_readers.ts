/**
 * The choice of the processes that watch the configuration service.
 */
import type { SubsetMember } from './choose_subset.ts'
import { hashPair, hashText } from './rendezvous_score.ts'

/** Configures the choice of readers. */
export interface ReadersOptions {
  /** Processes on the host list. */
  members: SubsetMember[]
  /** Number of readers in each availability zone. */
  perZone: number
}

/**
 * Chooses the processes of each availability zone that watch the configuration service; the others receive its changes by relay.
 *
 * @param options the members and the number of readers for each availability zone
 * @returns the names of the readers, ordered by availability zone and rank
 *
 * @example
 * ```ts
 * import { chooseReaders } from 'briarloom/core/subset'
 *
 * const place = { availabilityZone: 'levis', region: 'qc-est' }
 * const members = ['e1', 'e2', 'e3'].map((name) => ({ name, ...place }))
 * console.assert(chooseReaders({ members, perZone: 2 }).length === 2)
 * ```
 */
export function chooseReaders (options: ReadersOptions): string[] {
  const zones = new Map<string, string[]>()
  for (const { name, availabilityZone } of options.members) {
    const names = zones.get(availabilityZone)
    if (names === undefined) zones.set(availabilityZone, [name])
    else names.push(name)
  }
  return [...zones.keys()].sort()
    .flatMap((zone) => rankNames(zones.get(zone) ?? [], zone).slice(0, options.perZone))
}

/**
 * Orders names by their rendezvous hash for a key, highest first; every process gets the same order.
 *
 * @param names the names
 * @param key the key
 * @returns the names in order
 *
 * @example
 * ```ts
 * import { rankNames } from 'briarloom/core/subset'
 *
 * console.assert(rankNames(['a', 'b'], 'levis').length === 2)
 * ```
 */
export function rankNames (names: string[], key: string): string[] {
  const keyHash = hashText(key)
  const scored = names.map((name) => ({ name, score: hashPair(keyHash, hashText(name)) }))
  scored.sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1))
  return scored.map(({ name }) => name)
}
