/**
 * Steps for the answers of workers that end in order, whole or not.
 */
import assert from 'node:assert/strict'
import { connect } from 'node:net'
import { Given, Then, When } from '@cucumber/cucumber'
import { isReset } from '../exchange/mod.ts'
import { AnswerEnd, AnswerFraming, buildBody, buildConfiguration } from '../testing/fleuve/mod.ts'
import { open, send, until } from './gateway_test.ts'
import type { DescribedAnswer, Site } from '../testing/fleuve/mod.ts'

interface Got {
  status: number
  body: string
  isComplete: boolean
}

interface World {
  gatewaySite: Site
  answer: DescribedAnswer
  path: string
  afterEvent: number
  got: Got
}

const lineEnds: { readonly [name: string]: string } = { LF: '\n', CRLF: '\r\n', CR: '\r' }
const eventCount = 6
/** Bytes of padding in long events: the first half of such a stream is longer than what a gateway holds back. */
const paddingBytes: { readonly [size: string]: number } = { short: 0, long: 120_000 }
const firstId = 'stream-1'
const generationHeaders = { 'X-Model': 'm', 'X-Token-Counts': '100,40', 'X-Request-Deadline-Ms': '2500', 'Content-Length': '0' }
const streamRoute = {
  host: 'a.example', kind: 'streaming', timeout_ms: 3000, target_latency_ms: 600, gap_aim_ms: 300, priority: 1, max_attempts: 2, service: 'plain'
}

/** Has all workers of the site answer as described. */
function describe (world: World, change: Partial<DescribedAnswer>): void {
  world.answer = { ...world.answer, ...change }
  for (const worker of world.gatewaySite.workers.values()) worker.setAnswers([world.answer])
}

/** Writes the rules with routes for streams of the plain service, and waits until they are in force. */
async function addPlainStreams (site: Site): Promise<void> {
  const { routes } = JSON.parse(buildConfiguration(2))
  site.writeConfiguration(2, {
    routes: [
      ...routes,
      { ...streamRoute, name: 'plain-stream', prefix: '/plain/' },
      { ...streamRoute, name: 'plain-resume', prefix: '/plain-resume/', allow_resume: true }
    ]
  })
  await until(() => site.readLog().includes('"version":2,'), 2000, 'the rules 2')
}

Given(/^a site whose workers answer with streams (with a length|in chunks|without a length) that end (.*), with (\w+) and (short|long) events$/,
  async function (this: World, framing: AnswerFraming, end: AnswerEnd, lines: string, size: string) {
    await open(this, [{ id: 'd1', service: 'llm', stage: 'decode' }, { id: 'w1', service: 'plain' }])
    await addPlainStreams(this.gatewaySite)
    describe(this, {
      framing, end, contentType: 'text/event-stream', lineEnd: lineEnds[lines] as string, events: eventCount, eventBytes: paddingBytes[size] as number
    })
  })

Given('a site with two plain workers, the first of which ends its stream inside an event', async function (this: World) {
  await open(this, [{ id: 'w1', service: 'plain' }, { id: 'w2', service: 'plain' }])
  await addPlainStreams(this.gatewaySite)
  const broken: DescribedAnswer = { framing: AnswerFraming.Connection, end: AnswerEnd.InsideEvent, contentType: 'text/event-stream', events: eventCount }
  this.answer = { ...broken, end: AnswerEnd.Whole }
  // Only the worker that gets the request first breaks it off, whichever that is.
  const answers = [broken, this.answer]
  for (const worker of this.gatewaySite.workers.values()) worker.setAnswers(answers)
})

Given('the answers of that site have the media type {string}', function (this: World, type: string) {
  describe(this, { contentType: type === 'none' ? undefined : type })
})

When(/^the answers of that site end (.*)$/, function (this: World, end: AnswerEnd) { describe(this, { end }) })

/** Sends a request over HTTP/1.0, and reads its answer until the connection ends; only a length shows such a client a break, or a reset. */
async function sendOld (site: Site, path: string): Promise<Got> {
  const [host, port] = (site.settings.clientAddress as string).split(':')
  const socket = connect({ host: host as string, port: Number(port) })
  const chunks: Buffer[] = []
  let wasBroken = false
  socket.on('data', (chunk) => { chunks.push(chunk) })
  socket.on('error', () => { wasBroken = true })
  socket.on('end', () => { wasBroken ||= isReset(socket) })
  const closed = new Promise<void>((resolve) => socket.once('close', () => resolve()))
  const fields = Object.entries({ Host: 'a.example', 'X-Request-Id': firstId, ...generationHeaders }).map(([name, value]) => `${name}: ${value}`)
  socket.write([`POST ${path} HTTP/1.0`, ...fields, '', ''].join('\r\n'))
  await closed
  const text = Buffer.concat(chunks).toString()
  const at = text.indexOf('\r\n\r\n')
  const body = text.slice(at + 4)
  const length = /\r\ncontent-length: (\d+)/i.exec(text.slice(0, at))?.[1]
  return { status: Number(text.split(' ')[1]), body, isComplete: !wasBroken && (length === undefined || Number(length) === body.length) }
}

/** Sends a request over HTTP/1.1; an answer whose head is lost with the connection is none. */
async function sendNew (site: Site, path: string, headers: { [name: string]: string }): Promise<Got> {
  try {
    return await send(site, `POST ${path}`, { headers: { ...generationHeaders, ...headers } })
  } catch (err) {
    return { status: 0, body: (err as Error).message, isComplete: false }
  }
}

When('a client of HTTP\\/{word} sends {string} and reads the stream', async function (this: World, version: string, line: string) {
  this.path = line.split(' ')[1] as string
  this.afterEvent = 0
  this.got = version === '1.0' ? await sendOld(this.gatewaySite, this.path) : await sendNew(this.gatewaySite, this.path, { 'X-Request-Id': firstId })
})

When('a client takes that stream up after event {int}', async function (this: World, event: number) {
  assert.equal(this.got.status, 200)
  this.afterEvent = event
  this.got = await sendNew(this.gatewaySite, this.path, { 'X-Request-Id': 'stream-2', 'Last-Event-Id': String(event), Resumes: firstId })
})

const outcomes: { readonly [outcome: string]: (got: Got, sent: string) => void } = {
  whole ({ status, body, isComplete }, sent) {
    assert.equal(status, 200)
    assert.equal(body.length, sent.length)
    assert.equal(body, sent)
    assert.ok(isComplete, 'the answer does not look complete')
  },
  'broken off' ({ status, isComplete }) {
    assert.ok(status === 200 || status === 0, `status ${status}`)
    assert.equal(isComplete, false, 'the answer looks complete')
  },
  'a 502' ({ status, body }) {
    assert.equal(status, 502)
    assert.deepEqual(Object.keys(JSON.parse(body)), ['error'])
  }
}

Then(/^that stream is (whole|broken off|a 502)$/, function (this: World, outcome: string) {
  outcomes[outcome]?.(this.got, buildBody(this.answer, this.afterEvent))
})
