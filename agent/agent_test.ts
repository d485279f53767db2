/**
 * Steps for placement over a deployment of processes.
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
  placed: Deployment
  answers: string[]
}

const maxTokens = 40
const startTimeout = { timeout: 40_000 }
const pollMs = 100

/** Asks once and tells what was wrong with the answer; an empty text when it was whole. */
async function ask (deployment: Deployment, prompt: string): Promise<string> {
  const { model, paidKey } = deployment.firm
  const done = await requestCompletion({ address: deployment.entryAddress(0), key: paidKey, model, prompt, maxTokens })
  const isWhole = done.endCount === 1 && done.text === computeExpectedAnswer(prompt, maxTokens).tokens.join('')
  return isWhole ? '' : `status ${done.status}, code ${done.code}, ${done.connectionError}, text "${done.text}"`
}

function askMany (deployment: Deployment, count: number, name: string): Promise<string[]> {
  return Promise.all(Array.from({ length: count }, (_, i) => ask(deployment, `${name} letter ${i}`)))
}

function sleep (deployment: Deployment, ms: number): Promise<void> {
  return new Promise((resolve) => { deployment.timer.after(ms, resolve) })
}

function decodeName (deployment: Deployment, number: number): string {
  const decodes = deployment.layout.backends.filter((backend) => backend.role === 'decode')
  return decodes[number - 1]?.name ?? ''
}

function addressOf (deployment: Deployment, number: number): string {
  const name = decodeName(deployment, number)
  return `127.0.0.1:${deployment.layout.backends.find((backend) => backend.name === name)?.backendPort}`
}

async function roleOf (deployment: Deployment, name: string): Promise<string> {
  const state = await deployment.engineState(name)
  return String(state.role)
}

Given('a deployment for placement', startTimeout, async function (this: World) {
  this.placed = await startDeployment({ firm: Firm.Fleuve, entries: 1, prefill: 1, decode: 2, services: 0, zones: ['rimouski'] })
})

After(startTimeout, async function (this: Partial<World>) {
  await this.placed?.stop()
})

When('the record of decode host {int} changes to prefill while {int} answers stream', startTimeout,
  async function (this: World, number: number, count: number) {
    const answers = askMany(this.placed, count, 'before')
    await this.placed.changeBackend(decodeName(this.placed, number), { role: 'prefill' })
    this.answers = await answers
  })

Then('every placement answer is whole', function (this: World) {
  assert.deepEqual(this.answers.filter((fault) => fault !== ''), [])
})

Then('the engine of decode host {int} has the role {string} within {int} ms', startTimeout,
  async function (this: World, number: number, role: string, limitMs: number) {
    const endMs = this.placed.timer.now() + limitMs
    while (await roleOf(this.placed, decodeName(this.placed, number)) !== role) {
      assert.ok(this.placed.timer.now() < endMs, `the role is not "${role}" after ${limitMs} ms`)
      await sleep(this.placed, pollMs)
    }
  })

Then('{int} more placement answers are whole', startTimeout, async function (this: World, count: number) {
  const answers = await askMany(this.placed, count, 'after')
  assert.deepEqual(answers.filter((fault) => fault !== ''), [])
})

When('placement is balanced with the model\'s prefill share at {float}', async function (this: World, prefillShare: number) {
  const { firm } = this.placed
  await this.placed.changeRecord(`model/${firm.model}`, { prefillShare })
  await this.placed.changeRecord('policy/default', { placement: 'balanced' })
})

Then('each role has an engine at every look during {int} ms and answers are whole', { timeout: 60_000 },
  async function (this: World, lengthMs: number) {
    const endMs = this.placed.timer.now() + lengthMs
    while (this.placed.timer.now() < endMs) {
      const names = this.placed.layout.backends.map((backend) => backend.name)
      const roles = await Promise.all(names.map((name) => roleOf(this.placed, name)))
      assert.ok(roles.includes('prefill') && roles.includes('decode'), `roles are ${roles.join(', ')}`)
      const answers = await askMany(this.placed, 2, `look ${endMs}`)
      assert.deepEqual(answers.filter((fault) => fault !== ''), [])
      await sleep(this.placed, pollMs)
    }
  })

When('a decode that the agent of decode host {int} does not know starts at the engine', async function (this: World, number: number) {
  const { backends, firm } = this.placed.layout
  const prefillHost = backends.find((backend) => backend.role === 'prefill')
  const prefill = createEngineHttp({ address: `127.0.0.1:${prefillHost?.backendPort}` })
  const decode = createEngineHttp({ address: addressOf(this.placed, number) })
  const job = { requestId: 'late', attempt: 1, model: firm.model, version: firm.version, tierClass: TierClass.Paid }
  const done = (await prefill.prefill({ ...job, prompt: 'a letter that came late' })).unwrap()
  const { handle, kvAddress, promptTokens } = done
  const stream = decode.decode({ ...job, handle, kvAddress, promptTokens, maxTokens: 400, startOffset: 0 }, () => {})
  await sleep(this.placed, 200)
  assert.equal((await decode.readHeldStreams()).unwrap().length, 1)
  await decode.close()
  await prefill.close()
  await stream
})

Then('the engine of decode host {int} holds nothing within {int} ms', startTimeout,
  async function (this: World, number: number, limitMs: number) {
    const engine = createEngineHttp({ address: addressOf(this.placed, number) })
    const endMs = this.placed.timer.now() + limitMs
    while ((await engine.readHeldStreams()).unwrap().length > 0) {
      assert.ok(this.placed.timer.now() < endMs, `the engine holds memory after ${limitMs} ms`)
      await sleep(this.placed, pollMs)
    }
    await engine.close()
  })
