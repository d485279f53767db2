/**
 * Log lines and remembered decisions.
 */
export { createBoundedStream } from './create_bounded_stream.ts'
export { createDecisionRing } from './create_decision_ring.ts'
export { createLog } from './create_log.ts'
export { DecisionKind } from './_decision.ts'
export type { BoundedStream, BoundedStreamOptions, LogRecord } from './create_bounded_stream.ts'
export type { DecisionRing, DecisionRingOptions } from './create_decision_ring.ts'
export type { Log, LogFields, LogLevel, LogOptions } from './create_log.ts'
export type { Decision, RunnerUp } from './_decision.ts'
