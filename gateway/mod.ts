/**
 * The gateway: the process that forwards the requests of clients to workers of the platform.
 */
export { startGateway } from './start_gateway.ts'
export type { Gateway, GatewayOptions } from './start_gateway.ts'
