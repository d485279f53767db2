/**
 * Steps for the callers' interface; all scenarios share one deployment.
 */
import assert from 'node:assert/strict'
import { AfterAll, Given, Then, When } from '@cucumber/cucumber'
import { request } from 'undici'
import { Firm, startDeployment } from '../testing/deployment/mod.ts'
import type { Deployment } from '../testing/deployment/mod.ts'

interface CallerResponse {
  status: number
  outcome: string | undefined
  body: unknown
}

interface World {
  response: CallerResponse
  bookings: CallerResponse[]
  unusedTicket: string
}

const startTimeout = { timeout: 30_000 }
const oversizedBytes = 5 * 1024 * 1024
let shared: Promise<Deployment> | undefined

function deployment (): Promise<Deployment> {
  shared ??= startDeployment({ firm: Firm.Velluto, entries: 2, prefill: 1, decode: 1, services: 2, zones: ['milano-a'] })
  return shared
}

AfterAll(startTimeout, async function () {
  if (shared !== undefined) await (await shared).stop()
})

async function sendRequest (
  entry: number, method: string, path: string, headers: Record<string, string>, body: string
): Promise<CallerResponse> {
  const target = (await deployment()).getEntryAddress(entry)
  const res = await request(`http://${target}${path}`, {
    method: method as 'GET',
    headers: { 'content-type': 'application/json', ...headers },
    body: body === '' ? undefined : body
  })
  const text = await res.body.text()
  return { status: res.statusCode, outcome: res.headers['x-briarloom-outcome']?.toString(), body: text === '' ? undefined : JSON.parse(text) }
}

async function keyHeader (name: string): Promise<Record<string, string>> {
  const { firm } = await deployment()
  const keys: { [name: string]: string } = { paid: firm.paidKey, free: firm.freeKey, wrong: 'no-such-key' }
  return keys[name] === undefined ? {} : { authorization: `Bearer ${keys[name]}` }
}

async function issueTicket (): Promise<string> {
  const issued = await sendRequest(0, 'POST', '/tickets', await keyHeader('paid'), '{"service":"prenota"}')
  assert.equal(issued.status, 201)
  return (issued.body as { ticket: string }).ticket
}

async function book (entry: number, ticket: string): Promise<CallerResponse> {
  return sendRequest(entry, 'POST', '/services/prenota/bookings', { ...await keyHeader('paid'), 'x-ticket': ticket }, '{"house":"Fenice"}')
}

Given('a deployment for callers', startTimeout, async function () {
  await deployment()
})

When('a caller sends {string} {string} with the key {string} and the body {string}',
  async function (this: World, method: string, path: string, key: string, body: string) {
    this.response = await sendRequest(0, method, path, await keyHeader(key), body)
  })

When('a caller sends a completion whose body is larger than the limit', async function (this: World) {
  const prompt = 'a'.repeat(oversizedBytes)
  this.response = await sendRequest(0, 'POST', '/v1/completions', await keyHeader('paid'), JSON.stringify({ model: 'sipario-llm', prompt }))
})

When('the deployment for callers is idle for {int} ms', async function (ms: number) {
  const { timer } = await deployment()
  await new Promise<void>((resolve) => { timer.after(ms, resolve) })
})

When('a caller books {int} times under one ticket through each entry at once', async function (this: World, times: number) {
  const ticket = await issueTicket()
  const entries = Array.from({ length: times }, () => [0, 1]).flat()
  this.bookings = await Promise.all(entries.map((entry) => book(entry, ticket)))
})

When('a caller voids a ticket and books under it', async function (this: World) {
  const ticket = await issueTicket()
  const voided = await sendRequest(1, 'DELETE', `/tickets/${ticket}`, await keyHeader('paid'), '')
  assert.equal(voided.outcome, 'not_run')
  this.response = await book(0, ticket)
})

const repeats: { [how: string]: { path?: string, key?: string, body?: string } } = {
  'with a wrong key': { key: 'wrong' },
  'with a body too large': { body: JSON.stringify({ house: 'a'.repeat(oversizedBytes) }) },
  'at another service': { path: '/services/x/bookings' }
}

When(/^a caller books under a ticket and repeats the booking (.*)$/, async function (this: World, how: string) {
  const ticket = await issueTicket()
  assert.equal((await book(0, ticket)).outcome, 'done')
  const { path = '/services/prenota/bookings', key = 'paid', body = '{"house":"Fenice"}' } = repeats[how] ?? assert.fail(how)
  this.response = await sendRequest(0, 'POST', path, { ...await keyHeader(key), 'x-ticket': ticket }, body)
})

/** Issues tickets until one is from a given agent. */
async function issueTicketOf (agent: string): Promise<string> {
  for (;;) {
    const ticket = await issueTicket()
    if (ticket.startsWith(`${agent}.`)) return ticket
  }
}

When('a caller books under a ticket, and its backend server is leaving when the booking is repeated', startTimeout,
  async function (this: World) {
    const { updateBackendRecord, timer } = await deployment()
    const ticket = await issueTicketOf('prenota-1')
    this.unusedTicket = await issueTicketOf('prenota-1')
    const first = await book(0, ticket)
    await updateBackendRecord('prenota-1', { weight: 0 })
    // Waits until the change is in force in every process of the deployment, which takes at most 6 s.
    await new Promise<void>((resolve) => { timer.after(6000, resolve) })
    this.bookings = [first, await book(0, ticket), await book(1, ticket)]
  })

Then('an unused ticket of the leaving backend server is refused as {string} with {string}',
  async function (this: World, code: string, outcome: string) {
    const response = await book(1, this.unusedTicket)
    await (await deployment()).updateBackendRecord('prenota-1', {})
    assert.equal((response.body as { error: { code: string } }).error.code, code)
    assert.equal(response.outcome, outcome)
  })

Then('the caller gets the status {int}, the code {string} and the outcome {string}',
  function (this: World, status: number, code: string, outcome: string) {
    assert.equal(this.response.status, status)
    const error = (this.response.body as { error?: { code: string } }).error
    assert.equal(error?.code ?? '', code)
    assert.equal(this.response.outcome, outcome)
  })

Then('every booking response is the same and the booking ran once', function (this: World) {
  for (const response of this.bookings) {
    assert.equal(response.status, 200)
    assert.deepEqual(response.body, this.bookings[0]?.body)
  }
  assert.equal((this.bookings[0]?.body as { runs: number }).runs, 1)
})
