/**
 * The processes that read the store for a region of the platform.
 */
import { chooseStoreReaders } from '../core/view/mod.ts'
import { formatAddress, parseAddress } from '../wire/mod.ts'
import type { Fleet } from '../core/fleet/mod.ts'

/** Configures the list. */
export interface ListStoreReadersOptions {
  fleet: Fleet
  /** Region of each zone. */
  regions: { readonly [zone: string]: string }
  /** Zone of the process that asks. */
  zone: string
  /** First of the ports that are reserved for this system on every machine. */
  internalPort: number
}

/** Offset from the first internal port of a machine of the port at which its sidecar passes on what it reads from the store. */
export const viewPortOffset = 1
/** Number of readers in each region: calls for two of them may be lost while the third one reads. */
const readersPerRegion = 3

/**
 * Lists the addresses of the sidecars that read the store for a region; all processes that know the same engines list the same ones.
 *
 * @param options the workers, the zones and the port
 * @returns the addresses `ip:port`; none in a region without engines
 *
 * @example
 * ```ts
 * import { createFleet } from 'briarloom/core/fleet'
 * import { listStoreReaders } from 'briarloom/directory'
 *
 * console.assert(listStoreReaders({ fleet: createFleet(), regions: {}, zone: 'levis', internalPort: 7660 }).length === 0)
 * ```
 */
export function listStoreReaders (options: ListStoreReadersOptions): string[] {
  const { fleet, regions, zone, internalPort } = options
  const members = fleet.all().flatMap(({ entry }) => {
    const target = entry.stage === undefined ? undefined : parseAddress(entry.address)
    if (target === undefined || target.err) return []
    return [{ name: formatAddress(target.val.host, internalPort + viewPortOffset), availabilityZone: entry.zone, region: regions[entry.zone] ?? '' }]
  })
  return chooseStoreReaders({ members, region: regions[zone] ?? '', count: readersPerRegion })
}
