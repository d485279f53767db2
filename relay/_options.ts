/**
 * Options of the configuration relay and their defaults.
 */
import type { Configuration } from '../core/configuration/mod.ts'
import type { SubsetMember } from '../core/subset/mod.ts'
import type { ConfigService } from '../source/mod.ts'
import type { Timer } from '../timer/mod.ts'
import type { ReadBounds } from './_config_reader.ts'
import type { RelayEvent, RelayMessage } from './_types.ts'

/** Configures a configuration relay; all times are in milliseconds. */
export interface ConfigRelayOptions extends Partial<ReadBounds> {
  timer: Timer
  /** The store to which the relay applies pages. */
  config: Configuration
  service: ConfigService
  /** This process. */
  self: SubsetMember
  /** Sends a message to a connected peer; messages may get lost. */
  send: (peer: string, msg: RelayMessage) => void
  /** Returns a random number from 0 up to, but not including, 1; a seeded generator makes a run repeatable. */
  random: () => number
  onEvent?: (event: RelayEvent) => void
  /** Number of processes in each availability zone that watch the service; 3 by default. */
  readersPerZone?: number
  /** Largest number of children of a process in each relay tree; 4 by default. */
  fanOut?: number
  /** Period of digests; 1000 by default. */
  digestPeriodMs?: number
  /** Time without a message from any link after which a process reads the service itself; 3000 by default. */
  peerSilenceMs?: number
  /** Age of the last known read of the service after which a process reads the service itself; 20000 by default. */
  maxSourceAgeMs?: number
  /** Time that a starting process waits for its peers before it is ready with only the service's configuration; 2000 by default. */
  bootstrapWaitMs?: number
  /** Time after which an unanswered request for changes no longer blocks the next one; 1000 by default. */
  requestTimeoutMs?: number
}

const defaults = {
  readersPerZone: 3,
  fanOut: 4,
  digestPeriodMs: 1_000,
  peerSilenceMs: 3_000,
  maxSourceAgeMs: 20_000,
  bootstrapWaitMs: 2_000,
  requestTimeoutMs: 1_000
}

const defaultBounds: ReadBounds = {
  watchMs: 5_000,
  minWatchIntervalMs: 200,
  maxWatchBackoffMs: 10_000,
  directReadSpreadMs: 10_000,
  maxDirectReadSpreadMs: 60_000
}

/** Returns the options with the defaults for those that are absent, and the bounds of reads as `bounds`. */
export function applyDefaults (options: ConfigRelayOptions): ConfigRelayOptions & typeof defaults & { bounds: ReadBounds } {
  return { ...defaults, ...options, bounds: { ...defaultBounds, ...options } }
}
