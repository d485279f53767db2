/**
 * A simulated entry that runs real request machines and records what its callers receive.
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

/** What the caller of a request received. */
export interface CallerAnswer {
  tokens: string[]
  /** Number of times that the answer was completed. */
  endCount: number
  /** Outcome with which the request was refused. */
  refusalOutcome: Outcome | undefined
  /** True when the answer was ended before it was complete. */
  isAborted: boolean
}

/** One incarnation of an entry. */
export interface Entry {
  /** Starts a request and returns the answer, which is updated as it arrives. */
  startRequest (requestId: string, policy: ReservePolicy): CallerAnswer
  /** Closes the connection to the caller of a request. */
  disconnectCaller (requestId: string): void
  /** Sends a call under a ticket; reports `Unknown` when no answer arrives in time. */
  call (agent: string, ticket: string, onOutcome: (outcome: Outcome) => void): void
  /** Voids a ticket; reports `Unknown` when no answer arrives in time. */
  voidTicket (agent: string, ticket: string, onOutcome: (outcome: Outcome) => void): void
  /** Ends this incarnation, as a crash does. */
  stop (): void
}

/** Options of an entry. */
export interface EntryOptions {
  name: string
  incarnation: number
  network: Network
  random: Random
  now: () => number
  /** The running incarnation of each agent, by name. */
  agents: Map<string, Agent>
}

/** Creates one incarnation of an entry. */
export function createEntry (options: EntryOptions): Entry {
  const { name, network, now, random, agents } = options
  const owner = `${name}#${options.incarnation}`
  const machines = new Map<string, { machine: RequestMachine, answer: CallerAnswer }>()
  const agentIncarnations = new Map<string, number>()
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

  function handleEvent (requestId: string, event: RequestEvent): void {
    const item = machines.get(requestId)
    if (stopped || item === undefined) return
    for (const effect of item.machine.handleEvent(event, now())) performEffect(requestId, item.answer, effect)
  }

  function sendToAgent (requestId: string, effect: Extract<RequestEffect, { kind: RequestEffectKind.Send }>): void {
    const { agent, msg } = effect
    network.send(name, agent, () => agents.get(agent)?.handleMessage(owner, msg, (reply) => {
      network.send(agent, name, () => handleEvent(requestId, { kind: RequestEventKind.Reply, agent, msg: reply }))
    }))
  }

  function performEffect (requestId: string, answer: CallerAnswer, effect: RequestEffect): void {
    if (effect.kind === RequestEffectKind.Send) sendToAgent(requestId, effect)
    if (effect.kind === RequestEffectKind.WriteTokens) answer.tokens.push(...effect.tokens)
    if (effect.kind === RequestEffectKind.Finish) answer.endCount++
    if (effect.kind === RequestEffectKind.Refuse) answer.refusalOutcome = effect.outcome
    if (effect.kind === RequestEffectKind.Abort) answer.isAborted = true
    if (effect.kind === RequestEffectKind.SetTimer) {
      const { timer, epoch } = effect
      network.runAfter(name, effect.afterMs, () => handleEvent(requestId, { kind: RequestEventKind.TimerFired, timer, epoch }))
    }
  }

  function recordIncarnation (agent: string, incarnation: number): void {
    const before = agentIncarnations.get(agent)
    agentIncarnations.set(agent, incarnation)
    if (before === undefined || before === incarnation) return
    for (const requestId of machines.keys()) {
      handleEvent(requestId, { kind: RequestEventKind.AgentLost, agent })
      handleEvent(requestId, { kind: RequestEventKind.AgentReachable, agent })
    }
  }

  function sendHeartbeats (): void {
    if (stopped) return
    for (const agent of agents.keys()) {
      const participants = [...machines.values()].flatMap((item) => item.machine.participants())
      const live = participants.filter((item) => item.agent === agent).map((item) => item.ref)
      network.send(name, agent, () => {
        const peer = agents.get(agent)
        if (peer === undefined) return
        peer.handleHeartbeat(owner, live)
        network.send(agent, name, () => { if (!stopped) recordIncarnation(agent, peer.incarnation) })
      })
    }
    network.runAfter(name, heartbeatMs, sendHeartbeats)
  }

  /** Runs a call at an agent and passes on its outcome, at most once; `Unknown` when no reply arrives in time. */
  function callAgent (
    agent: string, onOutcome: (outcome: Outcome) => void, run: (peer: Agent, reply: (outcome: Outcome) => void) => void
  ): void {
    let isDone = false
    const report = (outcome: Outcome) => {
      if (!isDone && !stopped) onOutcome(outcome)
      isDone = true
    }
    network.send(name, agent, () => {
      const peer = agents.get(agent)
      if (peer !== undefined) run(peer, (outcome) => network.send(agent, name, () => report(outcome)))
    })
    network.runAfter(name, callTimeoutMs, () => report(Outcome.Unknown))
  }

  sendHeartbeats()
  return {
    startRequest (requestId, policy) {
      const spec = {
        requestId, caller: 'notaires', tierClass: TierClass.Paid, model: 'm', version: '1', prompt: 'a', promptTokens: 1, maxTokens: 8
      }
      const machine = createRequest(spec, ports, {
        policy, firstTokenMs: 5000, deadlineMs: 1500, stallTimeoutMs: 300, resumeTimeoutMs: 100
      })
      const answer = { tokens: [], endCount: 0, refusalOutcome: undefined, isAborted: false }
      machines.set(requestId, { machine, answer })
      handleEvent(requestId, { kind: RequestEventKind.Start })
      return answer
    },
    disconnectCaller: (requestId) => handleEvent(requestId, { kind: RequestEventKind.CallerDisconnected }),
    call: (agent, ticket, onOutcome) => callAgent(agent, onOutcome, (peer, reply) => peer.call(ticket, reply)),
    voidTicket: (agent, ticket, onOutcome) => callAgent(agent, onOutcome, (peer, reply) => reply(peer.voidTicket(ticket))),
    stop () { stopped = true }
  }
}
