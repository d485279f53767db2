/**
 * Types of the routing rules that an operator publishes.
 */

/** Names what may be repeated of a request. */
export enum RequestKind {
  /** May run more than once. */
  Idempotent = 'idempotent',
  /** May run at most once. */
  NonIdempotent = 'non_idempotent',
  /** Runs at most once and answers with events, unless the route lets it resume. */
  Streaming = 'streaming'
}

/** Names a service and its share of the requests of a route. */
export interface RouteTarget {
  service: string
  /** Share of the requests, relative to the weights of the other targets. */
  weight: number
}

/** Describes one route. */
export interface RouteRule {
  name: string
  /** Host that requests name, in lower case. */
  host: string
  /** Beginning of the path, with a slash at both ends. */
  prefix: string
  kind: RequestKind
  targets: RouteTarget[]
  /** Time in milliseconds after which a request gets its final answer. */
  timeoutMs: number
  /** Time in milliseconds within which an answer, or the first event of a stream, is on time. */
  targetLatencyMs: number
  /** Longest pause in milliseconds between two events of a stream that is on time. */
  longestPauseMs: number
  /** Rank of the route; 0 goes first. */
  priority: number
  /** Highest number of workers to which one request is sent. */
  maxAttempts: number
  /** True when a broken stream may go on at another worker. */
  mayResume: boolean
}

/** Describes the engines of a service. */
export interface EngineRule {
  /** Number of requests that an engine runs at once. */
  slots: number
  /** Memory of an engine in tokens. */
  memoryTokens: number
  /** Most tokens that one event carries. */
  tokensPerEvent: number
  /** Time in milliseconds for which an engine keeps a KV cache that nobody takes. */
  handleTtlMs: number
  /** Time in milliseconds that a change of stage takes. */
  stageSwitchMs: number
  /** Longest lease in milliseconds of a memory reservation. */
  holdMs: number
}

/** Describes one service. */
export interface ServiceRule {
  name: string
  /** Most connections that a worker accepts from all callers together. */
  maxConnections: number
  /** Set when the workers are engines. */
  engine?: EngineRule
}

/** Bounds what a client may send. */
export interface ClientLimits {
  maxHeaderBytes: number
  maxBodyBytes: number
  /** Time in milliseconds within which the head of a request must arrive. */
  headerTimeoutMs: number
  /** Time in milliseconds after which an idle connection is closed. */
  idleTimeoutMs: number
}

/** Holds one version of the routing rules. */
export interface RoutingRules {
  /** Version of the rules; later ones are higher. */
  version: number
  routes: RouteRule[]
  services: ServiceRule[]
  limits: ClientLimits
}
