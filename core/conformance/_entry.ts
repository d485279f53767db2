/**
 * An entry made of real request machines, and what its callers were told.
 */
import { createRequest, RequestEffectKind, RequestEventKind } from '../request/mod.ts'
import type { ReservePolicy } from '../records/mod.ts'
import { Err, Ok } from '../results/mod.ts'
import { Outcome, RefusalCode, Role, TierClass } from '../types/mod.ts'
import type { RequestEffect, RequestEvent, RequestMachine, RequestPorts } from '../request/mod.ts'
import type { Agent } from './_agent.ts'
import type { Network, Random } from './_network.ts'

const heartbeatMs = 100
const callTimeoutMs = 400

/** What the caller of a request got. */
export interface Answer {
  tokens: string[]
  ends: number
  refused: Outcome | undefined
  broken: boolean
}

/** Runs the requests of one entry incarnation. */
export interface Entry {
  begin (requestId: string, policy: ReservePolicy): Answer
  callerGone (requestId: string): void
  /** Sends a call under a ticket; a wait that ends without an answer tells `Unknown`. */
  call (agent: string, ticket: string, told: (outcome: Outcome) => void): void
  voidTicket (agent: string, ticket: string, told: (outcome: Outcome) => void): void
  stop (): void
}

/** What an entry is made of. */
export interface EntryOptions {
  name: string
  incarnation: number
  network: Network
  random: Random
  now: () => number
  /** The incarnations of the agents that run now. */
  agents: Map<string, Agent>
}

/** Creates one incarnation of an entry. */
export function createEntry (options: EntryOptions): Entry {
  const { name, network, now, random, agents } = options
  const owner = `${name}#${options.incarnation}`
  const machines = new Map<string, { machine: RequestMachine, answer: Answer }>()
  const seen = new Map<string, number>()
  let stopped = false

  const ports: RequestPorts = {
    chooseBackend (role, _tokens, exclude) {
      const names = (role === Role.Decode ? ['d1', 'd2'] : ['p1', 'p2']).filter((other) => !exclude.includes(other))
      const backend = names[Math.floor(random() * names.length)]
      return backend === undefined ? Err(RefusalCode.NoBackend) : Ok({ backend, runnersUp: [] })
    },
    consumeRetry: () => true,
    estimatePrefillMs: () => 20,
    estimateHandoffMs: () => 0,
    recordHandoffMs: () => {},
    estimateReservationWaitMs: () => 0
  }

  function handle (requestId: string, event: RequestEvent): void {
    const item = machines.get(requestId)
    if (stopped || item === undefined) return
    for (const effect of item.machine.handleEvent(event, now())) perform(requestId, item.answer, effect)
  }

  function send (requestId: string, effect: Extract<RequestEffect, { kind: RequestEffectKind.Send }>): void {
    const { agent, msg } = effect
    network.send(name, agent, () => agents.get(agent)?.receive(owner, msg, (reply) => {
      network.send(agent, name, () => handle(requestId, { kind: RequestEventKind.Reply, agent, msg: reply }))
    }))
  }

  function perform (requestId: string, answer: Answer, effect: RequestEffect): void {
    if (effect.kind === RequestEffectKind.Send) send(requestId, effect)
    if (effect.kind === RequestEffectKind.WriteTokens) answer.tokens.push(...effect.tokens)
    if (effect.kind === RequestEffectKind.Finish) answer.ends++
    if (effect.kind === RequestEffectKind.Refuse) answer.refused = effect.outcome
    if (effect.kind === RequestEffectKind.Abort) answer.broken = true
    if (effect.kind === RequestEffectKind.SetTimer) {
      const { timer, epoch } = effect
      network.after(name, effect.afterMs, () => handle(requestId, { kind: RequestEventKind.TimerFired, timer, epoch }))
    }
  }

  function noteIncarnation (agent: string, incarnation: number): void {
    const before = seen.get(agent)
    seen.set(agent, incarnation)
    if (before === undefined || before === incarnation) return
    for (const requestId of machines.keys()) {
      handle(requestId, { kind: RequestEventKind.AgentLost, agent })
      handle(requestId, { kind: RequestEventKind.AgentReachable, agent })
    }
  }

  function heartbeat (): void {
    if (stopped) return
    for (const agent of agents.keys()) {
      const legs = [...machines.values()].flatMap((item) => item.machine.participants())
      const live = legs.filter((leg) => leg.agent === agent).map((leg) => leg.ref)
      network.send(name, agent, () => {
        const peer = agents.get(agent)
        if (peer === undefined) return
        peer.heartbeat(owner, live)
        network.send(agent, name, () => { if (!stopped) noteIncarnation(agent, peer.incarnation) })
      })
    }
    network.after(name, heartbeatMs, heartbeat)
  }

  function ask (agent: string, told: (outcome: Outcome) => void, run: (peer: Agent, reply: (outcome: Outcome) => void) => void): void {
    let answered = false
    const tell = (outcome: Outcome) => {
      if (!answered && !stopped) told(outcome)
      answered = true
    }
    network.send(name, agent, () => {
      const peer = agents.get(agent)
      if (peer !== undefined) run(peer, (outcome) => network.send(agent, name, () => tell(outcome)))
    })
    network.after(name, callTimeoutMs, () => tell(Outcome.Unknown))
  }

  heartbeat()
  return {
    begin (requestId, policy) {
      const spec = {
        requestId, caller: 'notaires', tierClass: TierClass.Paid, model: 'm', version: '1', prompt: 'a', promptTokens: 1, maxTokens: 8
      }
      const machine = createRequest(spec, ports, { policy, firstTokenMs: 5000, deadlineMs: 1500, stallTimeoutMs: 300, resumeTimeoutMs: 100 })
      const answer = { tokens: [], ends: 0, refused: undefined, broken: false }
      machines.set(requestId, { machine, answer })
      handle(requestId, { kind: RequestEventKind.Start })
      return answer
    },
    callerGone: (requestId) => handle(requestId, { kind: RequestEventKind.CallerDisconnected }),
    call: (agent, ticket, told) => ask(agent, told, (peer, reply) => peer.call(ticket, reply)),
    voidTicket: (agent, ticket, told) => ask(agent, told, (peer, reply) => reply(peer.voidTicket(ticket))),
    stop () { stopped = true }
  }
}
