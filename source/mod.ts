/**
 * Adapters for the configuration service and the host list of the platform; both are read only.
 */
export { HostState } from './_types.ts'
export { configAdapters, hostListAdapters } from './adapters.ts'
export { createConfigHttp } from './create_config_http.ts'
export { createHostListHttp } from './create_host_list_http.ts'
export type { PlatformAdapterOptions } from './adapters.ts'
export type { ConfigHttpOptions } from './create_config_http.ts'
export type { HostListHttpOptions } from './create_host_list_http.ts'
export type {
  ConfigChange, ConfigPage, ConfigService, HostEntry, HostList, PlatformError
} from './_types.ts'
