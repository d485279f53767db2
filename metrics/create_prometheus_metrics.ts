/**
 * Metrics that a process serves over HTTP as Prometheus text.
 */
import { createServer } from 'node:http'
import { monitorEventLoopDelay } from 'node:perf_hooks'
import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import type { Server } from 'node:http'

/** Names the latency histograms, in milliseconds. */
export enum Latency {
  /** Time from a request to its final response. */
  Request = 'request_ms',
  /** Time from a request to the first event of its stream. */
  FirstEvent = 'first_event_ms',
  /** Longest time between two pieces of data of a stream. */
  Pause = 'pause_ms',
  /** Wait until an engine has reserved memory for the request. */
  Reservation = 'hold_ms',
  /** Wait until the prompt is prefilled. */
  Prefill = 'prefill_ms'
}

/** Names the counters. */
export enum Count {
  /** Requests, by service, status and reason. */
  Requests = 'requests_total',
  /** Requests to reserve memory of engines, by result. */
  Reservations = 'holds_total',
  /** Retries, by service. */
  Retries = 'retries_total',
  /** Prompt tokens that were prefilled but not used. */
  WastedPrefillTokens = 'tokens_in_vain_total',
  /** Retries that the shared retry budget did not allow, by service. */
  RetriesDenied = 'retries_denied_total',
  /** Streams of engines that broke, by phase: before their first event (`start`) or after it (`midway`). */
  StreamsLost = 'streams_lost_total',
  /** Times at which a stream that may resume elsewhere fell silent, by service. */
  StreamsSilent = 'streams_silent_total',
  /** Crashes of engines just after a request had begun, as this process observed them, by service. */
  EngineCrashes = 'engine_crashes_total',
  /** Evidence on prompts that crash engines which a bound on memory has pushed out, by kind. */
  EvidenceDropped = 'prompt_evidence_dropped_total',
  /** Workers that a choice held back, by service and reason. */
  SendsHeld = 'sends_held_total',
  /** Requests of plain services that were placed by expected completion, by service and decision. */
  PlainPlacements = 'plain_placements_total',
  /** Calls to the configuration store, by result. */
  StoreReads = 'store_reads_total',
  /** Connections of clients that closed while a request had no complete response, by the side that closed them. */
  Unanswered = 'requests_unanswered_total',
  /** Connections of callers that were closed to keep a bound, by the address and the reason. */
  ConnectionsClosed = 'connections_closed_total',
  /** Records of the store that had no effect although they differ from the known ones, by reason. */
  RecordsPassedOver = 'records_passed_over_total',
  /** Units of the allowances of organisations that requests asked for, by organisation and result. */
  AllowanceUnits = 'allowance_units_total'
}

const labelNames: { readonly [C in Count]: readonly string[] } = {
  [Count.Requests]: ['service', 'status', 'reason'],
  [Count.Reservations]: ['result'],
  [Count.Retries]: ['service'],
  [Count.WastedPrefillTokens]: [],
  [Count.RetriesDenied]: ['service'],
  [Count.StreamsLost]: ['phase'],
  [Count.StreamsSilent]: ['service'],
  [Count.EngineCrashes]: ['service'],
  [Count.EvidenceDropped]: ['kind'],
  [Count.SendsHeld]: ['service', 'reason'],
  [Count.PlainPlacements]: ['service', 'decision'],
  [Count.StoreReads]: ['result'],
  [Count.Unanswered]: ['closed_by'],
  [Count.ConnectionsClosed]: ['address', 'reason'],
  [Count.RecordsPassedOver]: ['reason'],
  [Count.AllowanceUnits]: ['organisation', 'result']
}

const helpTexts: { readonly [M in Count | Latency]: string } = {
  [Count.Requests]: 'Requests by service, status and reason',
  [Count.Reservations]: 'Requests for the memory of engines by result',
  [Count.Retries]: 'Repeated sends by service',
  [Count.WastedPrefillTokens]: 'Prompt tokens read and not used',
  [Count.RetriesDenied]: 'Repeated sends that the shared bound did not allow by service',
  [Count.StreamsLost]: 'Streams of engines that broke, by phase',
  [Count.StreamsSilent]: 'Silences of streams that may resume elsewhere, by service',
  [Count.EngineCrashes]: 'Crashes of engines just after a request had begun, by service',
  [Count.EvidenceDropped]: 'Evidence on prompts that crash engines, pushed out by a bound on memory, by kind',
  [Count.SendsHeld]: 'Workers that the choice for a request held back, by service and reason',
  [Count.PlainPlacements]: 'Requests of plain services placed by expected completion, by service and decision',
  [Count.StoreReads]: 'Calls to the store by result',
  [Count.Unanswered]: 'Requests whose connection closed before their response was complete, by the side that closed it',
  [Count.ConnectionsClosed]: 'Connections of callers that were closed to keep a bound, by address and reason',
  [Count.RecordsPassedOver]: 'Records of the store without effect, by reason',
  [Count.AllowanceUnits]: 'Units of allowances that requests asked for, by organisation and result',
  [Latency.Request]: 'Time from a request to its final answer in ms',
  [Latency.FirstEvent]: 'Time from a request to the first event in ms',
  [Latency.Pause]: 'Longest pause of a stream in ms',
  [Latency.Reservation]: 'Wait for memory in ms',
  [Latency.Prefill]: 'Wait for the prompt to be read in ms'
}

/** Upper bounds of the histogram buckets; finer around the latency targets of the services, 250 to 900 ms. */
const bucketsMs = [5, 10, 25, 50, 100, 200, 300, 450, 600, 900, 1500, 3000, 6000, 14_000]
/** Prefix of every metric name. */
const namePrefix = 'briarloom_'
/** Sampling interval of the event loop delay. */
const loopDelayResolutionMs = 100
const nsPerMs = 1e6
/** Times in milliseconds within which a reader must send its head, and its whole request. */
const headersTimeoutMs = 5_000
const requestTimeoutMs = 10_000

/** Functions that read the gauges, by name; they are called each time the metrics are rendered. */
export type GaugeReaders = { readonly [name: string]: () => number }

/** Collects the metrics of a process. */
export interface PrometheusMetrics {
  /** Adds `delta`, 1 by default, to the counter with these label values. */
  count (metric: Count, labels?: { [label: string]: string }, delta?: number): void
  /** Adds a duration in milliseconds to a histogram. */
  observe (metric: Latency, ms: number): void
  /** Returns all metrics in the Prometheus text format. */
  renderText (): Promise<string>
  /** Stops measuring the event loop delay and closes the server with its connections. */
  close (): void
}

/** Configures Prometheus metrics. */
export interface PrometheusMetricsOptions {
  /** Address at which the metrics are served; they are not served when it is absent. */
  listen?: { host: string, port: number }
  /** Gauges of the process, besides event loop delay and memory. */
  gauges: GaugeReaders
  /** Receives the server before it accepts connections. */
  onServer?: (server: Server) => void
  /** Called with the error message of the server, such as when the address cannot be bound. */
  onError?: (message: string) => void
}

/**
 * Creates the metrics of a process and serves them at every path of the address.
 *
 * @param options the address, the gauges and the error callback
 * @returns the metrics
 *
 * @example
 * ```ts
 * import { Count, createPrometheusMetrics } from 'briarloom/metrics'
 *
 * createPrometheusMetrics({ gauges: {} }).count(Count.Retries, { service: 'registre' })
 * ```
 */
export function createPrometheusMetrics (options: PrometheusMetricsOptions): PrometheusMetrics {
  const registers = [new Registry()]
  const [registry] = registers as [Registry]
  const counters = new Map(Object.values(Count).map((name) =>
    [name, new Counter({ name: namePrefix + name, help: helpTexts[name], labelNames: [...labelNames[name]], registers })]))
  const histograms = new Map(Object.values(Latency).map((name) =>
    [name, new Histogram({ name: namePrefix + name, help: helpTexts[name], buckets: bucketsMs, registers })]))
  const loopDelay = monitorEventLoopDelay({ resolution: loopDelayResolutionMs })
  loopDelay.enable()
  const gauges: GaugeReaders = {
    event_loop_delay_p99_ms: () => loopDelay.percentile(99) / nsPerMs,
    memory_bytes: () => process.memoryUsage.rss(),
    ...options.gauges
  }
  for (const [name, read] of Object.entries(gauges)) {
    const gauge: Gauge = new Gauge({ name: namePrefix + name, help: name.replaceAll('_', ' '), registers, collect: () => gauge.set(read()) })
  }
  const server = createServer({ headersTimeout: headersTimeoutMs, requestTimeout: requestTimeoutMs }, (_req, res) => {
    registry.metrics().then((text) => res.writeHead(200, { 'Content-Type': registry.contentType }).end(text))
      .catch((err) => res.writeHead(500).end(String(err)))
  })
  server.on('error', (err) => options.onError?.(err.message))
  options.onServer?.(server)
  if (options.listen !== undefined) server.listen(options.listen.port, options.listen.host)

  return {
    count (metric, labels = {}, delta = 1) { counters.get(metric)?.inc(labels, delta) },
    observe (metric, ms) { histograms.get(metric)?.observe(ms) },
    renderText: () => registry.metrics(),
    close () {
      loopDelay.disable()
      server.closeAllConnections()
      server.close()
    }
  }
}
