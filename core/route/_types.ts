/**
 * Types of the routing rules that an operator publishes.
 */

/** Kinds of requests, by whether they may be repeated. */
export enum RequestKind {
  /** May run more than once. */
  Idempotent = 'idempotent',
  /** May run at most once. */
  NonIdempotent = 'non_idempotent',
  /** Its response is an event stream. May run at most once, unless the route allows it to resume. */
  Streaming = 'streaming'
}

/** A service and its share of the requests of a route. */
export interface RouteTarget {
  service: string
  /** Weight of the service, relative to the other targets. */
  weight: number
}

/** Rules of one route. */
export interface RouteRule {
  name: string
  /** Host name in the request, in lower case. */
  host: string
  /** Prefix of the path; begins and ends with a slash. */
  prefix: string
  kind: RequestKind
  targets: RouteTarget[]
  /** Timeout of a request in milliseconds, after which it gets a final response in any case. */
  timeoutMs: number
  /** Target in milliseconds for the response, or for the first event of a stream. */
  targetLatencyMs: number
  /** Target in milliseconds for the longest pause between two events of a stream. */
  longestPauseMs: number
  /** Priority of the route; lower numbers are served first, beginning with 0. */
  priority: number
  /** Maximum number of workers to which one request is sent. */
  maxAttempts: number
  /** True when an interrupted stream may be resumed at another worker. */
  mayResume: boolean
  /** True when a request without a key is served too, where callers carry keys. */
  allowsAnonymous: boolean
}

/** Properties of the engines of a service. */
export interface EngineRule {
  /** Maximum number of requests that an engine runs at once. */
  slots: number
  /** KV cache memory of an engine, in tokens. */
  memoryTokens: number
  /** Maximum number of tokens in one event. */
  tokensPerEvent: number
  /** Time in milliseconds for which an engine keeps a KV cache that is not fetched. */
  handleTtlMs: number
  /** Time in milliseconds that an engine takes to switch between prefill and decode. */
  stageSwitchMs: number
  /** Maximum lease of a memory reservation, in milliseconds. */
  holdMs: number
}

/** Rules of one service. */
export interface ServiceRule {
  name: string
  /** Maximum number of connections that a worker accepts from all callers together. */
  maxConnections: number
  /** Present when the workers of the service are engines. */
  engine?: EngineRule
}

/** What an allowance counts. */
export enum AllowanceUnit {
  Requests = 'requests',
  /** The prompt tokens and the most output tokens that a request states. */
  Tokens = 'tokens'
}

/** How much an organisation may send. */
export interface AllowanceRule {
  unit: AllowanceUnit
  /** Units per second, over all machines together. */
  perS: number
  /** Units beyond that rate, over all machines together. */
  burst: number
  /** Units that are counted for a request that states no tokens; applies to tokens only. */
  plainTokens: number
}

/** An organisation, its keys and its allowance. */
export interface OrganisationRule {
  name: string
  /** API keys of its callers. Secrets: they must not get into logs, metrics or errors. */
  keys: readonly string[]
  /** Priority of its requests, before that of their route; lower numbers are served first, beginning with 0. */
  priority?: number
  /** Absent when it may send without limit. */
  allowance?: AllowanceRule
}

/** Limits on what a client may send. */
export interface ClientLimits {
  maxHeaderBytes: number
  maxBodyBytes: number
  /** Time in milliseconds within which the header of a request must arrive. */
  headerTimeoutMs: number
  /** Time in milliseconds after which an idle connection is closed. */
  idleTimeoutMs: number
}

/** One version of the routing rules. */
export interface RoutingRules {
  /** Version number; later versions have higher numbers. */
  version: number
  routes: RouteRule[]
  services: ServiceRule[]
  limits: ClientLimits
  /** Absent when callers carry no keys. */
  organisations?: readonly OrganisationRule[]
}
