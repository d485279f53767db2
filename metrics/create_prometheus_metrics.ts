/**
 * Metrics that a process serves as text.
 */
import { createServer } from 'node:http'
import { monitorEventLoopDelay } from 'node:perf_hooks'
import { Counter, Gauge, Histogram, Registry } from 'prom-client'

/** Names the latencies that are measured, in milliseconds. */
export enum Latency {
  /** From a request to its final answer. */
  Request = 'request_ms',
  /** From a request to the first event of its stream. */
  FirstEvent = 'first_event_ms',
  /** Longest pause in a stream. */
  Pause = 'pause_ms',
  /** Wait for the memory of an engine. */
  Reservation = 'hold_ms',
  /** Wait for a prompt to be read. */
  Prefill = 'prefill_ms'
}

/** Names what is counted. */
export enum Count {
  /** Requests, by service, status and reason. */
  Requests = 'requests_total',
  /** Requests for the memory of engines, by result. */
  Reservations = 'holds_total',
  /** Repeated sends, by service. */
  Retries = 'retries_total',
  /** Prompt tokens that were read and not used. */
  WastedPrefillTokens = 'tokens_in_vain_total',
  /** Repeated sends that the shared bound did not allow, by service. */
  RetriesDenied = 'retries_denied_total',
  /** Calls to the store, by result. */
  StoreReads = 'store_reads_total'
}

const labels: { readonly [C in Count]: readonly string[] } = {
  [Count.Requests]: ['service', 'status', 'reason'],
  [Count.Reservations]: ['result'],
  [Count.Retries]: ['service'],
  [Count.WastedPrefillTokens]: [],
  [Count.RetriesDenied]: ['service'],
  [Count.StoreReads]: ['result']
}

const help: { readonly [M in Count | Latency]: string } = {
  [Count.Requests]: 'Requests by service, status and reason',
  [Count.Reservations]: 'Requests for the memory of engines by result',
  [Count.Retries]: 'Repeated sends by service',
  [Count.WastedPrefillTokens]: 'Prompt tokens read and not used',
  [Count.RetriesDenied]: 'Repeated sends that the shared bound did not allow by service',
  [Count.StoreReads]: 'Calls to the store by result',
  [Latency.Request]: 'Time from a request to its final answer in ms',
  [Latency.FirstEvent]: 'Time from a request to the first event in ms',
  [Latency.Pause]: 'Longest pause of a stream in ms',
  [Latency.Reservation]: 'Wait for memory in ms',
  [Latency.Prefill]: 'Wait for the prompt to be read in ms'
}

/** Upper bounds of the buckets in milliseconds: finer about the targets of the services, 250 to 900 ms. */
const bucketsMs = [5, 10, 25, 50, 100, 200, 300, 450, 600, 900, 1500, 3000, 6000, 14_000]
/** Prefix of every name. */
const prefix = 'briarloom_'
const loopResolutionMs = 100
const nsPerMs = 1e6

/** Values that are read when the metrics are asked for. */
export type GaugeReaders = { readonly [name: string]: () => number }

/** Collects the metrics of a process. */
export interface PrometheusMetrics {
  count (metric: Count, by?: { [label: string]: string }, delta?: number): void
  observe (metric: Latency, ms: number): void
  /** The text as it is served. */
  renderText (): Promise<string>
  close (): void
}

/** Configures served metrics. */
export interface PrometheusMetricsOptions {
  /** Address at which they are served; nowhere when absent. */
  listen?: { host: string, port: number }
  gauges: GaugeReaders
  /** Called when the address cannot be bound. */
  onError?: (message: string) => void
}

/**
 * Creates the metrics of a process and serves them at any path of the address.
 *
 * @param options the address and the gauges
 * @returns the metrics
 *
 * @example
 * ```ts
 * import { Count, createServedMetrics } from 'briarloom/metrics'
 *
 * createServedMetrics({ gauges: {} }).count(Count.Retries, { service: 'registre' })
 * ```
 */
export function createPrometheusMetrics (options: PrometheusMetricsOptions): PrometheusMetrics {
  const registers = [new Registry()]
  const [registry] = registers as [Registry]
  const counters = new Map(Object.values(Count).map((name) =>
    [name, new Counter({ name: prefix + name, help: help[name], labelNames: [...labels[name]], registers })]))
  const histograms = new Map(Object.values(Latency).map((name) =>
    [name, new Histogram({ name: prefix + name, help: help[name], buckets: bucketsMs, registers })]))
  const delay = monitorEventLoopDelay({ resolution: loopResolutionMs })
  delay.enable()
  const gauges: GaugeReaders = {
    event_loop_delay_p99_ms: () => delay.percentile(99) / nsPerMs,
    memory_bytes: () => process.memoryUsage.rss(),
    ...options.gauges
  }
  for (const [name, read] of Object.entries(gauges)) {
    const gauge: Gauge = new Gauge({ name: prefix + name, help: name.replaceAll('_', ' '), registers, collect: () => gauge.set(read()) })
  }
  const server = createServer((_req, res) => {
    registry.metrics().then((text) => res.writeHead(200, { 'Content-Type': registry.contentType }).end(text))
      .catch((err) => res.writeHead(500).end(String(err)))
  })
  server.on('error', (err) => options.onError?.(err.message))
  if (options.listen !== undefined) server.listen(options.listen.port, options.listen.host)

  return {
    count (metric, by = {}, delta = 1) { counters.get(metric)?.inc(by, delta) },
    observe (metric, ms) { histograms.get(metric)?.observe(ms) },
    renderText: () => registry.metrics(),
    close () {
      delay.disable()
      server.closeAllConnections()
      server.close()
    }
  }
}
