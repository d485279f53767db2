/**
 * Options of the configuration relay and their defaults.
 */
import type { Configuration } from '../core/configuration/mod.ts'
import type { SubsetMember } from '../core/subset/mod.ts'
import type { ConfigService } from '../source/mod.ts'
import type { Timer } from '../timer/mod.ts'
import type { ReadBounds } from './_config_reader.ts'
import type { RelayEvent, RelayMessage } from './_types.ts'

/** Configures a configuration relay; times are in milliseconds. */
export interface ConfigRelayOptions extends Partial<ReadBounds> {
  timer: Timer
  /** The store that the relay fills. */
  config: Configuration
  service: ConfigService
  /** This process. */
  self: SubsetMember
  /** Sends a message to a connected peer; may drop it. */
  send: (peer: string, msg: RelayMessage) => void
  /** Returns a number from 0 up to 1; a seeded one makes a run repeatable. */
  random: () => number
  onEvent?: (event: RelayEvent) => void
  /** Processes of each availability zone that watch the service; 3 by default. */
  readersPerZone?: number
  /** Most children of a process in each relay tree; 4 by default. */
  fanOut?: number
  /** Period of digests; 1000 by default. */
  digestPeriodMs?: number
  /** Silence of all peers after which a process reads for itself; 3000 by default. */
  peerSilenceMs?: number
  /** Age of the last known read of the service after which a process reads for itself; 20000 by default. */
  maxSourceAgeMs?: number
  /** Time that a starting process waits for peers before it serves what the service says; 2000 by default. */
  bootstrapWaitMs?: number
  /** Time after which an unanswered question goes to another peer; 1000 by default. */
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

/** Fills in the defaults of a relay's options. */
export function applyDefaults (options: ConfigRelayOptions): ConfigRelayOptions & typeof defaults & { bounds: ReadBounds } {
  return { ...defaults, ...options, bounds: { ...defaultBounds, ...options } }
}
