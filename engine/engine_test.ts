/**
 * Steps for the engine and service adapters, which call stand-ins for engines and services.
 */
import assert from 'node:assert/strict'
import { createServer } from 'node:http'
import { createServer as createTcpServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { Role, TierClass } from '../core/types/mod.ts'
import { computeExpectedAnswer, EngineRole, startEngine } from '../testing/engine/mod.ts'
import type { EngineStandIn } from '../testing/engine/mod.ts'
import { FaultKind } from '../testing/faults/mod.ts'
import { startService } from '../testing/service/mod.ts'
import type { ServiceStandIn } from '../testing/service/mod.ts'
import { createSystemTimer } from '../timer/mod.ts'
import type { Timer } from '../timer/mod.ts'
import { readStream } from './_read_stream.ts'
import { createEngineHttp, createServiceHttp } from './mod.ts'
import type { DecodeJob, EngineAdapter, PrefillResult, TokenBatch } from './mod.ts'

interface World {
  endless: { address: string, sentBytes: () => number, close: () => void }
  timer: Timer
  engines: EngineStandIn[]
  adapters: EngineAdapter[]
  prefill: EngineAdapter
  decode: EngineAdapter
  service: ServiceStandIn
  received: Map<string, string[]>
  lateDecode: DecodeJob
  outcome: string
}

const maxTokens = 40
const speed = 4

async function startPair (world: World, options: { fencing?: boolean } = {}): Promise<void> {
  world.timer = createSystemTimer()
  world.received = new Map()
  world.engines = []
  for (const role of [EngineRole.Prefill, EngineRole.Decode]) {
    world.engines.push(await startEngine({ role, speed, ...options }))
  }
  world.adapters = world.engines.map((engine) => createEngineHttp({ address: engine.address }))
  world.prefill = world.adapters[0] as EngineAdapter
  world.decode = world.adapters[1] as EngineAdapter
}

function sleep (world: World, ms: number): Promise<void> {
  return new Promise((resolve) => world.timer.after(ms, resolve))
}

async function waitUntil (world: World, limitMs: number, check: () => boolean): Promise<boolean> {
  const endMs = world.timer.now() + limitMs
  while (!check() && world.timer.now() < endMs) await sleep(world, 5)
  return check()
}

function piecesUsed (world: World): number {
  return world.engines.reduce((sum, engine) => sum + engine.countUsedPieces(), 0)
}

async function prefill (world: World, prompt: string): Promise<PrefillResult> {
  const job = { requestId: prompt, attempt: 1, model: 'm1', version: 'v1', prompt, tierClass: TierClass.Paid }
  return (await world.prefill.prefill(job)).unwrap()
}

function decodeJob (prompt: string, result: PrefillResult): DecodeJob {
  const { handle, kvAddress, promptTokens } = result
  const ids = { requestId: prompt, attempt: 1, model: 'm1', version: 'v1', tierClass: TierClass.Paid }
  return { ...ids, handle, kvAddress, promptTokens, maxTokens, startOffset: 0 }
}

function createCollector (world: World, prompt: string): (batch: TokenBatch) => void {
  const tokens = world.received.get(prompt) ?? []
  world.received.set(prompt, tokens)
  return (batch) => {
    assert.equal(batch.offset, tokens.length)
    tokens.push(...batch.tokens)
  }
}

async function runRequest (world: World, prompt: string): Promise<void> {
  const job = decodeJob(prompt, await prefill(world, prompt))
  const end = (await world.decode.decode(job, createCollector(world, prompt))).unwrap()
  assert.equal(end.tokens, computeExpectedAnswer(prompt, maxTokens).tokens.length)
}

async function decodeUntilReaderCloses (world: World, prompt: string): Promise<void> {
  const reader = createEngineHttp({ address: world.engines[1]?.address ?? '' })
  const job = decodeJob(prompt, await prefill(world, prompt))
  const collect = createCollector(world, prompt)
  const tokens = world.received.get(prompt) ?? []
  const ended = reader.decode(job, (batch) => {
    if (tokens.length < 5) collect(batch)
    if (tokens.length === 5) reader.close().catch(() => {})
  })
  assert.ok((await ended).err)
}

After(async function (this: Partial<World>) {
  for (const adapter of this.adapters ?? []) await adapter.close()
  for (const engine of this.engines ?? []) await engine.close()
  await this.service?.close()
  if (this.adapters || this.service) this.timer?.close()
})

Given('engine stand-ins for prefill and decode', async function (this: World) {
  await startPair(this)
})

When('engine adapters run {int} different prompts at once', async function (this: World, count: number) {
  const prompts = Array.from({ length: count }, (_, i) => `letter ${i} to the notary `.repeat(20))
  await Promise.all(prompts.map((prompt) => runRequest(this, prompt)))
})

When('an engine stream runs while its events arrive out of order', async function (this: World) {
  this.engines[1]?.gate.setFault(FaultKind.DuplicateAndReorder, 0)
  await runRequest(this, 'a crossed letter')
})

Then('engine answers are exact and every piece is free', async function (this: World) {
  for (const [prompt, tokens] of this.received) {
    assert.deepEqual(tokens, computeExpectedAnswer(prompt, maxTokens).tokens)
  }
  assert.ok(await waitUntil(this, 300, () => piecesUsed(this) === 0))
})

When('the reader of an engine stream closes after 5 tokens and another resumes there', async function (this: World) {
  await decodeUntilReaderCloses(this, 'a resumed letter')
  const ref = { requestId: 'a resumed letter', attempt: 1 }
  const end = await this.decode.resume(ref, 5, createCollector(this, ref.requestId))
  assert.ok(end.ok)
})

Then('the engine tokens of both readers make up the exact answer', function (this: World) {
  for (const [prompt, tokens] of this.received) {
    assert.deepEqual(tokens, computeExpectedAnswer(prompt, maxTokens).tokens)
  }
})

Then('every engine piece is free within {int} ms', async function (this: World, limitMs: number) {
  assert.ok(await waitUntil(this, limitMs, () => piecesUsed(this) === 0), `${piecesUsed(this)} pieces are held`)
})

const cancels: { [phase: string]: (world: World) => Promise<void> } = {
  async prefilling (world) {
    const ref = { requestId: 'r', attempt: 1 }
    const job = { ...ref, model: 'm1', version: 'v1', prompt: 'word '.repeat(20_000), tierClass: TierClass.Paid }
    const running = world.prefill.prefill(job)
    assert.ok(await waitUntil(world, 200, () => piecesUsed(world) > 0))
    assert.equal((await world.prefill.cancel(ref)).unwrap(), 1250)
    assert.ok((await running).err)
  },
  async transferring (world) {
    world.engines[0]?.gate.setFault(FaultKind.StallTransfer, 0)
    const job = decodeJob('r', await prefill(world, 'r'))
    const running = world.decode.decode(job, () => assert.fail('received a token'))
    assert.ok(await waitUntil(world, 200, () => world.engines[1]?.countUsedSeats() === 1))
    assert.equal((await world.decode.cancel(job)).unwrap(), 3)
    assert.ok((await running).err)
  },
  async decoding (world) {
    const job = decodeJob('r', await prefill(world, 'r'))
    let tokens = 0
    const running = world.decode.decode(job, () => { tokens += 1 })
    assert.ok(await waitUntil(world, 200, () => tokens > 2))
    assert.equal((await world.decode.cancel(job)).unwrap(), 3)
    const end = await running
    assert.equal(end.err && end.val.kind, 'cancelled')
  }
}

When(/^an engine attempt is cancelled while (prefilling|transferring|decoding)$/, async function (this: World, phase: string) {
  await cancels[phase]?.(this)
})

When('the reader of an engine stream closes after 5 tokens and none resumes it for {int} ms',
  async function (this: World, ms: number) {
    await decodeUntilReaderCloses(this, 'a left letter')
    await sleep(this, ms)
  })

Then('the engine holds the pieces until a cancel, which answers their number', async function (this: World) {
  const ref = { requestId: 'a left letter', attempt: 1 }
  const held = (await this.decode.readHeldStreams()).unwrap()
  assert.deepEqual(held.map((stream) => stream.requestId), [ref.requestId])
  assert.equal((await this.decode.cancel(ref)).unwrap(), held[0]?.pieces)
  assert.equal((await this.decode.cancel(ref)).unwrap(), 0)
  assert.equal(piecesUsed(this), 0)
})

When('the result of an engine prefill is not fetched for {int} ms', async function (this: World, ms: number) {
  this.lateDecode = decodeJob('r', await prefill(this, 'r'))
  await sleep(this, ms)
})

Then('an engine decode of that result fails with {string}', async function (this: World, kind: string) {
  const end = await this.decode.decode(this.lateDecode, () => assert.fail('received a token'))
  assert.equal(end.err && end.val.kind, kind)
})

Given(/^an engine stand-in that (honours|ignores) fencing numbers$/, async function (this: World, manner: string) {
  await startPair(this, { fencing: manner === 'honours' })
})

When('the engine gets orders with fencing numbers {int} and {int}', async function (this: World, a: number, b: number) {
  const order = { role: Role.Decode, model: 'm1', version: 'v1', adapter: '' }
  assert.ok((await this.decode.sendOrder({ ...order, fence: a })).ok)
  const old = await this.decode.sendOrder({ ...order, fence: b })
  this.outcome = old.ok ? 'accepted' : old.val.kind
})

Then('the engine answers the old order with {string}', function (this: World, result: string) {
  assert.equal(this.outcome, result)
})

Given('a service stand-in', async function (this: World) {
  this.timer = createSystemTimer()
  this.service = await startService()
})

const callFaults: { [name: string]: FaultKind | undefined } = {
  'in peace': undefined,
  'with its port closed': FaultKind.ClosePort,
  'with the cut after the run': FaultKind.CloseAfterRun,
  'while frozen for 400 ms': FaultKind.Freeze
}

When(/^the service is called once (in peace|with .*|while .*)$/, async function (this: World, name: string) {
  const fault = callFaults[name]
  if (fault) this.service.gate.setFault(fault, 400)
  const adapter = createServiceHttp({ address: this.service.address })
  const call = { callId: 'c1', method: 'POST', path: '/signatures', headers: {}, body: new Uint8Array([1]) }
  const reply = await adapter.call({ ...call, timeoutMs: 200 })
  this.outcome = reply.ok ? 'ok true' : `${reply.val.kind} ${reply.val.sent}`
  await sleep(this, 500)
  await adapter.close()
})

Then('the service call ends as {string} with sent {word} and the service ran it {int} times',
  function (this: World, kind: string, sent: string, runs: number) {
    assert.equal(this.outcome, `${kind} ${sent}`)
    assert.equal(this.service.countRuns('c1'), runs)
  })

const nested = `${'['.repeat(20_000)}${']'.repeat(20_000)}`
const oddTexts = [nested, 'null', '[]', '{}', '"odd"', '-1', '0.5', '1e308', '{"toString":1}', '[1]', '[null]']
const ref = { requestId: 'r', attempt: 1 }
const odd = { model: 'm', version: 'v', handle: 'h', kvAddress: 'a', promptTokens: 1, maxTokens: 1, startOffset: 0, tierClass: TierClass.Paid, prompt: 'p' }

/** Calls of an engine, a sound answer to each, and the check of the value that an odd one may still give. */
const calls: Array<{ call: (engine: EngineAdapter) => Promise<{ ok: boolean, val: unknown }>, answer: object, isEvent?: boolean }> = [
  { call: (engine) => engine.prefill({ ...ref, ...odd }), answer: { handle: 'h', kv_address: 'a', prompt_tokens: 1, cached_tokens: 0, keeps_ms: 5 } },
  { call: (engine) => engine.cancel(ref), answer: { pieces: 1 } },
  { call: (engine) => engine.readHeldStreams(), answer: { streams: [{ request_id: 'r', attempt: 1, pieces: 1, offset: 0, phase: 'kv' }] } },
  { call: (engine) => engine.readLoad(), answer: { seats: 1, seats_used: 1, pieces: 1, pieces_used: 1, queued_tokens: 1, age_ms: 1 } },
  {
    call: (engine) => engine.readState(),
    answer: { role: Role.Decode, model: 'm', version: 'v', adapter: 'a', fence: 1, loading: false, tokens_per_piece: 1 }
  },
  { call: (engine) => engine.readCacheEvents(0), answer: { events: [{ seq: 1, kind: 'stored', prefix: 'p', tokens: 1 }] } },
  ...[{ offset: 0, tokens: ['a'] }, { end: { tokens: 1, reason: 'stop' } }, { error: 'x' }].map((answer) => ({
    call: async (engine: EngineAdapter) => {
      const batches: TokenBatch[] = []
      const end = await engine.decode({ ...ref, ...odd }, (batch) => batches.push(batch))
      return { ok: end.ok, val: { batches, end: end.val } }
    },
    answer,
    isEvent: true
  }))
]

/** Lists the JSON texts of a value in which it, or one field or item at any depth, is replaced by an odd text. */
function listOddTexts (value: unknown): string[] {
  if (typeof value !== 'object' || value === null) return oddTexts
  const entries = Object.entries(value)
  return [...oddTexts, ...entries.flatMap(([name, inner]) => listOddTexts(inner).map((text) => {
    const parts = entries.map(([key, other]) => [key, key === name ? text : JSON.stringify(other)])
    return Array.isArray(value) ? `[${parts.map(([, part]) => part).join()}]` : `{${parts.map(([key, part]) => `"${key}":${part}`).join()}}`
  }))]
}

Then('each engine call and stream whose answer has any field odd ends as a value of the right form', { timeout: 20_000 }, async function () {
  let answer = ''
  const server = createServer((_req, res) => { res.end(answer) })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const engine = createEngineHttp({ address: `127.0.0.1:${(server.address() as AddressInfo).port}` })
  for (const { call, answer: sound, isEvent } of calls) {
    for (const text of listOddTexts(sound)) {
      answer = isEvent ? `data: ${text}\n\n` : text
      const { ok, val } = await call(engine)
      // Only texts and numbers from 0 up can be passed on in messages.
      if (ok || isEvent) assert.doesNotMatch(JSON.stringify(val), /null|-1|"tokens":"|"tokens":\[(1|null)/, text.slice(0, 200))
      else assert.equal(typeof (val as { message: string }).message, 'string')
    }
  }
  await engine.close()
  server.close()
})

Then('an event of {int} characters in pieces of {int} bytes is read within {int} ms, wherever the pieces part',
  async function (chars: number, pieceBytes: number, ms: number) {
    const token = 'x'.repeat(chars)
    const sent = Buffer.from([{ offset: 0, tokens: [token] }, { end: { tokens: 1, reason: 'stop' } }].map((event) => `data: ${JSON.stringify(event)}\n\n`).join(''))
    for (const firstBytes of [pieceBytes, pieceBytes - 1]) {
      async function * readPieces (): AsyncIterable<Buffer> {
        yield sent.subarray(0, firstBytes)
        for (let at = firstBytes; at < sent.length; at += pieceBytes) yield sent.subarray(at, at + pieceBytes)
      }
      const got: string[] = []
      const startMs = performance.now()
      const end = await readStream(readPieces(), 0, ({ tokens }) => got.push(...tokens))
      const tookMs = performance.now() - startMs
      assert.ok(end.ok, end.err ? end.val.message : '')
      assert.deepEqual(got, [token])
      assert.ok(tookMs < ms, `it took ${Math.round(tookMs)} ms`)
    }
  })

Given('a backend server that answers {int} with a body without end', async function (this: World, status: number) {
  let sentBytes = 0
  const piece = Buffer.alloc(65_536, 'x')
  const server = createServer((_req, res) => {
    res.writeHead(status)
    const write = (): void => {
      if (res.destroyed) return
      sentBytes += piece.length
      if (res.write(piece)) setImmediate(write)
      else res.once('drain', write)
    }
    write()
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  this.endless = { address: `127.0.0.1:${port}`, sentBytes: () => sentBytes, close () { server.closeAllConnections(); server.close() } }
})

const endlessCalls: { [what: string]: (address: string) => Promise<{ err: boolean, val: unknown }> } = {
  async 'a service' (address) {
    const service = createServiceHttp({ address })
    const result = await service.call({ callId: 'c', method: 'GET', path: '/', headers: {}, body: new Uint8Array(), timeoutMs: 3_000 })
    await service.close()
    return result
  },
  async "an engine's state" (address) {
    const engine = createEngineHttp({ address, timeoutMs: 3_000 })
    const result = await engine.readState()
    await engine.close()
    return result
  },
  async "an engine's decode" (address) {
    const engine = createEngineHttp({ address, timeoutMs: 3_000 })
    const job = decodeJob('r', { handle: 'h', kvAddress: address, promptTokens: 1, cachedTokens: 0, keepsMs: 1 })
    const result = await Promise.race([engine.decode(job, () => {}), new Promise<undefined>((resolve) => { setTimeout(() => resolve(undefined), 3_000) })])
    await engine.close()
    return result ?? { err: false, val: 'no end within 3000 ms' }
  }
}

Then(/^(a service|an engine's state|an engine's decode) called there ends as broken, sent, before the server has sent (\d+) MB$/,
  async function (this: World, what: string, megabytes: string) {
    const result = await (endlessCalls[what] as (address: string) => Promise<{ err: boolean, val: unknown }>)(this.endless.address)
    const sentMb = this.endless.sentBytes() / 1e6
    this.endless.close()
    assert.ok(result.err, String(result.val))
    const { kind, sent } = result.val as { kind: string, sent: boolean }
    assert.deepEqual({ kind, sent }, { kind: 'broken', sent: true })
    assert.ok(sentMb < Number(megabytes), `${sentMb} MB`)
  })

const connectionEnds: { readonly [ends: string]: (socket: Socket) => void } = {
  'is closed in order': (socket) => { socket.end() },
  'is reset at once': (socket) => { socket.resetAndDestroy() },
  'is reset after 20 ms': (socket) => { setTimeout(() => socket.resetAndDestroy(), 20) }
}

Then(/^a service call whose answer has the type "([^"]*)", the body "([^"]*)" and (is .*) ends as "(\w+)"$/,
  async function (type: string, escaped: string, ends: string, result: string) {
    const body = escaped.replace(/\\([rn])/g, (_, name: string) => name === 'r' ? '\r' : '\n')
    const server = createTcpServer((socket) => {
      socket.on('error', () => {})
      socket.once('data', () => {
        socket.write(`HTTP/1.1 200 OK\r\nContent-Type: ${type}\r\nConnection: close\r\n\r\n${body}`)
        connectionEnds[ends]?.(socket)
      })
    })
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    const service = createServiceHttp({ address: `127.0.0.1:${(server.address() as AddressInfo).port}` })
    const reply = await service.call({ callId: 'c', method: 'GET', path: '/', headers: {}, body: new Uint8Array(), timeoutMs: 3_000 })
    await service.close()
    server.close()
    assert.equal(reply.ok ? 'answered' : reply.val.kind, result)
    if (reply.ok) assert.equal(Buffer.from(reply.val.body).toString(), body)
    else assert.equal(reply.val.sent, true)
  })
