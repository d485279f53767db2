/**
 * Steps for gateways that spend the allowances of organisations.
 */
import assert from 'node:assert/strict'
import { connect } from 'node:net'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createRouteTable } from '../core/route/mod.ts'
import { createAllowanceTask } from '../sidecar/_allowance_task.ts'
import { decodeRoutingRules } from '../platform/mod.ts'
import { buildConfiguration, startSite, WorkerMode } from '../testing/fleuve/mod.ts'
import { createSystemTimer } from '../timer/mod.ts'
import { getAllowanceTolerance } from '../core/limits/mod.ts'
import { listen, MessageKind } from '../wire/mod.ts'
import { send, sleep, until } from './gateway_test.ts'
import type { Directory } from '../directory/mod.ts'
import type { Site } from '../testing/fleuve/mod.ts'
import type { Listener } from '../wire/mod.ts'

interface Answer { status: number, retryAfterS: number }

interface World {
  allowanceSites: Map<string, Site>
  allowancePoint: Listener | undefined
  allowanceConfiguration: object
  allowanceAnswers: Answer[]
  otherAnswers: Answer[]
  refusal: { status: number, tookMs: number }
}

const settings = {
  hasOrganisations: true, hasAllowances: true, allowanceWindowMs: 8000, allowanceOverRatio: 0, allowanceSlack: 10
}
const ruleParts = { hasOrganisations: true, hasAllowances: true }
const deadlineMs = 700

/** Starts the exchange point at the port of the sidecars; a real one, which knows the rules of the configuration or none. */
async function startPoint (world: World, knowsRules = true): Promise<void> {
  const [site] = world.allowanceSites.values()
  assert.ok(site)
  const table = createRouteTable(decodeRoutingRules(buildConfiguration(1, world.allowanceConfiguration), ruleParts).unwrap())
  const directory = { routeTable: () => knowsRules ? table : undefined } as unknown as Directory
  const task = createAllowanceTask({ directory, timer: createSystemTimer(), tolerance: getAllowanceTolerance(settings) })
  const listener = await listen({
    host: '127.0.0.1',
    port: site.settings.internalPort,
    firstMessageTimeoutMs: 0,
    onConnection (connection) {
      connection.onMessage((msg) => {
        if (msg.kind === MessageKind.AllowanceReport) task.handlers[MessageKind.AllowanceReport]?.(connection, msg)
      })
    }
  })
  world.allowancePoint = listener.unwrap()
}

/** Starts a gateway; the first one has the store and the workers of all. */
async function startGatewaySite (world: World, name: string): Promise<Site> {
  const [first] = world.allowanceSites.values()
  const shared = first === undefined ? {} : { storeAddress: first.settings.storeAddress, internalPort: first.settings.internalPort }
  const site = await startSite({ settings: { ...settings, ...shared, machine: name } })
  world.allowanceSites.set(name, site)
  return site
}

Given('allowance gateways {string} with a sidecar, and {int} {word} a second with a burst of {int} for {string}',
  async function (this: World, names: string, perS: number, unit: string, burst: number, organisation: string) {
    this.allowanceSites = new Map()
    const allowance = { per_s: perS, burst, ...(unit === 'tokens' && { unit: 'token_stream', plain_tokens: 1 }) }
    this.allowanceConfiguration = {
      tenants: [
        { name: organisation, api_keys: [`key-${organisation}`], ...allowance },
        { name: 'south', api_keys: ['key-south'], ...allowance }
      ]
    }
    for (const name of names.split(', ')) await startGatewaySite(this, name)
    await startPoint(this)
    const [first] = this.allowanceSites.values()
    first?.writeConfiguration(1, this.allowanceConfiguration)
    await first?.addWorker({ id: 'w', service: 'plain' })
    await first?.addWorker({ id: 'e', service: 'llm', stage: 'decode' })
    for (const site of this.allowanceSites.values()) {
      await until(() => site.readLog().includes('exchange points heard'), 3000, 'an answer of the exchange point')
    }
  })

async function sendOne (site: Site, organisation: string, counts?: string): Promise<Answer> {
  const headers: { [name: string]: string } = {
    Authorization: `Token key-${organisation}`, 'X-Request-Deadline-Ms': String(deadlineMs)
  }
  if (counts !== undefined) headers['X-Token-Counts'] = counts
  const { status, headers: got } = await send(site, 'GET /safe/x', { headers })
  return { status, retryAfterS: Number(got['retry-after'] ?? NaN) }
}

async function sendMany (world: World, organisation: string, count: number, seconds: number, names: string): Promise<Answer[]> {
  const answers: Array<Promise<Answer>> = []
  const targets = names.split(', ')
  const startedMs = performance.now()
  for (let i = 0; i < count; i++) {
    const site = world.allowanceSites.get(targets[i % targets.length] as string)
    if (site !== undefined) answers.push(sendOne(site, organisation))
    await sleep(Math.max(0, startedMs + (i + 1) * seconds * 1000 / count - performance.now()))
  }
  return await Promise.all(answers)
}

When('an allowance caller of {string} sends {int} requests within {int} s to the gateways {string}',
  async function (this: World, organisation: string, count: number, seconds: number, names: string) {
    this.allowanceAnswers = await sendMany(this, organisation, count, seconds, names)
  })

When('an allowance caller of {string} sends {int} requests within {int} s to the gateways {string} while {string} sends {int}',
  async function (this: World, organisation: string, count: number, seconds: number, names: string, other: string, others: number) {
    [this.allowanceAnswers, this.otherAnswers] = await Promise.all([
      sendMany(this, organisation, count, seconds, names), sendMany(this, other, others, seconds, names)
    ])
  })

When('an allowance caller of {string} sends {int} requests within {int} s to the gateways {string}, and {string} is started again after {int} s',
  async function (this: World, organisation: string, count: number, seconds: number, names: string, name: string, afterS: number) {
    const sending = sendMany(this, organisation, count, seconds, names)
    await sleep(afterS * 1000)
    const site = this.allowanceSites.get(name)
    this.allowanceSites.delete(name)
    await site?.close()
    await startGatewaySite(this, name)
    this.allowanceAnswers = (await sending).filter(({ status }) => status !== 503)
  })

When('the exchange point of the allowance gateways is gone for {int} ms', async function (this: World, ms: number) {
  await this.allowancePoint?.close()
  await sleep(ms)
})

When('the exchange point of the allowance gateways is started again without rules for {int} ms', async function (this: World, ms: number) {
  await this.allowancePoint?.close()
  await startPoint(this, false)
  await sleep(ms)
})

When('the exchange point of the allowance gateways is back for {int} ms', async function (this: World, ms: number) {
  await startPoint(this)
  await sleep(ms)
})

When(/^the allowance worker (turns all requests away|takes requests)$/, function (this: World, what: string) {
  for (const site of this.allowanceSites.values()) {
    site.workers.get('w')?.setMode(what === 'takes requests' ? WorkerMode.Good : WorkerMode.Full)
  }
})

When('an allowance caller of {string} sends a request of {string} tokens to the gateway {string}',
  async function (this: World, organisation: string, counts: string, name: string) {
    const site = this.allowanceSites.get(name)
    assert.ok(site)
    this.allowanceAnswers = [await sendOne(site, organisation, counts)]
  })

Then('it is answered with {int}, and the exchange points stay heard', async function (this: World, status: number) {
  assert.deepEqual(this.allowanceAnswers.map((answer) => answer.status), [status])
  await sleep(1500)
  for (const site of this.allowanceSites.values()) assert.ok(!/sidecar lost|handler failed/.test(site.readLog()), 'a connection was lost')
})

When('an allowance caller of {string} announces a body that it does not send to the gateway {string}',
  async function (this: World, organisation: string, name: string) {
    const [host, port] = (this.allowanceSites.get(name)?.settings.clientAddress as string).split(':')
    const startedMs = performance.now()
    const socket = connect({ host: host as string, port: Number(port) })
    socket.write(`POST /unsafe/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r-body\r\nAuthorization: Token key-${organisation}\r\nContent-Length: 100\r\n\r\n`)
    const data = await new Promise<Buffer>((resolve) => socket.once('data', resolve))
    this.refusal = { status: Number(String(data).split(' ')[1]), tookMs: performance.now() - startedMs }
    socket.destroy()
  })

Then('it is answered with {int} within {int} ms', function (this: World, status: number, ms: number) {
  assert.equal(this.refusal.status, status)
  assert.ok(this.refusal.tookMs <= ms, `${this.refusal.tookMs} ms`)
})

function countStatus (answers: Answer[], status: number): number {
  return answers.filter((answer) => answer.status === status).length
}

Then('between {int} and {int} of them were answered with 200 and the others with 429 and a Retry-After header of at most {float} s',
  function (this: World, low: number, high: number, seconds: number) {
    const served = countStatus(this.allowanceAnswers, 200)
    assert.ok(served >= low && served <= high, `${served} of ${this.allowanceAnswers.length} were answered with 200`)
    for (const { status, retryAfterS } of this.allowanceAnswers) {
      if (status === 200) continue
      assert.equal(status, 429)
      assert.ok(retryAfterS > 0 && retryAfterS <= seconds, `Retry-After ${retryAfterS}`)
    }
  })

Then('at most {int} of them were answered with 200', function (this: World, most: number) {
  const served = countStatus(this.allowanceAnswers, 200)
  assert.ok(served <= most, `${served} were answered with 200`)
})

Then('none of them was answered with {int}', function (this: World, status: number) {
  assert.equal(countStatus(this.allowanceAnswers, status), 0)
})

Then('all {int} requests of "south" were answered with 200', function (this: World, count: number) {
  const others = this.otherAnswers.filter(({ status }) => status !== 200)
  const lines = [...this.allowanceSites.values()].flatMap((site) => site.readLog().split('\n')).filter((line) => line.includes('south') && !line.includes('"status":200'))
  assert.equal(countStatus(this.otherAnswers, 200), count, `${JSON.stringify(others)}\n${lines.join('\n')}`)
})

Then('the allowance worker got as many requests as were answered with 200', function (this: World) {
  const [site] = this.allowanceSites.values()
  assert.equal(site?.workers.get('w')?.listRequests().length, countStatus(this.allowanceAnswers, 200))
})

Then('the newest line of the allowance log of {string} about exchange points is {string}', function (this: World, name: string, text: string) {
  const lines = (this.allowanceSites.get(name)?.readLog() ?? '').split('\n').filter((line) => line.includes('"exchange points'))
  assert.equal(JSON.parse(lines.at(-1) ?? '{}').msg, text)
})

Then('the allowance log of {string} has a refusal with the reason {string}, the organisation {string} and what is left',
  function (this: World, name: string, reason: string, organisation: string) {
    const lines = (this.allowanceSites.get(name)?.readLog() ?? '').split('\n').filter((line) => line.includes('"refused"'))
    const found = lines.map((line): Record<string, unknown> => JSON.parse(line)).filter((line) => line.reason === reason)
    assert.ok(found.length > 0, lines.join('\n'))
    for (const line of found) {
      assert.equal(line.organisation, organisation)
      assert.equal(line.cost, 1)
      assert.equal(typeof line.left, 'number')
      assert.ok(!JSON.stringify(line).includes(`key-${organisation}`))
    }
  })

After(async function (this: World) {
  await this.allowancePoint?.close()
  for (const site of [...this.allowanceSites?.values() ?? []].reverse()) await site.close()
})
