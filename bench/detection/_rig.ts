/**
 * Starts the deployments that are compared.
 */
import { Firm, startDeployment } from '../../testing/deployment/mod.ts'
import type { Deployment } from '../../testing/deployment/mod.ts'

/** Names the ways in which entries learn of a fault. */
export enum Arm {
  /** Entries are connected to each other and report what they see. */
  PeerReports = 'told',
  /** Entries do not know of each other, so that each relies on its own timeouts. */
  Isolated = 'alone'
}

const entryCount = 3
const hostLagMs = 200
const settleMs = 1000

/** Waits. */
export function sleep (deployment: Deployment, ms: number): Promise<void> {
  return new Promise((resolve) => deployment.timer.after(ms, resolve))
}

/** Takes the entries off the host list and starts them again, so that no connection between them is made. */
async function separate (deployment: Deployment): Promise<void> {
  const { entries } = deployment.layout
  for (const { name } of entries) await deployment.kill(`entry/${name}`)
  for (const { name } of entries) await deployment.setHostState(name, 'gone')
  await sleep(deployment, settleMs)
  for (const { name } of entries) deployment.getProcess(`entry/${name}`).restart()
  await deployment.waitUntilServing(settleMs * 10)
}

/** Starts the processes of an arm. */
export async function startArm (arm: Arm): Promise<Deployment> {
  const deployment = await startDeployment({
    firm: Firm.Fleuve, zones: ['levis'], entries: entryCount, prefill: 1, decode: 3, services: 0, hostLagMs
  })
  if (arm === Arm.Isolated) await separate(deployment)
  return deployment
}
