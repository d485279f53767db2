/**
 * Sends counters, gauges and timings to a StatsD server.
 */
import { StatsD } from 'hot-shots'
import type { Metric, MetricKind, MetricOf, TagsOf } from './_table.ts'

/** Configures the StatsD metrics of a process. */
export interface MetricsOptions {
  /** Host of the StatsD server. */
  host: string
  /** UDP port of the StatsD server. */
  port: number
  /** Prefix of each name, joined to it by a dot; empty for none. */
  prefix: string
}

/** The tags of a metric as the last argument; none when the metric has no tags. */
export type TagArgs<M extends Metric> = keyof TagsOf<M> extends never ? [] : [tags: TagsOf<M>]

/** Sends metrics to a StatsD server; metrics that are lost are not reported. */
export interface Metrics {
  /** Adds `delta` to a counter. */
  count<M extends MetricOf<MetricKind.Counter>> (metric: M, delta: number, ...tags: TagArgs<M>): void
  /** Sets a gauge. */
  gauge<M extends MetricOf<MetricKind.Gauge>> (metric: M, value: number, ...tags: TagArgs<M>): void
  /** Records a duration in milliseconds. */
  timing<M extends MetricOf<MetricKind.Timing>> (metric: M, ms: number, ...tags: TagArgs<M>): void
  /** Sends the buffered metrics and closes the socket. */
  close (): Promise<void>
}

/** Largest packet in bytes that a common network (MTU of 1500 bytes) carries without fragmentation. */
const maxPacketBytes = 1432
const flushPeriodMs = 500

/** Metrics of a process without a StatsD server. */
const noopMetrics: Metrics = {
  count () {},
  gauge () {},
  timing () {},
  close: () => Promise.resolve()
}

/**
 * Creates the StatsD metrics of a process.
 *
 * @param options the StatsD server and the prefix; undefined to send nothing
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
  if (options === undefined) return noopMetrics
  const client = new StatsD({
    host: options.host,
    port: options.port,
    prefix: options.prefix === '' ? '' : `${options.prefix}.`,
    maxBufferSize: maxPacketBytes,
    bufferFlushInterval: flushPeriodMs,
    // Metrics are best effort: an unreachable server must not end the process.
    errorHandler: () => {}
  })
  return {
    count: (metric, delta, ...[tags]) => { client.increment(metric, delta, tags) },
    gauge: (metric, value, ...[tags]) => { client.gauge(metric, value, tags) },
    timing: (metric, ms, ...[tags]) => { client.timing(metric, ms, tags) },
    close: () => new Promise((resolve) => { client.close(() => resolve()) })
  }
}
