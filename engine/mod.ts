/**
 * Adapters through which an agent speaks to the backend server beside it.
 */
export { EngineErrorKind } from './_types.ts'
export type {
  CacheEvent, DecodeEnd, DecodeJob, EngineAdapter, EngineError, EngineLoad, EngineOrder, EngineState, HeldStream,
  PrefillJob, PrefillResult, ServiceAdapter, ServiceCall, ServiceReply, TokenBatch
} from './_types.ts'
