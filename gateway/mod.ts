/**
 * The process that forwards the requests of clients to workers on the platform.
 */
export { startGateway } from './start_gateway.ts'
export type { Gateway, GatewayOptions } from './start_gateway.ts'
