/**
 * Types of the connections of an HTTP server.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Log } from '../log/mod.ts'
import type { Timer } from '../timer/mod.ts'

/** A request with its response. */
export interface ConnectionRequest {
  req: IncomingMessage
  res: ServerResponse
  /** Identifier of the request; undefined when the client has sent none. */
  requestId: string | undefined
}

/** Names the sides that can close a connection. */
export enum ClosedBy {
  Client = 'client',
  /** The process broke the response off. */
  Process = 'process',
  /** A limit on the connection, or the end of the process. */
  Server = 'server'
}

/** Describes a request whose connection closed before its response was complete. */
export interface UnansweredRequest {
  requestId: string | undefined
  closedBy: ClosedBy
  /** Time in milliseconds from the head of the request to the close. */
  tookMs: number
  /** True when the head of the response had been sent. */
  hasBegun: boolean
}

/** Configures the connections of a server. */
export interface ManageConnectionsOptions {
  timer: Timer
  log: Log
  /** Idle time in milliseconds after which a connection is closed; `setIdleTimeout` changes it. */
  idleTimeoutMs: number
}

/** Receives what becomes of a request. */
export interface AdmissionHandlers {
  /** Serves the request. */
  serve (): void
  /** Called when the connection of a request that is served closes before its response is complete. */
  onUnanswered (unanswered: UnansweredRequest): void
}

/** The connections of a server. */
export interface ConnectionManager {
  /** Has a request served once those before it on its connection have their responses; one behind the last response is not served. */
  admit (request: ConnectionRequest, handlers: AdmissionHandlers): void
  /** Sets the idle time in milliseconds after which a connection is closed, of open connections too. */
  setIdleTimeout (ms: number): void
  /** Sets the limit on the heads of requests in bytes, of open connections too. */
  setMaxHeaderBytes (bytes: number): void
}
