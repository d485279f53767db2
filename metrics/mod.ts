/**
 * Metrics over StatsD, from a typed table of names.
 */
export { createMetrics } from './create_metrics.ts'
export { Metric, MetricKind, metricTable } from './_table.ts'
export type { Metrics, MetricsOptions, TagArgs } from './create_metrics.ts'
export type { MetricOf, MetricSpec, TagsOf } from './_table.ts'
