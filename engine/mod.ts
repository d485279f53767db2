/**
 * Adapters through which an agent calls the backend server next to it: an engine or a plain service.
 */
export { EngineErrorKind } from './_types.ts'
export { createEngineHttp } from './create_engine_http.ts'
export { createServiceHttp } from './create_service_http.ts'
export { EngineAdapterName, engineAdapters, ServiceAdapterName, serviceAdapters } from './adapters.ts'
export type { EngineAdapterFactory, ServiceAdapterFactory } from './adapters.ts'
export type { EngineHttpOptions } from './create_engine_http.ts'
export type { ServiceHttpOptions } from './create_service_http.ts'
export type {
  CacheEvent, DecodeEnd, DecodeJob, EngineAdapter, EngineError, EngineLoad, EngineOrder, EngineState, HeldStream,
  PrefillJob, PrefillResult, ServiceAdapter, ServiceCall, ServiceReply, TokenBatch
} from './_types.ts'
