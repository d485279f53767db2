/**
 * Types of the peer table.
 */
import type { Result } from '../core/results/mod.ts'
import type { Hello, Message } from '../wire/mod.ts'
import type { Timer } from '../timer/mod.ts'

/** What a process says of itself when a connection opens. */
export type SelfInfo = Omit<Hello, 'kind' | 'revision' | 'address'>

/** Describes a connected peer. */
export interface Peer extends Omit<Hello, 'kind'> {
  /** Identity of this run of the peer: name, `#` and incarnation. */
  incarnationId: string
  /** Monotonic time in milliseconds of the last message from the peer. */
  lastMessageMs: number
}

/** What the process does when peers come, go and speak. */
export interface PeerHandlers {
  onUp (peer: Peer): void
  onDown (peer: Peer, reason: string): void
  onMessage (peer: Peer, msg: Message): void
}

/** Configures the peer table. */
export interface PeersOptions {
  timer: Timer
  self: SelfInfo
  handlers: PeerHandlers
  /** Returns the configuration revision to announce. */
  revision: () => number
  /** Key for TLS-PSK; connections are plain TCP without it. */
  psk?: { identity: string, key: Uint8Array }
  /** Shortest wait in milliseconds before a lost peer is dialled again. */
  minRedialMs?: number
  /** Longest wait in milliseconds before a lost peer is dialled again. */
  maxRedialMs?: number
  /** Source of jitter between 0 and 1. */
  random: () => number
  maxFrameBytes?: number
}

/** Holds the connections of a process to its peers. */
export interface Peers {
  /** Accepts connections. The result is the address `ip:port`. */
  listen (host: string, port: number): Promise<Result<string, string>>
  /** Keeps a connection to the peer of this name; dials again when it breaks. */
  dial (name: string, address: string): void
  /** Stops dialling a peer, and ends the connection when this process opened it. */
  stopDialling (name: string): void
  /** Sends to a connected peer; false when it is not connected or its buffer is full. */
  send (name: string, msg: Message): boolean
  get (name: string): Peer | undefined
  list (): Peer[]
  /** Names of the peers that are dialled, connected or not. */
  dialledNames (): string[]
  close (): Promise<void>
}
