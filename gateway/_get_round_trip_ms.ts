/**
 * The expected round-trip times between a gateway and the workers of a zone.
 */
import type { NodeSettings } from '../platform/mod.ts'

/** Expected round trip times in milliseconds within a zone, within a region, and between regions. */
const zoneRoundTripMs = 1
const regionRoundTripMs = 4
const crossRegionRoundTripMs = 42

/** Returns the expected round trip time in milliseconds from a machine to a zone. */
export function getRoundTripMs (settings: NodeSettings, zone: string): number {
  if (zone === settings.zone) return zoneRoundTripMs
  return settings.regions[zone] === settings.regions[settings.zone] ? regionRoundTripMs : crossRegionRoundTripMs
}
