/**
 * Types that the tasks of an agent share.
 */
import type { Peer } from '../peer/mod.ts'
import type { LoadReport, Message } from '../wire/mod.ts'
import type { Timer } from '../timer/mod.ts'
import type { Log } from '../log/mod.ts'
import type { Metrics } from '../metrics/mod.ts'

/** Sends a message to an entry by its owner key `name#incarnation`; false when that run of the entry is not connected. */
export type SendToOwner = (owner: string, msg: Message) => boolean

/** Names why an attempt was cancelled at the engine or a lease was lost. */
export enum CancelCause {
  /** The entry cancelled it. */
  Entry = 'entry',
  /** The entry released a prefill result, as it does after each handoff. */
  ResultReleased = 'result_released',
  /** A prefill result was neither fetched nor released in time. */
  ResultExpired = 'result_expired',
  /** A heartbeat of the entry did not list it. */
  NotAwaited = 'not_awaited',
  /** The lease of the entry expired. */
  LeaseExpired = 'lease_expired',
  /** This process paused for longer than a lease. */
  Paused = 'paused',
  /** The attempt failed at the engine. */
  Failed = 'failed',
  /** The engine held an attempt that this agent did not admit, and no entry claimed it. */
  Unclaimed = 'unclaimed',
  Shutdown = 'shutdown'
}

/** Functions and resources that every task of an agent uses. */
export interface TaskPorts {
  timer: Timer
  log: Log
  metrics: Metrics
  send: SendToOwner
  /** True when the agent takes no new work. */
  isDraining: () => boolean
}

/** A task of an agent that manages one kind of backend server. */
export interface BackendTask {
  /** Handles a message of an entry; false when the task does not handle its kind. */
  handle (owner: string, msg: Message): boolean
  /** Handles a load report of another agent. */
  onAgentLoad (peer: Peer, report: LoadReport): void
  /** Called when an entry has connected. */
  onOwnerConnected (owner: string): void
  /** Called when the connection of an entry was closed. */
  onOwnerDisconnected (owner: string): void
  /** Returns the number of units of work in flight. */
  countInFlight (): number
  /** Ends the work in flight where that is possible; entries receive the outcome `Unknown` for each running attempt. */
  failInFlight (): void
  /** Sends a load report to every connected entry and agent now. */
  publish (): void
  status (): Record<string, unknown>
  close (): Promise<void>
}
