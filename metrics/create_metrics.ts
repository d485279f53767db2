/**
 * Sends counters, gauges and timings to a StatsD server.
 */
import { StatsD } from 'hot-shots'
import type { Metric, MetricKind, MetricOf, TagsOf } from './_table.ts'

/** Configures the metrics of a process. */
export interface MetricsOptions {
  /** Host of the StatsD server. */
  host: string
  /** UDP port of the StatsD server. */
  port: number
  /** Goes before each name, with a dot between. */
  prefix: string
}

/** The tags of a metric as the last argument; none when the metric has no tags. */
export type TagArgs<M extends Metric> = keyof TagsOf<M> extends never ? [] : [tags: TagsOf<M>]

/** Sends metrics; a lost one is not reported. */
export interface Metrics {
  count<M extends MetricOf<MetricKind.Counter>> (metric: M, delta: number, ...tags: TagArgs<M>): void
  gauge<M extends MetricOf<MetricKind.Gauge>> (metric: M, value: number, ...tags: TagArgs<M>): void
  /** Records a time in milliseconds. */
  timing<M extends MetricOf<MetricKind.Timing>> (metric: M, ms: number, ...tags: TagArgs<M>): void
  /** Sends what is buffered and closes the socket. */
  close (): Promise<void>
}

/** Largest packet in bytes that crosses a usual network whole. */
const maxPacketBytes = 1432
const flushPeriodMs = 500

const silent: Metrics = {
  count () {},
  gauge () {},
  timing () {},
  close: () => Promise.resolve()
}

/**
 * Creates the metrics of a process.
 *
 * @param options the StatsD server and the prefix; without them nothing is sent
 * @returns the metrics
 *
 * @example
 * ```ts
 * import { createMetrics, Metric } from 'briarloom/metrics'
 *
 * createMetrics(undefined).count(Metric.Requests, 1, { tier: 'payant', outcome: 'done' })
 * ```
 */
export function createMetrics (options: MetricsOptions | undefined): Metrics {
  if (options === undefined) return silent
  const client = new StatsD({
    host: options.host,
    port: options.port,
    prefix: options.prefix === '' ? '' : `${options.prefix}.`,
    maxBufferSize: maxPacketBytes,
    bufferFlushInterval: flushPeriodMs,
    // Metrics are best effort: a server that is down must not end the process.
    errorHandler: () => {}
  })
  return {
    count: (metric, delta, ...[tags]) => { client.increment(metric, delta, tags) },
    gauge: (metric, value, ...[tags]) => { client.gauge(metric, value, tags) },
    timing: (metric, ms, ...[tags]) => { client.timing(metric, ms, tags) },
    close: () => new Promise((resolve) => { client.close(() => resolve()) })
  }
}
