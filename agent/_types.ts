/**
 * What the tasks of an agent share.
 */
import type { Peer } from '../peer/mod.ts'
import type { LoadReport, Message } from '../wire/mod.ts'
import type { Timer } from '../timer/mod.ts'
import type { Log } from '../log/mod.ts'
import type { Metrics } from '../metrics/mod.ts'

/** Sends a message to an entry by its owner key `name#incarnation`; false when that run of the entry is not connected. */
export type SendToOwner = (owner: string, msg: Message) => boolean

/** Names why an attempt was cancelled at the engine. */
export enum CancelCause {
  /** The entry cancelled it. */
  Entry = 'entry',
  /** The entry let go of a prefill result, as it does after each handoff. */
  ResultReleased = 'result_released',
  /** Nobody fetched or released a prefill result in time. */
  ResultExpired = 'result_expired',
  /** A heartbeat of the entry did not list it. */
  NotAwaited = 'not_awaited',
  /** The lease of the entry expired. */
  LeaseExpired = 'lease_expired',
  /** This process paused for longer than a lease. */
  Paused = 'paused',
  /** It failed at the engine. */
  Failed = 'failed',
  /** The engine held it without this agent, and no entry claimed it. */
  Unclaimed = 'unclaimed',
  Shutdown = 'shutdown'
}

/** What every task of an agent gets. */
export interface TaskPorts {
  timer: Timer
  log: Log
  metrics: Metrics
  send: SendToOwner
  /** True when the agent takes no new work. */
  isDraining: () => boolean
}

/** A task of an agent that serves one kind of backend server. */
export interface BackendTask {
  /** Takes a message of an entry; false when the task does not handle its kind. */
  handle (owner: string, msg: Message): boolean
  /** Takes a load report of another agent. */
  onAgentLoad (peer: Peer, report: LoadReport): void
  /** The connection of an entry was opened. */
  onOwnerConnected (owner: string): void
  /** The connection of an entry was closed. */
  onOwnerDisconnected (owner: string): void
  /** Number of units of work in flight. */
  countInFlight (): number
  /** Ends what is in flight with an honest outcome. */
  failInFlight (): void
  /** Sends a load report to every connected entry now. */
  publish (): void
  status (): Record<string, unknown>
  close (): Promise<void>
}
