/**
 * The table of all metrics.
 */

/** Names the metrics; the prefix of the settings goes before each name. */
export enum Metric {
  Requests = 'requests',
  RequestTime = 'request_time',
  TimeToFirstToken = 'first_token',
  TokenInterval = 'between_tokens',
  Tokens = 'tokens',
  CallersDisconnected = 'callers_gone',
  Refusals = 'refusals',
  Retries = 'retries',
  PrefilledTokens = 'prefilled_tokens',
  WastedPrefillTokens = 'wasted_prefill_tokens',
  Calls = 'calls',
  CallsReplayed = 'calls_replayed',
  TicketsIssued = 'tickets_issued',
  TicketsHeld = 'tickets_held',
  RequestsInFlight = 'requests_in_flight',
  QueueLength = 'queue_length',
  QueueTime = 'queue_time',
  SeatsUsed = 'seats_used',
  PiecesReserved = 'pieces_reserved',
  Cancels = 'cancels',
  CancelTime = 'cancel_time',
  LeasesLost = 'leases_lost',
  Connections = 'connections',
  Orders = 'orders',
  ConfigRevision = 'config_revision',
  FailedConfigReads = 'config_reads',
  RejectedConfigRecords = 'config_refused',
  Pauses = 'pauses'
}

/** Names the kinds of metrics. */
export enum MetricKind {
  Counter = 'counter',
  Gauge = 'gauge',
  Timing = 'timing'
}

/** Describes one metric. */
export interface MetricSpec {
  kind: MetricKind
  unit: string
  /** Names of the tags. */
  tags: readonly string[]
  meaning: string
}

const { Counter, Gauge, Timing } = MetricKind

/** Describes every metric. */
export const metricTable = {
  [Metric.Requests]: { kind: Counter, unit: 'requests', tags: ['tier', 'outcome'], meaning: 'model requests that ended' },
  [Metric.RequestTime]: { kind: Timing, unit: 'ms', tags: ['tier'], meaning: 'time from a request to its end' },
  [Metric.TimeToFirstToken]: { kind: Timing, unit: 'ms', tags: ['tier'], meaning: 'time to the first token' },
  [Metric.TokenInterval]: { kind: Timing, unit: 'ms', tags: ['tier'], meaning: 'time between tokens' },
  [Metric.Tokens]: { kind: Counter, unit: 'tokens', tags: ['tier'], meaning: 'tokens sent to callers' },
  [Metric.CallersDisconnected]: { kind: Counter, unit: 'requests', tags: ['tier'], meaning: 'requests whose caller went away' },
  [Metric.Refusals]: { kind: Counter, unit: 'requests', tags: ['tier', 'code'], meaning: 'refusals by their code' },
  [Metric.Retries]: { kind: Counter, unit: 'attempts', tags: ['code'], meaning: 'attempts after the first' },
  [Metric.PrefilledTokens]: { kind: Counter, unit: 'tokens', tags: ['tier'], meaning: 'prompt tokens prefilled' },
  [Metric.WastedPrefillTokens]: { kind: Counter, unit: 'tokens', tags: ['cause'], meaning: 'prefilled and never decoded' },
  [Metric.Calls]: { kind: Counter, unit: 'calls', tags: ['service', 'outcome'], meaning: 'service calls that ended' },
  [Metric.CallsReplayed]: { kind: Counter, unit: 'calls', tags: ['service'], meaning: 'repeats answered from the record' },
  [Metric.TicketsIssued]: { kind: Counter, unit: 'tickets', tags: ['service'], meaning: 'tickets handed out' },
  [Metric.TicketsHeld]: { kind: Gauge, unit: 'tickets', tags: [], meaning: 'tickets that the agent remembers' },
  [Metric.RequestsInFlight]: { kind: Gauge, unit: 'requests', tags: [], meaning: 'requests and calls in flight' },
  [Metric.QueueLength]: { kind: Gauge, unit: 'requests', tags: ['class'], meaning: 'work that waits at the agent' },
  [Metric.QueueTime]: { kind: Timing, unit: 'ms', tags: ['class'], meaning: 'time that admitted work had waited' },
  [Metric.SeatsUsed]: { kind: Gauge, unit: 'seats', tags: [], meaning: 'seats of the engine in use' },
  [Metric.PiecesReserved]: { kind: Gauge, unit: 'pieces', tags: [], meaning: 'engine memory that is reserved' },
  [Metric.Cancels]: { kind: Counter, unit: 'attempts', tags: ['cause'], meaning: 'attempts cancelled at the engine' },
  [Metric.CancelTime]: { kind: Timing, unit: 'ms', tags: [], meaning: 'time until the engine confirmed a cancel' },
  [Metric.LeasesLost]: { kind: Counter, unit: 'leases', tags: ['cause'], meaning: 'leases that ended with live work' },
  [Metric.Connections]: { kind: Gauge, unit: 'connections', tags: ['process'], meaning: 'peers connected' },
  [Metric.Orders]: { kind: Counter, unit: 'orders', tags: ['result'], meaning: 'orders given to the engine' },
  [Metric.ConfigRevision]: { kind: Gauge, unit: 'revision', tags: [], meaning: 'highest revision in force' },
  [Metric.FailedConfigReads]: { kind: Counter, unit: 'reads', tags: ['result'], meaning: 'failed reads of the configuration service' },
  [Metric.RejectedConfigRecords]: { kind: Counter, unit: 'records', tags: [], meaning: 'records that were not accepted' },
  [Metric.Pauses]: { kind: Counter, unit: 'pauses', tags: [], meaning: 'pauses of the process beyond the lease' }
} as const satisfies Record<Metric, MetricSpec>

/** The metrics of one kind. */
export type MetricOf<K extends MetricKind> = {
  [M in Metric]: (typeof metricTable)[M]['kind'] extends K ? M : never
}[Metric]

/** The tags of one metric. */
export type TagsOf<M extends Metric> = { [T in (typeof metricTable)[M]['tags'][number]]: string }
