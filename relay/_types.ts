/**
 * Types of the configuration relay.
 */
import type { RejectedChange } from '../core/configuration/mod.ts'
import type { SubsetMember } from '../core/subset/mod.ts'
import type { ConfigDigest, ConfigRecords } from '../wire/mod.ts'

/** A message that relays exchange. */
export type RelayMessage = ConfigDigest | ConfigRecords

/** Names what a relay tells its owner. */
export enum RelayEventKind {
  /** The relay holds a configuration that is safe to serve from. */
  Ready = 'ready',
  /** Records came into force. */
  Applied = 'applied',
  /** Records were unusable. */
  Rejected = 'rejected',
  /** The configuration service could not be read. */
  ReadFailed = 'read_failed'
}

/** Tells the owner of a relay what happened. */
export type RelayEvent =
  | { kind: RelayEventKind.Ready, revision: number }
  | { kind: RelayEventKind.Applied, from: string, revision: number, keys: string[] }
  | { kind: RelayEventKind.Rejected, from: string, rejected: RejectedChange[] }
  | { kind: RelayEventKind.ReadFailed, message: string, limited: boolean }

/** Describes a relay as its owner sees it. */
export interface RelayStatus {
  ready: boolean
  /** True when this process watches the configuration service. */
  isReader: boolean
  /** Revision up to which nothing is missing. */
  revision: number
  /** Highest revision of any change that was seen. */
  highestSeen: number
  /** Milliseconds since this process or its sources last read the configuration service; absent when never. */
  ageMs?: number
  /** Connected peers with which this process exchanges configuration. */
  links: number
  subscribers: number
  /** Reads of the configuration service by this process. */
  reads: number
  failedReads: number
}

/** Ties a configuration store to the configuration service and to peers. */
export interface ConfigRelay {
  /** Starts to read and to exchange. */
  start (): void
  /** Takes in a message of a peer. */
  handleMessage (peer: string, msg: RelayMessage): void
  /** Notes that messages can be sent to a peer. */
  addPeer (peer: string): void
  removePeer (peer: string): void
  /** Takes in the processes of the host list, from which links and readers are chosen. */
  setMembers (members: SubsetMember[]): void
  /** Returns the names of the processes to which the owner should keep connections for this relay. */
  wantedPeers (): string[]
  /** Returns whether the configuration is safe to serve from. */
  isReady (): boolean
  status (): RelayStatus
  close (): void
}
