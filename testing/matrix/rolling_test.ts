/**
 * Steps for whole deployments that stay idle or whose agents are replaced one by one.
 */
import assert from 'node:assert/strict'
import { After, Then, When } from '@cucumber/cucumber'
import { requestCompletion } from '../caller/mod.ts'
import type { Completion } from '../caller/mod.ts'
import type { Deployment } from '../deployment/mod.ts'
import { computeExpectedAnswer } from '../engine/mod.ts'
import { discardDeployment, getSharedDeployment } from './_shared_deployment.ts'

interface World {
  answers: Array<{ prompt: string, completion: Completion }>
}

const maxTokens = 40
const askPeriodMs = 100
const stepTimeoutMs = 60_000
let promptCount = 0

async function sendRequest (deployment: Deployment, index: number): Promise<{ prompt: string, completion: Completion }> {
  const { firm } = deployment
  const prompt = `request ${promptCount++} of ${process.pid} while agents change`
  const address = deployment.getEntryAddress(index)
  const completion = await requestCompletion({ address, key: firm.paidKey, model: firm.model, prompt, maxTokens })
  return { prompt, completion }
}

function sleep (deployment: Deployment, ms: number): Promise<void> {
  return new Promise((resolve) => deployment.timer.after(ms, resolve))
}

function assertAnswered (prompt: string, completion: Completion): void {
  const details = `status ${completion.status}, code ${completion.code}, outcome ${completion.outcome}, ${completion.connectionError}`
  assert.equal(completion.endCount, 1, `"${prompt}" got ${details}`)
  assert.equal(completion.text, computeExpectedAnswer(prompt, maxTokens).tokens.join(''))
}

After({ tags: '@matrix', timeout: stepTimeoutMs }, async function (scenario) {
  if (scenario.result?.status !== 'PASSED') await discardDeployment()
})

When('the deployment stays idle for {int} ms', async function (ms: number) {
  await sleep(await getSharedDeployment(), ms)
})

Then('the deployment answers a model request through every entry on the first attempt', async function () {
  const deployment = await getSharedDeployment()
  for (const index of deployment.layout.entries.keys()) {
    const { prompt, completion } = await sendRequest(deployment, index)
    assertAnswered(prompt, completion)
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

When('the deployment replaces each decode agent twice, {int} ms apart, while callers send requests',
  { timeout: stepTimeoutMs },
  async function (this: World, pauseMs: number) {
    const deployment = await getSharedDeployment()
    const pending: Array<Promise<{ prompt: string, completion: Completion }>> = []
    const requests = deployment.timer.every(askPeriodMs, () => pending.push(sendRequest(deployment, pending.length % 2)))
    await replaceAgents(deployment, pauseMs)
    requests.cancel()
    this.answers = await Promise.all(pending)
  })

Then('the deployment answered every caller', function (this: World) {
  const failed = this.answers.filter(({ completion }) => completion.endCount !== 1)
  const codes = failed.map(({ completion }) => completion.code ?? completion.connectionError)
  assert.equal(failed.length, 0, `${failed.length} of ${this.answers.length} got ${[...new Set(codes)].join(', ')}`)
  for (const { prompt, completion } of this.answers) assertAnswered(prompt, completion)
})
