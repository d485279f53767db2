/**
 * Steps for placement in a deployment of processes.
 */
import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { TierClass } from '../core/types/mod.ts'
import { createEngineHttp } from '../engine/mod.ts'
import { requestCompletion } from '../testing/caller/mod.ts'
import { Firm, startDeployment } from '../testing/deployment/mod.ts'
import { computeExpectedAnswer } from '../testing/engine/mod.ts'
import type { Deployment } from '../testing/deployment/mod.ts'

interface World {
  placementDeployment: Deployment
  faults: string[]
}

const maxTokens = 40
const startTimeout = { timeout: 40_000 }
const pollMs = 100

/** Sends one request and returns what was wrong with its response; an empty text when it was complete. */
async function requestOnce (deployment: Deployment, prompt: string): Promise<string> {
  const { model, paidKey } = deployment.firm
  const done = await requestCompletion({ address: deployment.getEntryAddress(0), key: paidKey, model, prompt, maxTokens })
  const isComplete = done.endCount === 1 && done.text === computeExpectedAnswer(prompt, maxTokens).tokens.join('')
  return isComplete ? '' : `status ${done.status}, code ${done.code}, ${done.connectionError}, text "${done.text}"`
}

function requestMany (deployment: Deployment, count: number, name: string): Promise<string[]> {
  return Promise.all(Array.from({ length: count }, (_, i) => requestOnce(deployment, `${name} letter ${i}`)))
}

function sleep (deployment: Deployment, ms: number): Promise<void> {
  return new Promise((resolve) => { deployment.timer.after(ms, resolve) })
}

function getDecodeName (deployment: Deployment, number: number): string {
  const decodes = deployment.layout.backends.filter((backend) => backend.role === 'decode')
  return decodes[number - 1]?.name ?? ''
}

function getEngineAddress (deployment: Deployment, number: number): string {
  const name = getDecodeName(deployment, number)
  return `127.0.0.1:${deployment.layout.backends.find((backend) => backend.name === name)?.backendPort}`
}

async function readRole (deployment: Deployment, name: string): Promise<string> {
  const state = await deployment.readEngineState(name)
  return String(state.role)
}

Given('a deployment for placement', startTimeout, async function (this: World) {
  this.placementDeployment = await startDeployment({
    firm: Firm.Fleuve, entries: 1, prefill: 1, decode: 2, services: 0, zones: ['rimouski']
  })
})

After(startTimeout, async function (this: Partial<World>) {
  await this.placementDeployment?.stop()
})

When('the record of decode host {int} changes to prefill while {int} responses are streamed', startTimeout,
  async function (this: World, number: number, count: number) {
    const faults = requestMany(this.placementDeployment, count, 'before')
    await this.placementDeployment.updateBackendRecord(getDecodeName(this.placementDeployment, number), { role: 'prefill' })
    this.faults = await faults
  })

Then('every placement response is complete', function (this: World) {
  assert.deepEqual(this.faults.filter((fault) => fault !== ''), [])
})

Then('the engine of decode host {int} has the role {string} within {int} ms', startTimeout,
  async function (this: World, number: number, role: string, limitMs: number) {
    const endMs = this.placementDeployment.timer.now() + limitMs
    while (await readRole(this.placementDeployment, getDecodeName(this.placementDeployment, number)) !== role) {
      assert.ok(this.placementDeployment.timer.now() < endMs, `the role is not "${role}" after ${limitMs} ms`)
      await sleep(this.placementDeployment, pollMs)
    }
  })

Then('{int} more placement responses are complete', startTimeout, async function (this: World, count: number) {
  const faults = await requestMany(this.placementDeployment, count, 'after')
  assert.deepEqual(faults.filter((fault) => fault !== ''), [])
})

When('placement is balanced with the model\'s prefill share at {float}', async function (this: World, prefillShare: number) {
  const { firm } = this.placementDeployment
  await this.placementDeployment.updateRecord(`model/${firm.model}`, { prefillShare })
  await this.placementDeployment.updateRecord('policy/default', { placement: 'balanced' })
})

Then('each role has an engine at every check during {int} ms and responses are complete', { timeout: 60_000 },
  async function (this: World, lengthMs: number) {
    const endMs = this.placementDeployment.timer.now() + lengthMs
    while (this.placementDeployment.timer.now() < endMs) {
      const names = this.placementDeployment.layout.backends.map((backend) => backend.name)
      const roles = await Promise.all(names.map((name) => readRole(this.placementDeployment, name)))
      assert.ok(roles.includes('prefill') && roles.includes('decode'), `roles are ${roles.join(', ')}`)
      const faults = await requestMany(this.placementDeployment, 2, `look ${endMs}`)
      assert.deepEqual(faults.filter((fault) => fault !== ''), [])
      await sleep(this.placementDeployment, pollMs)
    }
  })

When('a decode that the agent of decode host {int} does not know starts at the engine', async function (this: World, number: number) {
  const { backends, firm } = this.placementDeployment.layout
  const prefillHost = backends.find((backend) => backend.role === 'prefill')
  const prefill = createEngineHttp({ address: `127.0.0.1:${prefillHost?.backendPort}` })
  const decode = createEngineHttp({ address: getEngineAddress(this.placementDeployment, number) })
  const job = { requestId: 'late', attempt: 1, model: firm.model, version: firm.version, tierClass: TierClass.Paid }
  const done = (await prefill.prefill({ ...job, prompt: 'a letter that came late' })).unwrap()
  const { handle, kvAddress, promptTokens } = done
  const stream = decode.decode({ ...job, handle, kvAddress, promptTokens, maxTokens: 400, startOffset: 0 }, () => {})
  await sleep(this.placementDeployment, 200)
  assert.equal((await decode.readHeldStreams()).unwrap().length, 1)
  await decode.close()
  await prefill.close()
  await stream
})

Then('the engine of decode host {int} holds nothing within {int} ms', startTimeout,
  async function (this: World, number: number, limitMs: number) {
    const engine = createEngineHttp({ address: getEngineAddress(this.placementDeployment, number) })
    const endMs = this.placementDeployment.timer.now() + limitMs
    while ((await engine.readHeldStreams()).unwrap().length > 0) {
      assert.ok(this.placementDeployment.timer.now() < endMs, `the engine holds memory after ${limitMs} ms`)
      await sleep(this.placementDeployment, pollMs)
    }
    await engine.close()
  })
