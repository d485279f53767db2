/**
 * Chooses the processes that watch the configuration service.
 */
import type { SubsetMember } from './choose_subset.ts'
import { hashPair, hashText } from './rendezvous_score.ts'

/** Configures the choice of readers. */
export interface ReadersOptions {
  members: SubsetMember[]
  /** Readers wanted in each availability zone. */
  perZone: number
}

/**
 * Chooses the few processes of each availability zone that watch the configuration service; the others get relays.
 *
 * @param options the members and the number of readers for each availability zone
 * @returns the names of the readers, in order of their zone and rank
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
 * Orders names by their rendezvous hash for a key, highest first.
 *
 * @param names the names
 * @param key the key
 * @returns the names in the order that every process works out alike
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
