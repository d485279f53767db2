/**
 * Starts the deployments that the detection bench compares.
 */
import { Firm, startDeployment } from '../../testing/deployment/mod.ts'
import type { Deployment } from '../../testing/deployment/mod.ts'

/** Names the two kinds of deployment; they differ in how entries detect a fault. */
export enum Arm {
  /** Entries are connected to each other and report the faults that they detect. */
  PeerReports = 'told',
  /** Entries are not connected to each other, so each one relies on its own timeouts. */
  Isolated = 'alone'
}

const entryCount = 3
const hostLagMs = 200
/** Longer than `hostLagMs`, so that restarted entries don't read an outdated host list. */
const hostListSettleMs = 1000

/** Waits for a number of milliseconds on the deployment's timer. */
export function sleep (deployment: Deployment, ms: number): Promise<void> {
  return new Promise((resolve) => deployment.timer.after(ms, resolve))
}

/** Marks the entries as gone in the host list and restarts them, so that they don't connect to each other. */
async function isolateEntries (deployment: Deployment): Promise<void> {
  const { entries } = deployment.layout
  for (const { name } of entries) await deployment.kill(`entry/${name}`)
  for (const { name } of entries) await deployment.setHostState(name, 'gone')
  await sleep(deployment, hostListSettleMs)
  for (const { name } of entries) deployment.getProcess(`entry/${name}`).restart()
  await deployment.waitUntilServing(hostListSettleMs * 10)
}

/** Starts the processes of one arm and returns the running deployment. */
export async function startArm (arm: Arm): Promise<Deployment> {
  const deployment = await startDeployment({
    firm: Firm.Fleuve, zones: ['levis'], entries: entryCount, prefill: 1, decode: 3, services: 0, hostLagMs
  })
  if (arm === Arm.Isolated) await isolateEntries(deployment)
  return deployment
}
