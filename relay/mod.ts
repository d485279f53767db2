/**
 * The relay that distributes the configuration to every process, from the configuration service and between peers.
 */
export { createConfigRelay } from './create_config_relay.ts'
export { RelayEventKind } from './_types.ts'
export type { ConfigRelayOptions } from './_options.ts'
export type { ConfigRelay, RelayEvent, RelayMessage, RelayStatus } from './_types.ts'
