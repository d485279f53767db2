/**
 * Steps for streams of plain services that clients take up.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { AnswerEnd, AnswerFraming, buildConfiguration } from '../testing/fleuve/mod.ts'
import { send, sleep, until } from './gateway_test.ts'
import type { DescribedAnswer, Site } from '../testing/fleuve/mod.ts'

type Response = Awaited<ReturnType<typeof send>>

interface World {
  gatewaySite: Site
  plainResponses: Response[]
}

const streamPath = '/plain-stream/x'
const streamRoute = {
  host: 'a.example', name: 'plain-stream', prefix: '/plain-stream/', kind: 'streaming', timeout_ms: 700, target_latency_ms: 200, gap_aim_ms: 300, priority: 1, max_attempts: 2, allow_resume: true
}

/** A whole stream; on a route that carries streams, nothing else is an answer. */
const stream: DescribedAnswer = { framing: AnswerFraming.Length, end: AnswerEnd.Whole, contentType: 'text/event-stream', events: 6 }

/** Writes the rules with the route of the streams, and waits until they are in force. */
async function writeRoute (site: Site, version: number, target: object): Promise<void> {
  const { routes } = JSON.parse(buildConfiguration(version))
  site.writeConfiguration(version, { routes: [...routes, { ...streamRoute, ...target }] })
  await until(() => site.readLog().includes(`"version":${version},`), 2000, `the rules ${version}`)
}

Given('the gateway operator lets streams of the plain service be taken up', async function (this: World) {
  for (const worker of this.gatewaySite.workers.values()) worker.setAnswers([stream])
  await writeRoute(this.gatewaySite, 2, { service: 'plain' })
})

When('the gateway operator sends the route of that stream to engines too, and the engine {string} starts', async function (this: World, id: string) {
  await this.gatewaySite.addWorker({ id, service: 'llm', stage: 'decode' })
  await writeRoute(this.gatewaySite, 3, { traffic_split: [{ service: 'plain', weight: 1 }, { service: 'llm', weight: 9 }] })
})

When('a plain client begins the stream {string}', async function (this: World, id: string) {
  const response = await send(this.gatewaySite, `POST ${streamPath}`, { headers: { 'X-Request-Id': id } })
  assert.equal(response.status, 200)
})

When(/^a plain client takes the stream "([^"]*)" up after event (\d+) as "([^"]*)"(?: (\d+) times)?$/,
  async function (this: World, named: string, event: string, id: string, times: string | null) {
    this.plainResponses = []
    for (let i = 0; i < Number(times ?? 1); i++) {
      const headers = { 'X-Request-Id': times === null ? id : `${id}-${i}`, 'Last-Event-Id': event, Resumes: named }
      this.plainResponses.push(await send(this.gatewaySite, `POST ${streamPath}`, { headers }))
    }
  })

When('a plain client sends {string} after event {int}', async function (this: World, line: string, event: number) {
  this.plainResponses = [await send(this.gatewaySite, line, { headers: { 'Last-Event-Id': String(event) } })]
})

When('the plain worker {string} of the version {string} starts', async function (this: World, id: string, version: string) {
  const worker = await this.gatewaySite.addWorker({ id, service: 'plain', version })
  worker.setAnswers([stream])
  await until(() => this.gatewaySite.readLog().includes(`"worker":"${id}"`), 2000, 'the entry of the worker')
})

When('the plain worker {string} leaves', async function (this: World, id: string) {
  this.gatewaySite.store.remove(`servers/${id}`)
  await sleep(100)
})

Then(/^the plain client gets (\d+)(?: each time)?$/, function (this: World, status: string) {
  assert.deepEqual([...new Set(this.plainResponses.map((response) => response.status))], [Number(status)])
})

Then('the plain client gets {int} with {string}', function (this: World, status: number, reason: string) {
  const [response] = this.plainResponses
  assert.equal(response?.status, status)
  assert.ok(response.body.includes(reason), response.body)
})

Then('the plain worker {string} saw the stream {string} go on after event {int}', function (this: World, worker: string, id: string, event: number) {
  const request = this.gatewaySite.workers.get(worker)?.listRequests().find(({ headers }) => headers['x-request-id'] === id)
  assert.equal(request?.headers['last-event-id'], String(event))
})

Then('the plain worker {string} saw no stream', function (this: World, worker: string) {
  const seen = this.gatewaySite.workers.get(worker)?.listRequests().filter(({ path }) => path === streamPath)
  assert.deepEqual(seen, [])
})
