/**
 * The choice of the processes that read the store for a region.
 */
import { rankNames } from '../subset/mod.ts'
import type { SubsetMember } from '../subset/mod.ts'

/** Configures the choice of readers. */
export interface StoreReadersOptions {
  /** The processes that may read for others; a name that occurs more than once counts once. */
  members: readonly SubsetMember[]
  region: string
  /** Number of readers. */
  count: number
}

/**
 * Chooses the processes that read the store for a region; the others follow them.
 *
 * Every process that knows the same members chooses the same readers. They are spread over the availability zones of the region, and a
 * member that comes or goes changes at most one reader in its zone.
 *
 * @param options the members, the region and the number of readers
 * @returns the names of the readers, fewer than `count` when the region has fewer members
 *
 * @example
 * ```ts
 * import { chooseStoreReaders } from 'briarloom/core/view'
 *
 * const members = ['a', 'b'].map((name) => ({ name, availabilityZone: 'levis', region: 'qc-est' }))
 * console.assert(chooseStoreReaders({ members, region: 'qc-est', count: 3 }).length === 2)
 * ```
 */
export function chooseStoreReaders (options: StoreReadersOptions): string[] {
  const zones = new Map<string, Set<string>>()
  for (const { name, availabilityZone, region } of options.members) {
    if (region === options.region) zones.set(availabilityZone, (zones.get(availabilityZone) ?? new Set()).add(name))
  }
  const ranked = rankNames([...zones.keys()], options.region).map((zone) => rankNames([...zones.get(zone) ?? []], zone))
  const longest = Math.max(0, ...ranked.map((names) => names.length))
  const inRounds = Array.from({ length: longest }, (_, round) => ranked.flatMap((names) => names[round] ?? []))
  return inRounds.flat().slice(0, options.count)
}
