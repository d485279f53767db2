/**
 * Steps for the sidecar, against stand-ins of the store and of its engine.
 */
import assert from 'node:assert/strict'
import { PassThrough } from 'node:stream'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { StagePolicy } from '../core/balance/mod.ts'
import { PackPolicy } from '../core/packing/mod.ts'
import { createLog } from '../log/mod.ts'
import { buildRules, startStore, startWorker } from '../testing/fleuve/mod.ts'
import { freePort } from '../testing/ports/mod.ts'
import { createSystemTimer } from '../timer/mod.ts'
import { connect, MessageKind } from '../wire/mod.ts'
import { startSidecar } from './mod.ts'
import type { FakeStore, FakeWorker } from '../testing/fleuve/mod.ts'
import type { Timer } from '../timer/mod.ts'
import type { Connection, Message } from '../wire/mod.ts'
import type { Sidecar } from './mod.ts'

interface World {
  sideStore: FakeStore
  sideEngine: FakeWorker
  sidecar: Sidecar
  sideTimer: Timer
  port: number
  sideGateway?: Connection
  received: Message[]
  asked: number
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

async function open (world: World, tokens: number, stage: 'prefill' | 'decode', engines: number, readers: number): Promise<void> {
  world.sideStore = await startStore()
  world.sideEngine = await startWorker({ id: 'i-5', service: 'llm', stage })
  world.sideEngine.setMemory(tokens)
  world.port = await freePort()
  world.asked = 0
  world.sideStore.put('op/config', buildRules(1))
  for (let i = 1; i < engines; i++) {
    const other = stage === 'prefill' ? i < readers : i <= readers
    const fields = { stage: other ? 'prefill' : 'decode', address: `10.0.0.${i}:80` }
    // The balance takes readers in the order of their identities; without any, this engine comes first.
    world.sideStore.put(`servers/i-${readers === 0 ? i + 5 : i}`, world.sideEngine.entry(fields))
  }
  world.sideStore.put('servers/i-5', world.sideEngine.entry())
  await start(world)
  await sleep(250)
}

async function ask (
  world: World, fields: { promptTokens: number, maxTokens: number, likelyTokens?: number, reads: boolean, workerId?: string }
): Promise<Message> {
  if (world.sideGateway === undefined) {
    world.received = []
    world.sideGateway = (await connect({ address: `127.0.0.1:${world.port}` })).unwrap()
    world.sideGateway.onMessage((msg) => { world.received.push(msg) })
  }
  const attempt = ++world.asked
  world.sideGateway.send({ kind: MessageKind.Admit, requestId: `r-${attempt}`, attempt, workerId: 'i-5', ...fields })
  for (let i = 0; i < 100; i++) {
    const answer = world.received.find((msg) => 'attempt' in msg && msg.attempt === attempt)
    if (answer !== undefined) return answer
    await sleep(10)
  }
  assert.fail('the sidecar does not answer')
}

function orders (world: World): string[] {
  return world.sideEngine.calls().filter(({ call }) => call === 'POST /v1/order').map(({ body }) => body)
}

After(async function (this: World) {
  this.sideGateway?.close()
  await this.sidecar?.close()
  this.sideTimer?.close()
  await this.sideEngine?.close()
  await this.sideStore?.close()
})

Given('a sidecar beside an engine of {int} tokens with the stage {string}', async function (this: World, tokens: number, stage: 'decode') {
  await open(this, tokens, stage, 1, 0)
})

Given('a sidecar beside an engine of {int} tokens with the stage {string} among {int} engines of which {int} read',
  async function (this: World, tokens: number, stage: 'prefill' | 'decode', engines: number, readers: number) {
    await open(this, tokens, stage, engines, readers)
  })

Then('the sidecar {word} a stream of {int} and at most {int} tokens that likely makes {int}',
  async function (this: World, verdict: string, promptTokens: number, maxTokens: number, likelyTokens: number) {
    const answer = await ask(this, { promptTokens, maxTokens, likelyTokens, reads: false })
    assert.equal(answer.kind, verdict === 'admits' ? MessageKind.Admitted : MessageKind.Refused)
  })

Then('the sidecar {word} a stream of {int} tokens that its engine reads itself', async function (this: World, verdict: string, promptTokens: number) {
  const answer = await ask(this, { promptTokens, maxTokens: 200, reads: true })
  assert.equal(answer.kind, verdict === 'admits' ? MessageKind.Admitted : MessageKind.Refused)
})

Then('the sidecar engine holds {int} reservations', function (this: World, count: number) {
  assert.equal(this.sideEngine.calls().filter(({ call }) => call === 'POST /v1/hold-take').length, count)
})

Then('the sidecar orders {string} within {int} ms with the number of orders before', async function (this: World, stage: string, ms: number) {
  for (let waited = 0; orders(this).length === 0 && waited < ms; waited += 20) await sleep(20)
  const order = JSON.parse(orders(this)[0] ?? '{}')
  assert.equal(order.stage, stage)
  assert.equal(order.expect, 0)
  assert.equal(order.holder, 'side-1')
  assert.ok(order.fence > 0)
  this.sideStore.put('servers/i-5', this.sideEngine.entry({ stage }))
})

Then('the sidecar gives {int} orders in {int} ms', async function (this: World, count: number, ms: number) {
  const before = count === 0 ? orders(this).length : 0
  await sleep(ms)
  assert.equal(orders(this).length - before, count)
})

Then('the sidecar comes to refuse every stream within {int} ms', async function (this: World, ms: number) {
  const endMs = performance.now() + ms
  for (;;) {
    const answer = await ask(this, { promptTokens: 1, maxTokens: 1, reads: false })
    if (answer.kind === MessageKind.Refused) return
    assert.ok(performance.now() < endMs, 'streams are still admitted')
    await sleep(20)
  }
})

When('the sidecar starts again', async function (this: World) {
  await this.sidecar.close()
  this.sideTimer.close()
  await start(this)
})

When('{int} ms pass at the sidecar', async function (ms: number) { await sleep(ms) })

Then('the sidecar has called the store at most {int} times', function (this: World, most: number) {
  const calls = this.sideStore.calls()
  assert.ok(calls.length <= most, `it made ${calls.length} calls: ${calls.join(' ')}`)
})

When('the sidecar engine is replaced by another one in the store', function (this: World) {
  this.sideStore.remove('servers/i-5')
  this.sideStore.put('servers/i-6', this.sideEngine.entry())
})

Then('the sidecar knows the new engine within {int} ms', async function (this: World, ms: number) {
  const endMs = performance.now() + ms
  for (;;) {
    const answer = await ask(this, { promptTokens: 10, maxTokens: 10, reads: false, workerId: 'i-6' })
    if (answer.kind === MessageKind.Admitted) return
    assert.ok(performance.now() < endMs, 'the new engine is not known')
    await sleep(20)
  }
})
