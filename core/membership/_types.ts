/**
 * Types of the membership view.
 */
import type { HostEntry } from '../../source/mod.ts'
import type { Place } from '../types/mod.ts'

/** Names what a process believes about a member; only a hint, never a promise. */
export enum MemberState {
  Alive = 'alive',
  /** It is silent, stuck or reported by a peer; prefer others. */
  Suspect = 'suspect',
  /** It is leaving and gets no new work. */
  Leaving = 'leaving',
  Gone = 'gone'
}

/** Names why a member changed its state. */
export enum MemberReason {
  Listed = 'listed',
  ListedLeaving = 'listed_leaving',
  NotListed = 'not_listed',
  Connected = 'connected',
  Progress = 'progress',
  Disconnected = 'disconnected',
  Silent = 'silent',
  Stalled = 'stalled',
  Draining = 'draining',
  Reported = 'reported'
}

/** Describes one member. */
export interface Member extends Place {
  name: string
  process: 'entry' | 'agent'
  /** Peer address `ip:port`. */
  address: string
  /** Highest incarnation seen; 0 when only the host list knows the member. */
  incarnation: number
  state: MemberState
  reason: MemberReason
}

/** Tells of a member whose state changed. */
export interface MemberChange {
  member: Member
  from: MemberState
  /** True when this process saw the cause itself, so that peers are worth telling. */
  isLocallyObserved: boolean
}

/** Identifies the peer at the other end of a connection. */
export interface PeerIdentity extends Place {
  name: string
  process: 'entry' | 'agent'
  address: string
  incarnation: number
}

/** Reports the progress of a peer. */
export interface PeerProgress {
  name: string
  incarnation: number
  /** Counter of finished steps of work. */
  progress: number
  /** True when the peer owes this process work, so that its counter ought to move. */
  hasPendingWork: boolean
}

/** Carries what a third process said about a member. */
export interface PeerHint {
  name: string
  incarnation: number
  state: 'suspect' | 'leaving' | 'gone'
}

/** Holds the view that one process has of the others. */
export interface Membership {
  /** Takes in the host list, which lags. */
  applyHostList (hosts: HostEntry[], nowMs: number): MemberChange[]
  /** Notes a connection on which a hello arrived. */
  recordConnection (peer: PeerIdentity, nowMs: number): MemberChange[]
  /** Notes a broken connection. */
  recordDisconnection (name: string, incarnation: number, nowMs: number): MemberChange[]
  /** Notes a heartbeat. */
  recordHeartbeat (progress: PeerProgress, nowMs: number): MemberChange[]
  /** Notes whether a member itself says that it is leaving. */
  recordDraining (name: string, incarnation: number, isDraining: boolean, nowMs: number): MemberChange[]
  /** Notes what a peer said about a third process. */
  recordPeerReport (hint: PeerHint, nowMs: number): MemberChange[]
  /** Notes the time; call it a few times a second. */
  updateStates (nowMs: number): MemberChange[]
  get (name: string): Member | undefined
  /** Returns the members that are not gone, ordered by name. */
  list (): Member[]
  /** Returns whether new work may go to a member: it is alive, or suspect when `asLastResort` is true. */
  acceptsWork (name: string, asLastResort?: boolean): boolean
}
