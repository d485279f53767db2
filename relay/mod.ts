/**
 * The task that brings the configuration into force in every process, from the configuration service and from peers.
 */
export { createConfigRelay } from './create_config_relay.ts'
export { RelayEventKind } from './_types.ts'
export type { ConfigRelayOptions } from './_options.ts'
export type { ConfigRelay, RelayEvent, RelayMessage, RelayStatus } from './_types.ts'
