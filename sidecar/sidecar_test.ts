/**
 * Steps for the sidecar, with a fake store and a fake engine.
 */
import assert from 'node:assert/strict'
import { PassThrough } from 'node:stream'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { StagePolicy } from '../core/balance/mod.ts'
import { PackPolicy } from '../core/packing/mod.ts'
import { createLog } from '../log/mod.ts'
import { buildConfiguration, startStore, startWorker } from '../testing/fleuve/mod.ts'
import { findFreePort } from '../testing/ports/mod.ts'
import { createSystemTimer } from '../timer/mod.ts'
import { connect, MessageKind } from '../wire/mod.ts'
import { startSidecar } from './mod.ts'
import type { FakeStore, FakeWorker, StoreCopy } from '../testing/fleuve/mod.ts'
import type { Timer } from '../timer/mod.ts'
import type { Connection, Message } from '../wire/mod.ts'
import type { Sidecar } from './mod.ts'

interface World {
  sideStore: FakeStore
  sideCopy: StoreCopy
  sideEngine: FakeWorker
  sidecar: Sidecar
  sideTimer: Timer
  port: number
  sideGateway?: Connection
  received: Message[]
  otherGateway?: Connection
  otherReceived: Message[]
  attempts: number
}

const policies = {
  stages: { policy: StagePolicy.Share, prefillShare: 0.2 }, packing: { policy: PackPolicy.Likely, marginShare: 0.1 }
}

async function sleep (ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms))
}

async function start (world: World): Promise<void> {
  world.sideTimer = createSystemTimer()
  const settings = {
    machine: 'side-1',
    ip: '127.0.0.1',
    zone: 'levis',
    regions: { levis: 'qc-est' },
    internalPort: world.port,
    seeds: [],
    storeAddress: world.sideStore.address,
    workerAddress: world.sideEngine.address,
    heartbeatMs: 1200,
    graceMs: 8000,
    drainMs: 2500,
    retryRatio: 0.2,
    retrySlack: 54,
    retryWindowMs: 10_000,
    orderLeaseMs: 3000
  }
  const log = createLog({ name: 'side-1', level: 'info', stream: new PassThrough().resume() })
  world.sidecar = await startSidecar({ settings, timer: world.sideTimer, log, random: Math.random, ...policies })
}

async function open (world: World, tokens: number, stage: 'prefill' | 'decode', engines: number, prefillEngines: number): Promise<void> {
  world.sideStore = await startStore()
  world.sideEngine = await startWorker({ id: 'i-5', service: 'llm', stage })
  world.sideEngine.setReservableTokens(tokens)
  world.port = await findFreePort()
  world.attempts = 0
  world.sideStore.put('op/config', buildConfiguration(1))
  for (let i = 1; i < engines; i++) {
    const other = stage === 'prefill' ? i < prefillEngines : i <= prefillEngines
    const fields = { stage: other ? 'prefill' : 'decode', address: `10.0.0.${i}:80` }
    // The balance assigns the prefill stage in the order of the engine ids; without prefill engines, this engine has the lowest id.
    world.sideStore.put(`servers/i-${prefillEngines === 0 ? i + 5 : i}`, world.sideEngine.buildEntry(fields))
  }
  world.sideStore.put('servers/i-5', world.sideEngine.buildEntry())
  await start(world)
  await sleep(250)
}

async function connectGateway (world: World): Promise<void> {
  if (world.sideGateway !== undefined) return
  world.received = []
  world.sideGateway = (await connect({ address: `127.0.0.1:${world.port}` })).unwrap()
  world.sideGateway.onMessage((msg) => { world.received.push(msg) })
}

async function requestAdmission (
  world: World, fields: { promptTokens: number, maxTokens: number, likelyTokens?: number, reads: boolean, workerId?: string }
): Promise<Message> {
  await connectGateway(world)
  const attempt = ++world.attempts
  world.sideGateway?.send({ kind: MessageKind.Admit, requestId: `r-${attempt}`, attempt, workerId: 'i-5', ...fields })
  for (let i = 0; i < 100; i++) {
    const reply = world.received.find((msg) => 'attempt' in msg && msg.attempt === attempt)
    if (reply !== undefined) return reply
    await sleep(10)
  }
  assert.fail('the sidecar does not reply')
}

function orders (world: World): string[] {
  return world.sideEngine.listControlCalls().filter(({ call }) => call === 'POST /v1/order').map(({ body }) => body)
}

After(async function (this: World) {
  this.sideGateway?.close()
  this.otherGateway?.close()
  await this.sidecar?.close()
  this.sideTimer?.close()
  await this.sideEngine?.close()
  await this.sideStore?.close()
})

Given('a sidecar beside an engine of {int} tokens with the stage {string}', async function (this: World, tokens: number, stage: 'decode') {
  await open(this, tokens, stage, 1, 0)
})

Given('a sidecar beside an engine of {int} tokens with the stage {string} among {int} engines of which {int} prefill',
  async function (this: World, tokens: number, stage: 'prefill' | 'decode', engines: number, prefillEngines: number) {
    await open(this, tokens, stage, engines, prefillEngines)
  })

Then('the sidecar {word} a stream with {int} prompt tokens, at most {int} output tokens and an estimate of {int}',
  async function (this: World, verdict: string, promptTokens: number, maxTokens: number, likelyTokens: number) {
    const reply = await requestAdmission(this, { promptTokens, maxTokens, likelyTokens, reads: false })
    assert.equal(reply.kind, verdict === 'admits' ? MessageKind.Admitted : MessageKind.Refused)
  })

Then('the sidecar {word} a stream with {int} prompt tokens and the prefill at its engine',
  async function (this: World, verdict: string, promptTokens: number) {
    const reply = await requestAdmission(this, { promptTokens, maxTokens: 200, reads: true })
    assert.equal(reply.kind, verdict === 'admits' ? MessageKind.Admitted : MessageKind.Refused)
  })

Then('the sidecar has made {int} reservations at its engine', function (this: World, count: number) {
  assert.equal(this.sideEngine.listControlCalls().filter(({ call }) => call === 'POST /v1/hold-take').length, count)
})

Then('the sidecar orders {string} within {int} ms with the expected number of orders', async function (this: World, stage: string, ms: number) {
  for (let waited = 0; orders(this).length === 0 && waited < ms; waited += 20) await sleep(20)
  const order = JSON.parse(orders(this)[0] ?? '{}')
  assert.equal(order.stage, stage)
  assert.equal(order.expect, 0)
  assert.equal(order.holder, 'side-1')
  assert.ok(order.fence > 0)
  this.sideStore.put('servers/i-5', this.sideEngine.buildEntry({ stage }))
})

When('the sidecar store is copied and then takes {int} writes', function (this: World, writes: number) {
  this.sideCopy = this.sideStore.copy()
  for (let i = 0; i < writes; i++) this.sideStore.put('servers/other', this.sideEngine.buildEntry({ service: 'other', sequence: i }))
})

When('the sidecar store comes back from the copy', function (this: World) { this.sideStore.restore(this.sideCopy) })

function writeOtherEngines (world: World, ids: number[], stage: string): void {
  for (let i = 1; i < 10; i++) if (i !== 5 && !ids.includes(i)) world.sideStore.remove(`servers/i-${i}`)
  for (const i of ids) world.sideStore.put(`servers/i-${i}`, world.sideEngine.buildEntry({ stage, address: `10.0.0.${i}:80`, sequence: 1 }))
}

When('the sidecar engine is the first of 5 that decode', function (this: World) {
  this.sideStore.put('servers/i-5', this.sideEngine.buildEntry({ stage: 'decode', sequence: 1 }))
  writeOtherEngines(this, [6, 7, 8, 9], 'decode')
})

When('the sidecar engine is the last of 5 that prefill', function (this: World) {
  this.sideStore.put('servers/i-5', this.sideEngine.buildEntry({ stage: 'prefill', sequence: 2 }))
  writeOtherEngines(this, [1, 2, 3, 4], 'prefill')
})

Then('the sidecar orders {string} within {int} ms, with a higher fencing token than before', async function (this: World, stage: string, ms: number) {
  const before = orders(this).length
  for (let waited = 0; orders(this).length === before && waited < ms; waited += 20) await sleep(20)
  const [last, latest] = orders(this).slice(-2).map((body) => JSON.parse(body))
  assert.equal(latest.stage, stage)
  assert.ok(latest.fence > last.fence, `fence ${latest.fence} after ${last.fence}`)
})

Then('the sidecar sends {int} orders within {int} ms', async function (this: World, count: number, ms: number) {
  const before = count === 0 ? orders(this).length : 0
  await sleep(ms)
  assert.equal(orders(this).length - before, count)
})

Then('the sidecar refuses streams within {int} ms', async function (this: World, ms: number) {
  const endMs = performance.now() + ms
  for (;;) {
    const reply = await requestAdmission(this, { promptTokens: 1, maxTokens: 1, reads: false })
    if (reply.kind === MessageKind.Refused) return
    assert.ok(performance.now() < endMs, 'streams are still admitted')
    await sleep(20)
  }
})

When('the sidecar restarts', async function (this: World) {
  await this.sidecar.close()
  this.sideTimer.close()
  await start(this)
})

When('{int} ms pass at the sidecar', async function (ms: number) { await sleep(ms) })

Then('the sidecar has called the store at most {int} times', function (this: World, most: number) {
  const calls = this.sideStore.listCalls()
  assert.ok(calls.length <= most, `it made ${calls.length} calls: ${calls.join(' ')}`)
})

When('the sidecar engine is replaced by another one in the store', function (this: World) {
  this.sideStore.remove('servers/i-5')
  this.sideStore.put('servers/i-6', this.sideEngine.buildEntry())
})

When('the sidecar engine starts again, with an entry beside that of its predecessor after {int} ms', async function (this: World, ms: number) {
  this.sideEngine.startAgain()
  await sleep(100)
  this.received = this.received.filter(() => false)
  await sleep(ms - 100)
  this.sideStore.put('servers/i-6', this.sideEngine.buildEntry())
})

Then('the sidecar has told no room of the engine {string} since then', function (this: World, id: string) {
  const rooms = this.received.flatMap((msg) => msg.kind === MessageKind.EngineCapacity && msg.workerId === id ? [msg.roomTokens] : [])
  assert.deepEqual(rooms.filter((tokens) => tokens > 0), [])
})

Then('the sidecar tells {int} tokens of room or more at the engine {string} within {int} ms', async function (this: World, tokens: number, id: string, ms: number) {
  const endMs = performance.now() + ms
  const isTold = (): boolean => this.received.some((msg) => msg.kind === MessageKind.EngineCapacity && msg.workerId === id && msg.roomTokens >= tokens)
  while (!isTold()) {
    assert.ok(performance.now() < endMs, 'no such room is told')
    await sleep(10)
  }
})

Then('the sidecar admits streams to the new engine within {int} ms', async function (this: World, ms: number) {
  const endMs = performance.now() + ms
  for (;;) {
    const reply = await requestAdmission(this, { promptTokens: 10, maxTokens: 10, reads: false, workerId: 'i-6' })
    if (reply.kind === MessageKind.Admitted) return
    assert.ok(performance.now() < endMs, 'no stream is admitted to the new engine')
    await sleep(20)
  }
})

When('the engine of the sidecar limits its rate to {int} a second', async function (this: World, perS: number) {
  this.sideEngine.setLimit(perS)
  await sleep(200)
})

When('the engine of the sidecar no longer limits its rate', async function (this: World) {
  this.sideEngine.setLimit(undefined)
  await sleep(200)
})

Then('the sidecar admits {int} of {int} streams that come at once, and refuses the others for {string}',
  async function (this: World, admitted: number, streams: number, code: string) {
    const replies: Message[] = []
    for (let i = 0; i < streams; i++) replies.push(await requestAdmission(this, { promptTokens: 10, maxTokens: 10, reads: false }))
    assert.equal(replies.filter(({ kind }) => kind === MessageKind.Admitted).length, admitted)
    for (const reply of replies) assert.ok(reply.kind === MessageKind.Admitted || (reply.kind === MessageKind.Refused && code.split(', ').includes(reply.code)))
  })

const nested = `${'['.repeat(100_000)}${']'.repeat(100_000)}`
const oddReports: { readonly [what: string]: string } = {
  'deeply nested in its stage': `{"stage":${nested},"sequence":0,"kv_total":1}`,
  'deeply nested': nested,
  'no JSON': '{"stage":',
  'numbers out of range': '{"stage":"decode","sequence":0,"waiting":1e308,"running":-1,"kv_used":1e308,"kv_total":1e308,"runs":[["r",1e308,1e308,-1],[]]}'
}

When(/^the engine of the sidecar reports (.*) for (\d+) ms, and has (\d+) tokens afterwards$/,
  async function (this: World, what: string, ms: string, tokens: string) {
    this.sideEngine.setReportText(oddReports[what])
    await sleep(Number(ms))
    this.sideEngine.setReservableTokens(Number(tokens))
    this.sideEngine.setReportText(undefined)
    await sleep(200)
  })

When('an entry that is deeply nested in its state is written beside that of the sidecar engine', async function (this: World) {
  this.sideStore.put('servers/i-9', this.sideEngine.buildEntry({ state: 0 }).replace('"state":0', `"state":${nested}`))
  await sleep(100)
})

Given('a gateway that is connected to the sidecar', async function (this: World) { await connectGateway(this) })

When('another gateway connects to the sidecar', async function (this: World) {
  this.otherReceived = []
  this.otherGateway = (await connect({ address: `127.0.0.1:${this.port}` })).unwrap()
  this.otherGateway.onMessage((msg) => { this.otherReceived.push(msg) })
})

When('the engine of the sidecar says that it leaves', function (this: World) { this.sideEngine.setLeaving(true) })

When('the engine of the sidecar turns reservations away with the Retry-After {string}', function (this: World, text: string) {
  this.sideEngine.setRetryAfter(text)
})

When('the engine of the sidecar takes reservations again', function (this: World) { this.sideEngine.setRetryAfter(undefined) })

function countTold (messages: readonly Message[], id: string): number {
  return messages.filter((msg) => msg.kind === MessageKind.PromptEvidence && (msg.leaving ?? []).some((leaving) => leaving.id === id)).length
}

Then('the sidecar tells its gateways within {int} ms that {string} leaves', async function (this: World, ms: number, id: string) {
  const endMs = performance.now() + ms
  while (countTold(this.received, id) === 0 || (this.otherGateway !== undefined && countTold(this.otherReceived, id) === 0)) {
    assert.ok(performance.now() < endMs, `a gateway is not told that ${id} leaves`)
    await sleep(10)
  }
})

When('that gateway tells the sidecar {int} times that {string} leaves', function (this: World, times: number, id: string) {
  const leaving = [{ id, bornMs: 1 }]
  for (let i = 0; i < times; i++) this.otherGateway?.send({ kind: MessageKind.PromptEvidence, crashes: [], sound: [], leaving })
})

Then('the sidecar has told each gateway {int} times of {string}', async function (this: World, times: number, id: string) {
  await sleep(100)
  assert.deepEqual([this.received, this.otherReceived].map((messages) => countTold(messages, id)), [times, times])
})

Then('the sidecar gives its gateways a hold of {int} to {int} ms', function (this: World, leastMs: number, mostMs: number) {
  const holds = this.received.flatMap((msg) => msg.kind === MessageKind.EngineCapacity && msg.heldMs !== undefined ? [msg.heldMs] : [])
  assert.ok(holds.length > 0 && holds.every((ms) => ms >= leastMs && ms <= mostMs), `holds of ${holds.join(', ')} ms`)
})

Then('the sidecar engine got at most {int} calls in the time in which it wanted none', function (this: World, most: number) {
  const [first] = this.sideEngine.listTurnedAway()
  assert.ok(first, 'no reservation was turned away')
  const endMs = first.atMs + Number(first.text) * 1000
  const within = this.sideEngine.listControlCalls().filter(({ receivedMs }) => receivedMs > first.atMs + 500 && receivedMs < endMs)
  assert.ok(within.length <= most, `${within.length} calls: ${within.map(({ call }) => call).join(', ')}`)
})

Then('the sidecar admits streams to the engine within {int} ms', async function (this: World, ms: number) {
  const endMs = performance.now() + ms
  for (;;) {
    const reply = await requestAdmission(this, { promptTokens: 10, maxTokens: 10, reads: false })
    if (reply.kind === MessageKind.Admitted) return
    assert.ok(performance.now() < endMs, 'no stream is admitted')
    await sleep(20)
  }
})
