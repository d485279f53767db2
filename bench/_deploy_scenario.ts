/**
 * Starts the deployment of a scenario.
 */
import { createHash } from 'node:crypto'
import { Firm, startDeployment } from '../testing/deployment/mod.ts'
import type { Deployment } from '../testing/deployment/mod.ts'
import type { Scenario } from './load_scenario.ts'
import type { Variant } from './_policies.ts'

/** Holds a deployment and what the load needs of it. */
export interface Bench {
  deployment: Deployment
  scenario: Scenario
  /** API key by caller. */
  keys: Map<string, string>
  addresses: string[]
  setPolicy (variant: Variant): Promise<void>
  sleep (ms: number): Promise<void>
}

const paidHeadroom = 0.1
const retryBudget = 0.08
const affinitySeats = 2
const spreadMs = 250

function callerRecord (tier: string, key: string): object {
  const keyHash = createHash('sha256').update(key).digest('hex')
  return { schema: 1, tier, keyHash, requestsPerS: 10_000, tokensPerS: 100_000_000, concurrency: 10_000 }
}

async function writeTier (deployment: Deployment, scenario: Scenario, name: string, tierClass: string): Promise<void> {
  const models = [{ model: deployment.firm.model, version: '*' }]
  await deployment.writeRecord(`tier/${name}`, { schema: 1, tierClass, models, ...scenario.targets })
}

/** Starts the processes and writes the scenario's tiers and callers. */
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
    const record = callerRecord(tier === 'paid' ? paidTier : freeTier, `key-of-${caller}`)
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
      await sleep(spreadMs)
    },
    sleep
  }
}
