/**
 * Types that the parts of a gateway share.
 */
import type { Directory } from '../directory/mod.ts'
import type { ExchangePool } from '../exchange/mod.ts'
import type { Log } from '../log/mod.ts'
import type { ServedMetrics } from '../metrics/mod.ts'
import type { NodeSettings, RequestHead } from '../platform/mod.ts'
import type { SharedRetryBudget } from '../core/retry/mod.ts'
import type { RouteRule, ServiceRule } from '../core/route/mod.ts'
import type { Timer } from '../timer/mod.ts'
import type { SidecarClient } from './_sidecar_client.ts'
import type { Reply } from './_reply.ts'

/** What the parts of a gateway share. */
export interface GatewayContext {
  settings: NodeSettings
  timer: Timer
  log: Log
  directory: Directory
  /** Connections that carry requests. */
  pool: ExchangePool
  /** Connections that carry calls about requests: reservations, releases. */
  controlPool: ExchangePool
  sidecars: SidecarClient
  metrics: ServedMetrics
  random: () => number
  /** Returns the budget for repeated sends to a service. */
  retryBudget (service: string): SharedRetryBudget
  roundTripMs (zone: string): number
}

/** One request of a client, read whole. */
export interface ClientRequest {
  requestId: string
  method: string
  path: string
  head: RequestHead
  body: Buffer
  route: RouteRule
  service: ServiceRule
  reply: Reply
  /** Times in milliseconds on the steady clock. */
  startedMs: number
  deadlineMs: number
  /** Calls `fn` when the client leaves or the time is up, at once if that has happened. */
  onStop (fn: (reason: StopReason) => void): void
  /** Set once the client has left or the time is up. */
  stopReason (): StopReason | undefined
}

/** Names why a request is given up. */
export enum StopReason {
  ClientDisconnected = 'client_left',
  DeadlineExceeded = 'time_up'
}

/** Describes how a request ended, for the log. */
export interface RequestResult {
  status: number
  reason: string
  worker?: string
  attempts: number
  detail?: string | undefined
  /** Engine that read the prompt, when another one generated. */
  prefilled?: string | undefined
  bytes?: number
  /** Times in milliseconds; absent when they do not apply. */
  firstMs?: number
  pauseMs?: number
  holdMs?: number
  prefillMs?: number
}
