/**
 * Types of the peer table.
 */
import type { Result } from '../core/results/mod.ts'
import type { Hello, Message } from '../wire/mod.ts'
import type { Timer } from '../timer/mod.ts'

/** The fields by which a process identifies itself when a connection opens. */
export type SelfInfo = Omit<Hello, 'kind' | 'revision' | 'address'>

/** Describes a connected peer. */
export interface Peer extends Omit<Hello, 'kind'> {
  /** Identity of this run of the peer: name, `#` and incarnation. */
  incarnationId: string
  /** Time of the timer in milliseconds at which the last message from the peer arrived. */
  lastMessageMs: number
}

/** Handlers for connections to peers and for their messages. */
export interface PeerHandlers {
  /** Gets each peer that has connected and identified itself. */
  onUp (peer: Peer): void
  /** Gets each peer whose connection has ended, and the reason. */
  onDown (peer: Peer, reason: string): void
  /** Gets each message after the first one, which identifies the peer. */
  onMessage (peer: Peer, msg: Message): void
}

/** Configures the peer table. */
export interface PeersOptions {
  timer: Timer
  self: SelfInfo
  handlers: PeerHandlers
  /** Returns the configuration revision to send to a new peer. */
  revision: () => number
  /** Key for TLS-PSK; without it, connections are plain TCP. */
  psk?: { identity: string, key: Uint8Array }
  /** Shortest delay in milliseconds before a peer is dialled again, which jitter may shorten to a half; 100 by default. */
  minRedialMs?: number
  /** Longest delay in milliseconds before a peer is dialled again; 2000 by default. */
  maxRedialMs?: number
  /** Returns a random number from 0 to 1 for the jitter. */
  random: () => number
  /** Largest frame accepted, in bytes; 4 MiB by default. */
  maxFrameBytes?: number
}

/** Holds the connections of a process to its peers. */
export interface Peers {
  /** Accepts connections at a host and port. Returns the bound address `ip:port`, or an error message. */
  listen (host: string, port: number): Promise<Result<string, string>>
  /** Keeps a connection to a peer at an address `ip:port`; dials again when the connection fails. */
  dial (name: string, address: string): void
  /** Stops dialling a peer, and closes the connection if this process opened it. */
  stopDialling (name: string): void
  /** Sends a message to a peer; returns false when the peer is not connected or its buffer is full. */
  send (name: string, msg: Message): boolean
  /** Returns a connected peer, or undefined when it is not connected. */
  get (name: string): Peer | undefined
  /** Returns the connected peers. */
  list (): Peer[]
  /** Names of the peers that are dialled, connected or not. */
  dialledNames (): string[]
  /** Stops dialling and listening, and closes all connections. */
  close (): Promise<void>
}
