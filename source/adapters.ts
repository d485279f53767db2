/**
 * Lookup tables of the platform adapters by the adapter name in the settings.
 */
import type { ConfigService, HostList } from './_types.ts'
import { createConfigHttp } from './create_config_http.ts'
import { createHostListHttp } from './create_host_list_http.ts'

/** Configures a platform adapter. */
export interface PlatformAdapterOptions {
  /** Origin of the service, such as `http://127.0.0.1:8500`. */
  url: string
}

/**
 * The factory of each adapter of a configuration service, by name.
 *
 * @example
 * ```ts
 * import { configAdapters } from 'briarloom/source'
 *
 * const service = configAdapters.config_http?.({ url: 'http://127.0.0.1:8500' })
 * await service?.close()
 * ```
 */
export const configAdapters: { [name: string]: (options: PlatformAdapterOptions) => ConfigService } = {
  config_http: createConfigHttp
}

/**
 * The factory of each adapter of a host list, by name.
 *
 * @example
 * ```ts
 * import { hostListAdapters } from 'briarloom/source'
 *
 * const hosts = hostListAdapters.hosts_http?.({ url: 'http://127.0.0.1:8501' })
 * await hosts?.close()
 * ```
 */
export const hostListAdapters: { [name: string]: (options: PlatformAdapterOptions) => HostList } = {
  hosts_http: createHostListHttp
}
