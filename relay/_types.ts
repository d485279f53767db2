/**
 * Types of the configuration relay.
 */
import type { RejectedChange } from '../core/configuration/mod.ts'
import type { SubsetMember } from '../core/subset/mod.ts'
import type { ConfigDigest, ConfigRecords } from '../wire/mod.ts'

/** A message that relays exchange. */
export type RelayMessage = ConfigDigest | ConfigRecords

/** Names the kinds of events that a relay reports. */
export enum RelayEventKind {
  /** The relay holds a configuration that is safe to serve from. */
  Ready = 'ready',
  /** Records came into force. */
  Applied = 'applied',
  /** Records were invalid and did not come into force. */
  Rejected = 'rejected',
  /** A read of the configuration service failed. */
  ReadFailed = 'read_failed'
}

/** Reports what happened at a relay; `from` is `service` or the name of a peer. */
export type RelayEvent =
  | { kind: RelayEventKind.Ready, revision: number }
  | { kind: RelayEventKind.Applied, from: string, revision: number, keys: string[] }
  | { kind: RelayEventKind.Rejected, from: string, rejected: RejectedChange[] }
  | { kind: RelayEventKind.ReadFailed, message: string, limited: boolean }

/** Describes the state of a relay. */
export interface RelayStatus {
  /** True when the configuration is safe to serve from. */
  ready: boolean
  /** True when this process watches the configuration service. */
  isReader: boolean
  /** Revision up to which nothing is missing. */
  revision: number
  /** Highest revision of any change that was seen; changes below it may be missing. */
  highestSeen: number
  /** Milliseconds since the last known read of the configuration service, here or at a peer; absent when none is known. */
  ageMs?: number
  /** Number of connected peers that this process chose to exchange configuration with. */
  links: number
  /** Number of connected peers that chose this process. */
  subscribers: number
  /** Number of reads of the configuration service by this process, failed ones included. */
  reads: number
  failedReads: number
}

/** Synchronises a configuration store with the configuration service and with peers. */
export interface ConfigRelay {
  /** Starts to read the service and to exchange digests. */
  start (): void
  /** Handles a message from a peer. */
  handleMessage (peer: string, msg: RelayMessage): void
  /** Adds a peer that has connected. */
  addPeer (peer: string): void
  /** Removes a peer that has disconnected. */
  removePeer (peer: string): void
  /** Sets the processes of the host list, from which links and readers are chosen. */
  setMembers (members: SubsetMember[]): void
  /** Returns the names of the processes to which this relay needs connections. */
  wantedPeers (): string[]
  /** Returns whether the configuration is safe to serve from. */
  isReady (): boolean
  status (): RelayStatus
  close (): void
}
