/**
 * Runs a whole deployment on the loopback address: entries, agents and stand-ins, each in a process of its own.
 */
export { Firm } from './_firms.ts'
export { startDeployment } from './start_deployment.ts'
export type { Deployment } from './start_deployment.ts'
export type { DeploymentOptions } from './_layout.ts'
export type { FirmLayout } from './_firms.ts'
export type { ManagedProcess } from './_process.ts'
