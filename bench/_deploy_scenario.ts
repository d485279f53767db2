/**
 * Starts the deployment of a scenario and writes its configuration records.
 */
import { createHash } from 'node:crypto'
import { Firm, startDeployment } from '../testing/deployment/mod.ts'
import type { Deployment } from '../testing/deployment/mod.ts'
import type { Scenario } from './load_scenario.ts'
import type { Variant } from './_policies.ts'

/** A running deployment with what is needed to send load to it. */
export interface Bench {
  deployment: Deployment
  scenario: Scenario
  /** API key by caller. */
  keys: Map<string, string>
  /** Addresses `ip:port` of the entries. */
  addresses: string[]
  /** Writes the default policy and waits until all processes apply it. */
  setPolicy (variant: Variant): Promise<void>
  /** Waits for a number of milliseconds on the deployment's timer. */
  sleep (ms: number): Promise<void>
}

const paidHeadroom = 0.1
const retryBudget = 0.08
const affinitySeats = 2
/** Time that a changed record needs to reach all processes. */
const propagationMs = 250

/** Builds a caller's record; the limits are too high to take effect, so that only the policies limit the load. */
function buildCallerRecord (tier: string, key: string): object {
  const keyHash = createHash('sha256').update(key).digest('hex')
  return { schema: 1, tier, keyHash, requestsPerS: 10_000, tokensPerS: 100_000_000, concurrency: 10_000 }
}

async function writeTier (deployment: Deployment, scenario: Scenario, name: string, tierClass: string): Promise<void> {
  const models = [{ model: deployment.firm.model, version: '*' }]
  await deployment.writeRecord(`tier/${name}`, { schema: 1, tierClass, models, ...scenario.targets })
}

/** Starts the processes of a scenario and writes the records of its tiers and callers. */
export async function deployScenario (scenario: Scenario): Promise<Bench> {
  const firm = scenario.firm === 'fleuve' ? Firm.Fleuve : Firm.Velluto
  const { zones, entries, prefill, decode, engine } = scenario
  const deployment = await startDeployment({ firm, zones, entries, prefill, decode, services: 0, engine })
  const { paidTier, freeTier } = deployment.firm
  await writeTier(deployment, scenario, paidTier, 'paid')
  await writeTier(deployment, scenario, freeTier, 'free')
  const keys = new Map<string, string>()
  for (const { caller, tier } of scenario.classes) {
    keys.set(caller, `key-of-${caller}`)
    const record = buildCallerRecord(tier === 'paid' ? paidTier : freeTier, `key-of-${caller}`)
    await deployment.writeRecord(`caller/${caller}`, record)
  }
  const sleep = (ms: number): Promise<void> => new Promise((resolve) => deployment.timer.after(ms, resolve))
  return {
    deployment,
    scenario,
    keys,
    addresses: deployment.layout.entries.map((_, i) => deployment.getEntryAddress(i)),
    async setPolicy ({ reserve, choice, admission }) {
      const record = { schema: 1, reserve, choice, admission, paidHeadroom, retryBudget, affinitySeats }
      await deployment.writeRecord('policy/default', record)
      await sleep(propagationMs)
    },
    sleep
  }
}
