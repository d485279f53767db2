/**
 * The messages between gateways and exchange points, by which gateways learn what all of them together have at the workers of plain services.
 */
import type { LoadEntry, LoadReportData, LoadTopic } from '../core/cost/mod.ts'
import type { MessageKind } from './message_kind.ts'

/** Reports all that a gateway has at workers of plain services, and what it has measured of their speed. */
export interface WorkerLoads extends LoadReportData {
  kind: MessageKind.WorkerLoads
  topic: LoadTopic
  /** True when the gateway wants a `WorkerLoadsSum` in return. */
  asks: boolean
}

/** Answers `WorkerLoads` with the sum over the other gateways. */
export interface WorkerLoadsSum {
  kind: MessageKind.WorkerLoadsSum
  topic: LoadTopic
  /** Counter of the report that it answers. */
  seq: number
  /** Mean age in milliseconds of the reports behind the sum. */
  ageMs: number
  loads: LoadEntry[]
}
