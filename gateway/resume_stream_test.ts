/**
 * Steps for streams that go on while engines of several software versions serve.
 */
import assert from 'node:assert/strict'
import { request as httpRequest } from 'node:http'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { SilencePoint, startSite, WorkerMode } from '../testing/fleuve/mod.ts'
import { until } from './gateway_test.ts'
import type { DataTable } from '@cucumber/cucumber'
import type { IncomingHttpHeaders } from 'node:http'
import type { FakeWorker, Site } from '../testing/fleuve/mod.ts'

/** What a client has of one stream, over all its tries. */
interface ClientStream {
  events: Array<{ id: number, version: string }>
  isComplete: boolean
  status: number
  headers: IncomingHttpHeaders
  body: string
}

interface World {
  versionedSite: Site
  versions: Map<string, string>
  streams: Map<string, ClientStream>
  answer: ClientStream
}

const eventCount = 8
const eventMs = 40
const memoryTokens = 100_000
const eventPattern = /^id: (\d+)\ndata: (\S+)/gm
const fields = { 'X-Model': 'm', 'X-Token-Counts': '100,40', 'X-Request-Deadline-Ms': '3000', Host: 'a.example' }

function engineOf (world: World, id: string): FakeWorker {
  return world.versionedSite.workers.get(id) ?? assert.fail(`no engine ${id}`)
}

Given('a versioned gateway site with the engines', async function (this: World, table: DataTable) {
  this.versions = new Map(table.hashes().map(({ id = '', version = '' }) => [id, version]))
  this.streams = new Map()
  this.versionedSite = await startSite()
  this.versionedSite.writeConfiguration(1)
  for (const [id, version] of this.versions) {
    await this.versionedSite.addWorker({ id, service: 'llm', stage: 'decode', version, events: eventCount, eventMs })
  }
  await until(() => this.versionedSite.readLog().split('"msg":"worker"').length > this.versions.size, 2000, 'the entries of the engines')
})

After(async function (this: World) {
  await this.versionedSite?.close()
})

Given('only the versioned engines {string} have memory', function (this: World, ids: string) {
  for (const id of this.versions.keys()) engineOf(this, id).setReservableTokens(ids.split(', ').includes(id) ? memoryTokens : 10)
})

Given('the versioned engine {string} loses its next stream after event {int}', function (this: World, id: string, event: number) {
  engineOf(this, id).resetAfterEvent(event, 1)
})

Given('the versioned engine {string} loses its next stream before the head', function (this: World, id: string) {
  engineOf(this, id).setMode(WorkerMode.Reset, WorkerMode.Good)
})

Given('the versioned engine {string} falls silent after event 2 for {int} ms', function (this: World, id: string, ms: number) {
  engineOf(this, id).setSilence({ point: SilencePoint.BetweenEvents, ms })
})

interface RequestOptions {
  gateway: Site
  requestId: string
  headers?: { [name: string]: string }
  onEvent?: (id: number) => void
  /** Id of the event after which the client closes the connection. */
  leavesAfter?: number
}

/** Requests a stream, or the rest of one, and returns what came; each event names the version of its engine. */
function requestStream (world: World, options: RequestOptions): Promise<ClientStream> {
  const [host, port] = (options.gateway.settings.clientAddress as string).split(':')
  return new Promise((resolve) => {
    const stream: ClientStream = { events: [], isComplete: false, status: 0, headers: {}, body: '' }
    const finish = (isComplete: boolean): void => {
      stream.events = [...stream.body.matchAll(eventPattern)].map(([, id, by]) => ({ id: Number(id), version: world.versions.get(by ?? '') ?? 'unknown' }))
      resolve({ ...stream, isComplete })
    }
    const headers = { ...fields, 'X-Request-Id': options.requestId, ...options.headers }
    const req = httpRequest({ host, port, method: 'POST', path: '/resume/x', headers, agent: false }, (res) => {
      Object.assign(stream, { status: res.statusCode, headers: res.headers })
      let seen = 0
      res.on('data', (chunk: Buffer) => {
        stream.body += chunk.toString()
        const last = Number([...stream.body.matchAll(eventPattern)].at(-1)?.[1] ?? 0)
        for (; seen < last; seen++) options.onEvent?.(seen + 1)
        if (options.leavesAfter !== undefined && last >= options.leavesAfter) req.destroy()
      })
      res.on('error', () => {})
      res.on('close', () => finish(res.complete))
    })
    req.on('error', () => finish(false))
    req.end('prompt')
  })
}

When(/^a versioned client begins the stream "([^"]*)" while the engines "([^"]*)" get memory(?: after event (\d+))?$/,
  async function (this: World, name: string, ids: string, after: string | null) {
    const give = (): void => { for (const id of ids.split(', ')) engineOf(this, id).setReservableTokens(memoryTokens) }
    if (after === null) give()
    const onEvent = (event: number): void => { if (after !== null && event === Number(after)) give() }
    this.answer = await requestStream(this, { gateway: this.versionedSite, requestId: name, onEvent })
    this.streams.set(name, this.answer)
  })

Then('the versioned client has the events {int} to {int} of {string}, all of {string}', function (this: World, first: number, last: number, name: string, version: string) {
  const expected = Array.from({ length: last - first + 1 }, (_, i) => ({ id: first + i, version }))
  assert.deepEqual(this.streams.get(name)?.events, expected)
})

Then(/^the versioned answer is (not )?complete$/, function (this: World, not: string | null) {
  assert.equal(this.answer.isComplete, not === null)
})
