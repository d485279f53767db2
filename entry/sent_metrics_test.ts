/**
 * Steps for the metrics that the processes send.
 */
import assert from 'node:assert/strict'
import { createSocket } from 'node:dgram'
import { once } from 'node:events'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { RequestEffectKind, RequestEventKind, RequestTimer } from '../core/request/mod.ts'
import { Outcome, RefusalCode } from '../core/types/mod.ts'
import { createMetrics, Metric } from '../metrics/mod.ts'
import { callService, requestCompletion, issueTicket } from '../testing/caller/mod.ts'
import { Firm, startDeployment } from '../testing/deployment/mod.ts'
import { MessageKind } from '../wire/mod.ts'
import { createAttemptMetrics } from './_attempt_metrics.ts'
import type { Socket } from 'node:dgram'
import type { DataTable } from '@cucumber/cucumber'
import type { RequestEffect, RequestEvent } from '../core/request/mod.ts'
import type { Metrics } from '../metrics/mod.ts'
import type { Deployment } from '../testing/deployment/mod.ts'

interface World {
  socket: Socket
  deployment: Deployment
  /** Values by metric and sorted tags, in the order in which they arrived. */
  samples: Map<string, number[]>
  wasted: string[]
  retries: string[]
}

const startTimeout = { timeout: 40_000 }
/** Time in milliseconds that is longer than a heartbeat and a flush of the metrics buffer. */
const metricsDelayMs = 1500

After({ tags: '@sent_metrics', timeout: 20_000 }, async function (this: World) {
  await this.deployment?.stop()
  this.socket?.close()
})

function recordPacket (world: World, packet: string): void {
  for (const line of packet.split('\n').filter((line) => line !== '')) {
    const [, name = '', value = '', tags = ''] = /^m\.([a-z_]+):([^|]+)\|[a-z]+(?:\|#(.*))?$/.exec(line) ?? []
    assert.notEqual(name, '', `metric "${line}" cannot be parsed`)
    const key = tags === '' ? name : `${name} ${tags.split(',').toSorted().join(',')}`
    world.samples.set(key, [...world.samples.get(key) ?? [], Number(value)])
  }
}

/** Lists the samples of a metric; a key without tags stands for all tags. */
function getSamples (world: World, key: string): number[] {
  const keys = [...world.samples.keys()].filter((other) => other === key || other.startsWith(`${key} `))
  return keys.flatMap((other) => world.samples.get(other) ?? [])
}

function waitForMetrics (world: World): Promise<void> {
  return new Promise((resolve) => { world.deployment.timer.after(metricsDelayMs, resolve) })
}

Given('a deployment that sends metrics and decodes a token in {int} ms', startTimeout, async function (this: World, stepMs: number) {
  this.samples = new Map()
  this.socket = createSocket('udp4')
  this.socket.on('message', (packet) => recordPacket(this, String(packet)))
  this.socket.bind(0, '127.0.0.1')
  await once(this.socket, 'listening')
  const metrics = { host: '127.0.0.1', port: this.socket.address().port, prefix: 'm' }
  this.deployment = await startDeployment({
    firm: Firm.Velluto, entries: 1, prefill: 1, decode: 1, services: 1, zones: ['milano-a'], settings: { metrics }, engine: { stepMs }
  })
  // Discards the metrics that the start of the deployment sent.
  await waitForMetrics(this)
  this.samples.clear()
})

function completePrompt (world: World, prompt: string, maxTokens: number, onText?: () => void) {
  const { firm } = world.deployment
  return requestCompletion({ address: world.deployment.getEntryAddress(0), key: firm.paidKey, model: firm.model, prompt, maxTokens, onText })
}

When('its caller gets a response of {int} tokens for a prompt of {int} words, a refused booking and a booking that is repeated',
  async function (this: World, tokens: number, words: number) {
    const { firm } = this.deployment
    const address = this.deployment.getEntryAddress(0)
    const prompt = Array.from({ length: words }, (_, i) => `parola${i}`).join(' ')
    assert.equal((await completePrompt(this, prompt, tokens)).endCount, 1)
    const caller = { address, key: firm.paidKey, service: firm.service }
    const booking = { ...caller, method: 'POST', path: firm.writePath, body: '{"house":"Fenice"}' }
    assert.equal((await callService(booking)).status, 428)
    const ticket = String((await issueTicket(caller)).body.ticket)
    const replays = [await callService({ ...booking, ticket }), await callService({ ...booking, ticket })].map((done) => done.isReplayed)
    assert.deepEqual(replays, [false, true])
    await waitForMetrics(this)
  })

When('its entry is frozen for {int} ms in the middle of a response', startTimeout, async function (this: World, ms: number) {
  const { layout, timer } = this.deployment
  const entry = `entry/${layout.entries[0]?.name}`
  let done: Promise<unknown> = Promise.resolve()
  await new Promise<void>((resolve) => { done = completePrompt(this, 'lunga storia', 2000, resolve) })
  this.deployment.freeze(entry)
  await new Promise<void>((resolve) => { timer.after(ms, resolve) })
  this.deployment.unfreeze(entry)
  await waitForMetrics(this)
  await this.deployment.kill(entry)
  await done
})

Then('its metrics are exactly', function (this: World, table: DataTable) {
  const rows = table.hashes() as Array<{ metric: string, value: string }>
  const found = rows.map(({ metric }) => ({ metric, value: String(getSamples(this, metric).reduce((sum, value) => sum + value, 0)) }))
  assert.deepEqual(found, rows)
})

Then('its metrics have {int} sample(s) of {string}', function (this: World, count: number, metric: string) {
  assert.equal(getSamples(this, metric).length, count)
})

Then('its gauges have reached', function (this: World, table: DataTable) {
  for (const { metric, value } of table.hashes() as Array<{ metric: string, value: string }>) {
    const samples = getSamples(this, metric)
    assert.ok(samples.includes(Number(value)), `${metric}: ${samples.join(' ')}`)
  }
})

const ref = { requestId: 'r1' }
const failed = { kind: MessageKind.Failed as const, ...ref, code: RefusalCode.BackendError, outcome: Outcome.Unknown, message: '' }
const timerFired: RequestEvent = { kind: RequestEventKind.TimerFired, timer: RequestTimer.Stall, epoch: 1 }
const refuse: RequestEffect = {
  kind: RequestEffectKind.Refuse, code: RefusalCode.DeadlineExceeded, outcome: Outcome.NotRun, retryAfterMs: 0
}

type Step = { event: RequestEvent, effects?: RequestEffect[], retried?: boolean }

/** A prefill of 40 tokens of which 10 were cached. */
const prefilled = { kind: MessageKind.Prefilled as const, ...ref, handle: 'h', kvAddress: '', promptTokens: 40, cachedTokens: 10, keepsMs: 1 }

const steps: { [word: string]: (attempt: number) => Step } = {
  prefilled: (attempt) => ({ event: { kind: RequestEventKind.Reply, agent: 'p', msg: { ...prefilled, attempt } } }),
  tokens: (attempt) => {
    const msg = { kind: MessageKind.Tokens as const, ...ref, attempt, offset: 0, tokens: ['a'] }
    return { event: { kind: RequestEventKind.Reply, agent: 'd', msg } }
  },
  failed: () => ({ event: { kind: RequestEventKind.Reply, agent: 'd', msg: { ...failed, attempt: 1 } }, retried: true }),
  wake: () => ({ event: timerFired, retried: true }),
  refuse: () => ({ event: timerFired, effects: [refuse] }),
  gone: () => ({ event: { kind: RequestEventKind.CallerDisconnected } })
}

When('the attempt metrics of a request record {string}', function (this: World, text: string) {
  const counted = new Map<Metric, string[]>()
  const metrics: Metrics = {
    ...createMetrics(undefined),
    count: (metric, delta, ...[tags]) => {
      const line = [delta, ...Object.values(tags ?? {})].join(' ')
      counted.set(metric, [...counted.get(metric) ?? [], line])
    }
  }
  const attemptMetrics = createAttemptMetrics(metrics, 'pagante')
  let attempts = 1
  for (const word of text.split(', ')) {
    const [name = '', attempt] = word.split(' ')
    const step = steps[name]?.(Number(attempt ?? 1))
    assert.ok(step, `unknown step "${word}"`)
    if (step.retried) attempts += 1
    attemptMetrics.recordEvent(step.event, step.effects ?? [], attempts)
  }
  this.wasted = counted.get(Metric.WastedPrefillTokens) ?? []
  this.retries = counted.get(Metric.Retries) ?? []
})

Then('the wasted prefill tokens are {string} and the retries are {string}', function (this: World, wasted: string, retries: string) {
  assert.equal(this.wasted.join(', '), wasted)
  assert.equal(this.retries.join(', '), retries)
})
