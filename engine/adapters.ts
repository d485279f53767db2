/**
 * Lookup tables of the adapters by the adapter name in a backend record.
 */
import type { Timer } from '../timer/mod.ts'
import { createEngineHttp } from './create_engine_http.ts'
import { createServiceHttp } from './create_service_http.ts'
import type { EngineAdapter, ServiceAdapter } from './_types.ts'

/** Names the protocols of engines. */
export enum EngineAdapterName {
  EngineHttp = 'engine_http'
}

/** Names the protocols of plain services. */
export enum ServiceAdapterName {
  ServiceHttp = 'service_http'
}

/** Creates the adapter of an engine at an address `ip:port`. */
export type EngineAdapterFactory = (options: { address: string, timeoutMs?: number, timer?: Timer }) => EngineAdapter

/** Creates the adapter of a plain service at an address `ip:port`. */
export type ServiceAdapterFactory = (options: { address: string, maxReplyBytes?: number, timer?: Timer }) => ServiceAdapter

/**
 * Holds the factory of each engine adapter.
 *
 * @example
 * ```ts
 * import { EngineAdapterName, engineAdapters } from 'briarloom/engine'
 *
 * const engine = engineAdapters[EngineAdapterName.EngineHttp]({ address: '127.0.0.1:9000' })
 * await engine.close()
 * ```
 */
export const engineAdapters: { [K in EngineAdapterName]: EngineAdapterFactory } = {
  [EngineAdapterName.EngineHttp]: createEngineHttp
}

/**
 * Holds the factory of each service adapter.
 *
 * @example
 * ```ts
 * import { ServiceAdapterName, serviceAdapters } from 'briarloom/engine'
 *
 * const service = serviceAdapters[ServiceAdapterName.ServiceHttp]({ address: '127.0.0.1:9001' })
 * await service.close()
 * ```
 */
export const serviceAdapters: { [K in ServiceAdapterName]: ServiceAdapterFactory } = {
  [ServiceAdapterName.ServiceHttp]: createServiceHttp
}
