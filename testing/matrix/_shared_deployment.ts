/**
 * Starts and stops the deployment that the scenarios of one test process share.
 */
import { Firm, startDeployment } from '../deployment/mod.ts'
import type { Deployment } from '../deployment/mod.ts'

let shared: Deployment | undefined

/** Returns the shared deployment; starts it if there is none. */
export async function getSharedDeployment (): Promise<Deployment> {
  shared ??= await startDeployment({
    firm: Firm.Fleuve,
    zones: ['rimouski', 'levis'],
    entries: 2,
    prefill: 2,
    decode: 2,
    services: 2,
    engine: { prefillMsPerToken: 0.8, linkBytesPerMs: 2500, stepMs: 10 },
    service: { serviceMs: 150 },
    timings: { leaseMs: 1000, heartbeatMs: 250 },
    policy: { retryBudget: 1 },
    hostLagMs: 200
  })
  return shared
}

/** Stops the shared deployment, so that a failed scenario does not affect the next one. */
export async function discardDeployment (): Promise<void> {
  const discarded = shared
  shared = undefined
  await discarded?.stop()
}
