/**
 * Steps for the request machine: a list of events, and the effects that they cause.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { Err, Ok } from '../results/mod.ts'
import { RefusalCode, Role, TierClass, Outcome } from '../types/mod.ts'
import { MessageKind } from '../../wire/mod.ts'
import { createRequest, RequestEffectKind, RequestEventKind } from './mod.ts'
import type { ReservePolicy } from '../records/mod.ts'
import type { AgentReply, RequestEffect, RequestEvent, RequestMachine, RequestPorts, RequestSpec, RequestTimer } from './mod.ts'

interface World {
  request: RequestMachine
  epochs: Map<string, number>
  nowMs: number
  did: string[]
}

const spec: RequestSpec = {
  requestId: 'r1',
  caller: 'notaires',
  tierClass: TierClass.Paid,
  model: 'resume',
  version: '1',
  prompt: 'a b c',
  promptTokens: 3,
  maxTokens: 8
}

function ports (prefillMs = 100, reserveMs = 0): RequestPorts {
  let retries = 2
  return {
    chooseBackend (role, _tokens, exclude) {
      const names = role === Role.Decode ? ['d1', 'd2', 'd3'] : ['p1', 'p2', 'p3']
      const backend = names.find((name) => !exclude.includes(name))
      return backend === undefined ? Err(RefusalCode.NoBackend) : Ok({ backend, runnersUp: [] })
    },
    consumeRetry: () => retries-- > 0,
    estimatePrefillMs: () => prefillMs,
    estimateReservationWaitMs: () => reserveMs,
    estimateHandoffMs: () => 0,
    recordHandoffMs: () => {}
  }
}

const replies: { [word: string]: (attempt: number, args: string[]) => AgentReply } = {
  reserved: (attempt) => ({ kind: MessageKind.Reserved, requestId: 'r1', attempt, pieces: 1 }),
  refused: (attempt) => ({ kind: MessageKind.Refused, requestId: 'r1', attempt, code: RefusalCode.NoCapacity, retryAfterMs: 0 }),
  late: (attempt) => ({ kind: MessageKind.Refused, requestId: 'r1', attempt, code: RefusalCode.TargetMissed, retryAfterMs: 0 }),
  prefilled: (attempt) => ({
    kind: MessageKind.Prefilled, requestId: 'r1', attempt, handle: 'h', kvAddress: '127.0.0.1:1', promptTokens: 3, cachedTokens: 0, keepsMs: 800
  }),
  tokens: (attempt, [offset, count]) => {
    const tokens = Array.from({ length: Number(count) }, () => ' w')
    return { kind: MessageKind.Tokens, requestId: 'r1', attempt, offset: Number(offset), tokens }
  },
  finished: (attempt, [tokens]) => ({ kind: MessageKind.Finished, requestId: 'r1', attempt, tokens: Number(tokens), reason: 'stop' }),
  failed: (attempt) => ({
    kind: MessageKind.Failed, requestId: 'r1', attempt, code: RefusalCode.BackendError, outcome: Outcome.Unknown, message: 'failed'
  })
}

function parseEvent (world: World, text: string): RequestEvent {
  const [subject = '', verb = '', ...args] = text.split(' ')
  if (subject === 'start') return { kind: RequestEventKind.Start }
  if (subject === 'gone') return { kind: RequestEventKind.CallerDisconnected }
  if (subject === 'wake') return { kind: RequestEventKind.TimerFired, timer: verb as RequestTimer, epoch: world.epochs.get(verb) ?? -1 }
  if (verb === 'lost') return { kind: RequestEventKind.AgentLost, agent: subject }
  if (verb === 'back') return { kind: RequestEventKind.AgentReachable, agent: subject }
  const reply = replies[verb]
  assert.ok(reply, `unknown event "${text}"`)
  // An agent replies to the attempt of the last message that it received.
  const attempt = world.did.filter((did) => did.includes(` ${subject}/`)).map((did) => Number(/\/(\d+)/.exec(did)?.[1])).at(-1) ?? 1
  return { kind: RequestEventKind.Reply, agent: subject, msg: reply(attempt, args) }
}

const describers: { [K in RequestEffectKind]?: (effect: Extract<RequestEffect, { kind: K }>) => string } = {
  [RequestEffectKind.Send]: ({ agent, msg }) => {
    const offset = msg.kind === MessageKind.Resume ? ` ${msg.offset}` : ''
    return `${msg.kind} ${agent}/${msg.attempt}${offset}`
  },
  [RequestEffectKind.WriteTokens]: ({ offset, tokens }) => `emit ${offset} ${tokens.length}`,
  [RequestEffectKind.Finish]: ({ tokens }) => `end ${tokens}`,
  [RequestEffectKind.Refuse]: ({ outcome }) => `refuse ${outcome}`,
  [RequestEffectKind.Abort]: ({ outcome }) => `break ${outcome}`
}

function recordEffect (world: World, effect: RequestEffect): void {
  if (effect.kind === RequestEffectKind.SetTimer) world.epochs.set(effect.timer, effect.epoch)
  const describe = describers[effect.kind] as ((effect: RequestEffect) => string) | undefined
  if (describe !== undefined) world.did.push(describe(effect))
}

function startRequest (world: World, policy: string, requestPorts: RequestPorts): void {
  world.request = createRequest(spec, requestPorts, { policy: policy as ReservePolicy, firstTokenMs: 1200 })
  world.epochs = new Map()
  world.nowMs = 0
  world.did = []
}

Given('a request with the policy {string}', function (this: World, policy: string) {
  startRequest(this, policy, ports())
})

Given('a request with the policy {string}, a prefill of {int} ms and a reservation that waits {int} ms',
  function (this: World, policy: string, prefillMs: number, reserveMs: number) {
    startRequest(this, policy, ports(prefillMs, reserveMs))
  })

When('the request gets {string}', function (this: World, events: string) {
  for (const text of events.split(', ')) {
    if (text.startsWith('wait ')) {
      this.nowMs += Number(text.slice('wait '.length))
      continue
    }
    const event = parseEvent(this, text)
    for (const effect of this.request.handleEvent(event, this.nowMs)) recordEffect(this, effect)
  }
})

Then('the request did {string}', function (this: World, effects: string) {
  assert.deepEqual(this.did, effects.split(', '))
})
