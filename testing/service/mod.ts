/**
 * A stand-in for a plain service that counts how often each call ran.
 */
export { startService } from './start_service.ts'
export type { ServiceOptions, ServiceStandIn } from './start_service.ts'
