/**
 * A stand-in for the platform's configuration service.
 */
export { startConfigService } from './start_config_service.ts'
export type { ConfigServiceOptions, ConfigServiceStandIn } from './start_config_service.ts'
