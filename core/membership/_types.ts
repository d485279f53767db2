/**
 * Types of the membership view.
 */
import type { HostEntry } from '../../source/mod.ts'
import type { Place } from '../types/mod.ts'

/** State of a member as one process sees it; only a hint, never a guarantee. */
export enum MemberState {
  /** It may get new work. */
  Alive = 'alive',
  /** It sends no heartbeats, makes no progress, is disconnected or was reported by a peer; other members are preferred. */
  Suspect = 'suspect',
  /** It is draining and gets no new work. */
  Leaving = 'leaving',
  /** It is neither listed nor connected, or it has been disconnected for too long. */
  Gone = 'gone'
}

/** Reason for the state of a member. */
export enum MemberReason {
  /** The host list contains it as live. */
  Listed = 'listed',
  /** The host list contains it as leaving. */
  ListedLeaving = 'listed_leaving',
  /** The host list does not contain it. */
  NotListed = 'not_listed',
  /** It is connected and has sent no heartbeat yet. */
  Connected = 'connected',
  /** It is connected and makes progress, or has no work. */
  Progress = 'progress',
  /** Its last connection was closed. */
  Disconnected = 'disconnected',
  /** It is connected and has sent nothing within the heartbeat timeout. */
  Silent = 'silent',
  /** It has work and has made no progress within the stall timeout. */
  Stalled = 'stalled',
  /** It said itself that it is draining. */
  Draining = 'draining',
  /** A peer reported it. */
  Reported = 'reported'
}

/** A process that takes part in the cluster. */
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

/** A change of the state of a member. */
export interface MemberChange {
  member: Member
  /** State before the change. */
  from: MemberState
  /** True when this process observed the cause itself, so that it should report the change to peers. */
  isLocallyObserved: boolean
}

/** Identity of the peer at the other end of a connection, from its hello message. */
export interface PeerIdentity extends Place {
  name: string
  process: 'entry' | 'agent'
  /** Peer address `ip:port`. */
  address: string
  incarnation: number
}

/** Progress of a peer, from its heartbeat. */
export interface PeerProgress {
  name: string
  incarnation: number
  /** Counter of finished steps of work. */
  progress: number
  /** True when the peer has unfinished work of this process, so that its counter should increase. */
  hasPendingWork: boolean
}

/** State of a member as another peer reported it. */
export interface PeerHint {
  name: string
  incarnation: number
  state: 'suspect' | 'leaving' | 'gone'
}

/** View that one process has of the others; the methods that update it return the members whose state changed. */
export interface Membership {
  /** Applies the host list, which may be out of date. */
  applyHostList (hosts: HostEntry[], nowMs: number): MemberChange[]
  /** Records a new connection, after its hello message has arrived. */
  recordConnection (peer: PeerIdentity, nowMs: number): MemberChange[]
  /** Records a closed connection. */
  recordDisconnection (name: string, incarnation: number, nowMs: number): MemberChange[]
  /** Records a heartbeat. */
  recordHeartbeat (progress: PeerProgress, nowMs: number): MemberChange[]
  /** Records whether a member itself says that it is draining. */
  recordDraining (name: string, incarnation: number, isDraining: boolean, nowMs: number): MemberChange[]
  /** Records the state of a third process that a peer reported. */
  recordPeerReport (hint: PeerHint, nowMs: number): MemberChange[]
  /** Updates the states that depend on time; to be called several times per second. */
  updateStates (nowMs: number): MemberChange[]
  /** Returns a member; undefined when it is not known. */
  get (name: string): Member | undefined
  /** Returns the members that are not gone, sorted by name. */
  list (): Member[]
  /** Returns whether a member may get new work: it is alive, or it is suspect and `asLastResort` is true. */
  acceptsWork (name: string, asLastResort?: boolean): boolean
}
