/**
 * Metrics from typed tables of names: over StatsD, or served as text.
 */
export { createMetrics } from './create_metrics.ts'
export { Metric, MetricKind, metricTable } from './_table.ts'
export type { Metrics, MetricsOptions, TagArgs } from './create_metrics.ts'
export type { MetricOf, MetricSpec, TagsOf } from './_table.ts'
export { Count, createPrometheusMetrics, Latency } from './create_prometheus_metrics.ts'
export type { GaugeReaders, PrometheusMetrics, PrometheusMetricsOptions } from './create_prometheus_metrics.ts'
