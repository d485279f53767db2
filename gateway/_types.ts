/**
 * Types that the modules of the gateway share.
 */
import type { Directory } from '../directory/mod.ts'
import type { ExchangePool } from '../exchange/mod.ts'
import type { Log } from '../log/mod.ts'
import type { PrometheusMetrics } from '../metrics/mod.ts'
import type { Result } from '../core/results/mod.ts'
import type { NodeSettings, RequestHead } from '../platform/mod.ts'
import type { SharedRetryBudget } from '../core/retry/mod.ts'
import type { Caller, CallerRefusal, OrganisationRule, RouteRule, ServiceRule } from '../core/route/mod.ts'
import type { ByteBudget } from '../core/stream/mod.ts'
import type { Timer } from '../timer/mod.ts'
import type { Allowances, SpentAllowance } from './_allowance.ts'
import type { Framing } from './_body_headers.ts'
import type { WorkerLoads } from './_worker_loads.ts'
import type { PlainPlacement } from './_place_plain.ts'
import type { StreamOrigins } from './_stream_origins.ts'
import type { PromptGuard } from './_prompt_guard.ts'
import type { SidecarClient } from './_sidecar_client.ts'
import type { Reply } from './_reply.ts'

/** Settings, connections and state that the modules of a gateway share. */
export interface GatewayContext {
  settings: NodeSettings
  timer: Timer
  log: Log
  directory: Directory
  /** Connections that carry the requests of clients. */
  pool: ExchangePool
  /** Connections that carry control calls: reserving and releasing memory, and freeing KV caches. */
  controlPool: ExchangePool
  sidecars: SidecarClient
  promptGuard: PromptGuard
  streamOrigins: StreamOrigins
  allowances: Allowances
  workerLoads: WorkerLoads
  plainPlacement: PlainPlacement
  /** Bounds the bytes of responses that are held back until it is known whether they may be passed on. */
  heldBytes: ByteBudget
  metrics: PrometheusMetrics
  random: () => number
  /** Returns the number of gateways that share the retry budgets and the limits of workers. */
  gatewayCount: () => number
  /** Returns the retry budget of a service. */
  retryBudget (service: string): SharedRetryBudget
  /** Returns the expected round trip time in milliseconds to a zone. */
  roundTripMs (zone: string): number
}

/** One request of a client, with its complete body. */
export interface ClientRequest {
  requestId: string
  method: string
  path: string
  head: RequestHead
  body: Buffer
  route: RouteRule
  service: ServiceRule
  /** The organisation that holds the caller's key; absent where callers carry no keys, and for a request without a key. */
  organisation?: OrganisationRule
  /** Priority of the organisation, or else of the route; lower numbers are served first, beginning with 0. */
  priority: number
  /** Returns who sends the request by the rules in force now, or why it may not be sent to a worker any more. */
  identifyCaller (): Result<Caller, CallerRefusal>
  /** What was spent of the organisation's allowance. */
  spent: SpentAllowance
  /** Numbers of the connections to workers that have carried this request. */
  usedConnections: Set<number>
  reply: Reply
  /** Times in milliseconds on the monotonic clock. */
  startedMs: number
  deadlineMs: number
  /** Calls `fn` when the client disconnects, the deadline passes or the process exits; at once if that has already happened. */
  onStop (fn: (reason: StopReason) => void): void
  /** Returns why the request has stopped; undefined before the client disconnects, the deadline passes or the process exits. */
  stopReason (): StopReason | undefined
}

/** Reasons for stopping a request before its response is complete. */
export enum StopReason {
  ClientDisconnected = 'client_left',
  DeadlineExceeded = 'time_up',
  /** An unexpected error has ended the serving of the request. */
  HandlerFailed = 'handler_failed',
  /** The process exits, and the request has not ended within the grace period. */
  ProcessStops = 'process_stops',
  /** The search for another engine is over, because the silent stream goes on. */
  StreamGoesOn = 'stream_goes_on'
}

/** The result of a request, for the log. */
export interface RequestResult {
  status: number
  reason: string
  worker?: string
  attempts: number
  detail?: string | undefined
  /** Id of the engine that ran the prefill, when another one generated. */
  prefilled?: string | undefined
  /** Workers that the choice held back, with the reasons, as in `i-1:leaving`. */
  held?: string | undefined
  /** Bytes of the body that have come from the worker. */
  bytes?: number
  /** How the worker's response showed the end of its body. */
  framing?: Framing | undefined
  /** Expected time in milliseconds until the answer, when the choice was made by it. */
  expectedMs?: number | undefined
  /** Time in milliseconds for which the request waited for room at a worker, and that its client had used up before. */
  waitedMs?: number | undefined
  usedMs?: number | undefined
  /** Times in milliseconds; absent when they do not apply. */
  firstMs?: number
  pauseMs?: number
  holdMs?: number
  prefillMs?: number
}
