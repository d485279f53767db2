/**
 * Steps for whole deployments that rest or whose agents are replaced.
 */
import assert from 'node:assert/strict'
import { After, Then, When } from '@cucumber/cucumber'
import { requestCompletion } from '../caller/mod.ts'
import type { Completion } from '../caller/mod.ts'
import type { Deployment } from '../deployment/mod.ts'
import { computeExpectedAnswer } from '../engine/mod.ts'
import { discardDeployment, getSharedDeployment } from './_shared_deployment.ts'

interface World {
  answers: Array<{ prompt: string, done: Completion }>
}

const maxTokens = 40
const askPeriodMs = 100
const stepTimeoutMs = 60_000
let prompts = 0

async function ask (deployment: Deployment, index: number): Promise<{ prompt: string, done: Completion }> {
  const { firm } = deployment
  const prompt = `request ${prompts++} of ${process.pid} while agents change`
  const address = deployment.getEntryAddress(index)
  const done = await requestCompletion({ address, key: firm.paidKey, model: firm.model, prompt, maxTokens })
  return { prompt, done }
}

function sleep (deployment: Deployment, ms: number): Promise<void> {
  return new Promise((resolve) => deployment.timer.after(ms, resolve))
}

function assertAnswered (prompt: string, done: Completion): void {
  const told = `status ${done.status}, code ${done.code}, outcome ${done.outcome}, ${done.connectionError}`
  assert.equal(done.endCount, 1, `"${prompt}" got ${told}`)
  assert.equal(done.text, computeExpectedAnswer(prompt, maxTokens).tokens.join(''))
}

After({ tags: '@matrix', timeout: stepTimeoutMs }, async function (scenario) {
  if (scenario.result?.status !== 'PASSED') await discardDeployment()
})

When('the deployment stays idle for {int} ms', async function (ms: number) {
  await sleep(await getSharedDeployment(), ms)
})

Then('the deployment answers a model request through every entry at the first try', async function () {
  const deployment = await getSharedDeployment()
  for (const index of deployment.layout.entries.keys()) {
    const { prompt, done } = await ask(deployment, index)
    assertAnswered(prompt, done)
  }
})

async function replaceAgents (deployment: Deployment, pauseMs: number): Promise<void> {
  const decodes = deployment.layout.backends.filter((backend) => backend.role === 'decode')
  for (const backend of [...decodes, ...decodes]) {
    const name = `agent/${backend.name}`
    deployment.getProcess(name).signal('SIGTERM')
    assert.equal(await deployment.getProcess(name).waitForExit(), '0')
    await deployment.restart(name)
    await sleep(deployment, pauseMs)
  }
}

When('the deployment replaces each decode agent twice, {int} ms apart, while callers ask',
  { timeout: stepTimeoutMs },
  async function (this: World, pauseMs: number) {
    const deployment = await getSharedDeployment()
    const asking: Array<Promise<{ prompt: string, done: Completion }>> = []
    const load = deployment.timer.every(askPeriodMs, () => asking.push(ask(deployment, asking.length % 2)))
    await replaceAgents(deployment, pauseMs)
    load.cancel()
    this.answers = await Promise.all(asking)
  })

Then('the deployment answered every caller', function (this: World) {
  const missed = this.answers.filter(({ done }) => done.endCount !== 1)
  const codes = missed.map(({ done }) => done.code ?? done.connectionError)
  assert.equal(missed.length, 0, `${missed.length} of ${this.answers.length} got ${[...new Set(codes)].join(', ')}`)
  for (const { prompt, done } of this.answers) assertAnswered(prompt, done)
})
