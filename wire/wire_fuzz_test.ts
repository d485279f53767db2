/**
 * Steps that feed invalid and random input to the frame decoder, the message validator and the listener.
 */
import assert from 'node:assert/strict'
import { LoadTopic } from '../core/cost/mod.ts'
import { connect as connectTcp } from 'node:net'
import type { Socket } from 'node:net'
import { Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import { Outcome, RefusalCode, Role, TierClass } from '../core/types/mod.ts'
import { connect, createFrameDecoder, encodeFrame, MessageKind, parseAddress, validateMessage } from './mod.ts'
import type { Connection, Listener, Message, MessageOf } from './mod.ts'

interface World {
  listener: Listener
  accepted: Connection[]
}

const ref = { requestId: 'r1', attempt: 1 }
const served = { model: 'redaction', version: 'v1' }
const body = Buffer.from('corps')

const samples: { [K in MessageKind]: MessageOf<K> } = {
  [MessageKind.Hello]: {
    kind: MessageKind.Hello,
    name: 'levis-1',
    process: 'entry',
    incarnation: 1796372376305,
    address: '127.0.0.1:7000',
    revision: 3,
    availabilityZone: 'levis',
    region: 'qc-est'
  },
  [MessageKind.Heartbeat]: { kind: MessageKind.Heartbeat, progress: 9, live: [ref], revision: 3 },
  [MessageKind.Reserve]: {
    kind: MessageKind.Reserve, ...ref, ...served, pieces: 0, tokens: 400, tierClass: TierClass.Paid, caller: 'notaires', waitMs: 50.5
  },
  [MessageKind.Reserved]: { kind: MessageKind.Reserved, ...ref, pieces: 3 },
  [MessageKind.Refused]: { kind: MessageKind.Refused, ...ref, code: RefusalCode.NoCapacity, retryAfterMs: 100 },
  [MessageKind.Prefill]: {
    kind: MessageKind.Prefill, ...ref, ...served, prompt: 'Avis scellé', tierClass: TierClass.Free, caller: 'essai', budgetMs: 900
  },
  [MessageKind.Prefilled]: {
    kind: MessageKind.Prefilled, ...ref, handle: 'h', kvAddress: '127.0.0.1:1', promptTokens: 2, cachedTokens: 0, keepsMs: 800
  },
  [MessageKind.Decode]: {
    kind: MessageKind.Decode,
    ...ref,
    ...served,
    handle: 'h',
    kvAddress: '127.0.0.1:1',
    promptTokens: 2,
    maxTokens: 16,
    startOffset: 0,
    tierClass: TierClass.Paid
  },
  [MessageKind.Admit]: {
    kind: MessageKind.Admit, ...ref, workerId: 'i-1', engineVersion: 'v2', promptTokens: 400, likelyTokens: 90.5, maxTokens: 200, reads: false
  },
  [MessageKind.Admitted]: { kind: MessageKind.Admitted, ...ref, hold: 'h' },
  [MessageKind.StreamEnded]: { kind: MessageKind.StreamEnded, ...ref, whole: true },
  [MessageKind.PromptEvidence]: {
    kind: MessageKind.PromptEvidence, crashes: [{ crash: 'i-1/7', parts: ['system', 'letter'], ageMs: 120 }], sound: ['system']
  },
  [MessageKind.EngineCapacity]: {
    kind: MessageKind.EngineCapacity, workerId: 'i-1', roomTokens: 9000, reads: false, waiting: 2, senders: 4
  },
  [MessageKind.ViewState]: { kind: MessageKind.ViewState, era: 2, revisions: [4, 9], agesMs: [12.5, 0] },
  [MessageKind.ViewRequest]: { kind: MessageKind.ViewRequest, after: [4, 9], era: 2, readsPacked: true },
  [MessageKind.ViewChanges]: {
    kind: MessageKind.ViewChanges,
    after: [4, 9],
    afterEra: 1,
    era: 2,
    revisions: [5, 9],
    agesMs: [3, 0],
    failureAgeMs: 900,
    complete: [true, false],
    changes: [{ key: 'servers/i-1', era: 2, revision: 5, value: null }],
    packed: Buffer.from([31, 139])
  },
  [MessageKind.WorkerLoads]: {
    kind: MessageKind.WorkerLoads,
    topic: LoadTopic.Plain,
    name: 'edge-1',
    incarnation: 7,
    seq: 3,
    asks: true,
    loads: [{ worker: 'i-1/5', requests: 2, workMs: 160.5, slowness: 1.2, samples: 3.5 }]
  },
  [MessageKind.WorkerLoadsSum]: {
    kind: MessageKind.WorkerLoadsSum, topic: LoadTopic.Reads, seq: 3, ageMs: 40.5, loads: [{ worker: 'i-1/5', requests: 20, workMs: 1600, slowness: 0.8, samples: 31 }]
  },
  [MessageKind.StreamOrigins]: {
    kind: MessageKind.StreamOrigins, origins: [{ requestId: 'r', service: 'llm', softwareVersion: 'v2' }]
  },
  [MessageKind.OriginRequest]: { kind: MessageKind.OriginRequest, requestId: 'r' },
  [MessageKind.OriginReply]: { kind: MessageKind.OriginReply, requestId: 'r', origin: { service: 'llm', softwareVersion: 'v2' }, isAmbiguous: false },
  [MessageKind.Resume]: { kind: MessageKind.Resume, ...ref, offset: 4 },
  [MessageKind.Tokens]: { kind: MessageKind.Tokens, ...ref, offset: 4, tokens: [' été'] },
  [MessageKind.Finished]: { kind: MessageKind.Finished, ...ref, tokens: 16, reason: 'stop' },
  [MessageKind.Failed]: {
    kind: MessageKind.Failed, ...ref, code: RefusalCode.BackendError, outcome: Outcome.Unknown, message: 'cut'
  },
  [MessageKind.Cancel]: { kind: MessageKind.Cancel, ...ref },
  [MessageKind.Cancelled]: { kind: MessageKind.Cancelled, ...ref },
  [MessageKind.Call]: {
    kind: MessageKind.Call,
    ...ref,
    service: 'registre',
    caller: 'notaires',
    ticket: 't1',
    method: 'POST',
    path: '/signatures',
    headers: { accept: '*/*' },
    body,
    timeoutMs: 5000
  },
  [MessageKind.CallDone]: {
    kind: MessageKind.CallDone, ...ref, outcome: Outcome.Done, reply: { status: 200, headers: {}, body }, replayed: true
  },
  [MessageKind.TicketIssue]: { kind: MessageKind.TicketIssue, ...ref, service: 'registre', caller: 'notaires' },
  [MessageKind.TicketIssued]: { kind: MessageKind.TicketIssued, ...ref, ticket: 't1', keepsMs: 600000 },
  [MessageKind.TicketVoid]: { kind: MessageKind.TicketVoid, ...ref, ticket: 't1' },
  [MessageKind.TicketVoided]: { kind: MessageKind.TicketVoided, ...ref, outcome: Outcome.NotRun },
  [MessageKind.Load]: {
    kind: MessageKind.Load,
    ...served,
    backend: 'redaction-1',
    role: Role.Decode,
    seats: 20,
    seatsUsed: 1,
    pieces: 4000,
    piecesUsed: 3,
    queuedTokens: 0,
    waitMs: 0,
    draining: false,
    seq: 8,
    tokensPerPiece: 16,
    prefixes: ['f00'],
    stalledMs: 0
  },
  [MessageKind.ConfigDigest]: { kind: MessageKind.ConfigDigest, revision: 3, wants: true },
  [MessageKind.ConfigRecords]: {
    kind: MessageKind.ConfigRecords,
    after: 0,
    revision: 3,
    complete: true,
    changes: [{ key: 'tier/payant', revision: 3, value: null }]
  },
  [MessageKind.PeerReport]: { kind: MessageKind.PeerReport, name: 'levis-1', incarnation: 1, state: 'gone' },
  [MessageKind.UsageShare]: {
    kind: MessageKind.UsageShare,
    entry: 'levis-1',
    incarnation: 1,
    seq: 2,
    usage: [{ caller: 'notaires', requests: 1, tokens: 30, concurrency: 1, waiting: 0 }]
  },
  [MessageKind.AllowanceReport]: {
    kind: MessageKind.AllowanceReport, sender: 'levis-1/1', seq: 2, after: 1, full: true, spending: [{ organisation: 'notaires', spent: 5900, offered: 11800 }]
  },
  [MessageKind.AllowanceLevels]: {
    kind: MessageKind.AllowanceLevels, seq: 2, wantsFull: false, gateways: 30, levels: [{ organisation: 'notaires', level: -120.5, share: 0.25, demandPerS: 9000 }]
  },
  [MessageKind.Status]: { kind: MessageKind.Status },
  [MessageKind.StatusReply]: { kind: MessageKind.StatusReply, status: { revision: 3 } },
  [MessageKind.Explain]: { kind: MessageKind.Explain, requestId: 'r1' },
  [MessageKind.ExplainReply]: { kind: MessageKind.ExplainReply, requestId: 'r1', decisions: [{ reason: 'nearest' }] }
}

const optionalFields = new Set(['likelyTokens', 'ticket', 'reply', 'code', 'ageMs', 'after', 'more', 'failureAgeMs', 'readMs', 'era', 'afterEra', 'complete', 'packed', 'readsPacked', 'origin', 'engineVersion'])
const freeFormFields = new Set(['decisions'])

const sampleArbitrary = fc.constantFrom<Message>(...Object.values(samples))

Then('the wire samples of every kind are valid and decode to equal values in pieces of {int} to {int} bytes', function (
  low: number, high: number
) {
  const stream = Buffer.concat(Object.values(samples).map((msg) => encodeFrame(msg)))
  for (let size = low; size <= high; size++) {
    const decoder = createFrameDecoder()
    const values: unknown[] = []
    for (let i = 0; i < stream.length; i += size) values.push(...decoder.push(stream.subarray(i, i + size)).unwrap())
    assert.deepEqual(values.map((value) => validateMessage(value).unwrap()), Object.values(samples))
  }
})

/** Yields copies of a message that each lack one required field, of the message itself or of the first item of a list. */
function * omitEachField (msg: Record<string, unknown>): Generator<Record<string, unknown>> {
  for (const [name, value] of Object.entries(msg)) {
    const { [name]: _removed, ...rest } = msg
    if (!optionalFields.has(name)) yield rest
    const [item] = Array.isArray(value) && !freeFormFields.has(name) ? value : []
    if (typeof item !== 'object' || item === null) continue
    for (const incomplete of omitEachField(item)) yield { ...msg, [name]: [incomplete] }
  }
}

Then('the wire validator refuses every sample that lacks a required field', function () {
  for (const msg of Object.values(samples)) {
    for (const incomplete of omitEachField({ ...msg })) assert.ok(validateMessage(incomplete).err, JSON.stringify(incomplete))
  }
})

Then('wire decoders with a limit of {int} bytes survive {int} random streams with seed {int}', function (
  limit: number, numRuns: number, seed: number
) {
  const chunks = fc.array(fc.uint8Array({ maxLength: 300 }), { maxLength: 8 })
  fc.assert(fc.property(chunks, (parts) => {
    const decoder = createFrameDecoder({ maxFrameBytes: limit })
    for (const part of parts) {
      const result = decoder.push(part)
      assert.ok(decoder.bufferedBytes <= limit + 4 + part.length)
      if (result.err) return
      for (const value of result.val) validateMessage(value)
    }
  }), { seed, numRuns })
})

Then('wire decoders and validators survive {int} changed frames with seed {int}', function (numRuns: number, seed: number) {
  const changes = fc.array(fc.tuple(fc.nat(), fc.nat(255)), { minLength: 1, maxLength: 4 })
  fc.assert(fc.property(sampleArbitrary, changes, (msg, edits) => {
    const bytes = encodeFrame(msg)
    for (const [at, byte] of edits) bytes[at % bytes.length] = byte
    const result = createFrameDecoder().push(bytes)
    if (result.ok) result.val.forEach(validateMessage)
  }), { seed, numRuns })
})

Then('the wire validator survives {int} messages with a replaced field with seed {int}', function (numRuns: number, seed: number) {
  const value = fc.oneof(fc.jsonValue(), fc.uint8Array(), fc.constant(undefined), fc.double(), fc.bigInt())
  fc.assert(fc.property(sampleArbitrary, fc.nat(), value, (msg, pick, replacement) => {
    const names = Object.keys(msg)
    const name = names[pick % names.length] as string
    const result = validateMessage({ ...msg, [name]: replacement })
    // A replaced field that passes has the type of the sample's field, or is an absent optional field.
    if (result.ok && replacement !== undefined) assert.equal(typeof replacement, typeof msg[name as keyof Message])
  }), { seed, numRuns })
})

When('{int} wire peers send random bytes with seed {int}', async function (this: World, count: number, seed: number) {
  const { host, port } = parseAddress(this.listener.address).unwrap()
  const payloads = fc.sample(fc.uint8Array({ minLength: 1, maxLength: 64 }), { seed, numRuns: count })
  const open = new Set<Socket>()
  for (const payload of payloads) {
    const socket = connectTcp(port, host, () => { socket.end(payload) })
    socket.on('error', () => {})
    socket.on('close', () => { open.delete(socket) })
    open.add(socket)
    socket.resume()
  }
  while (open.size > 0) {
    for (const connection of this.accepted.splice(0)) connection.onMessage(() => {})
    await new Promise(setImmediate)
  }
})

Then('a wire connection with the key "none" carries {int} messages', async function (this: World, count: number) {
  const before = this.accepted.length
  const connection = (await connect({ address: this.listener.address })).unwrap()
  while (this.accepted.length === before) await new Promise(setImmediate)
  const peer = this.accepted.at(-1) as Connection
  let received = 0
  const all = new Promise<void>((resolve) => peer.onMessage(() => { if (++received === count) resolve() }))
  for (let i = 0; i < count; i++) assert.ok(connection.send(samples[MessageKind.Tokens]))
  await all
  connection.close()
})
