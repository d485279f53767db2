/**
 * Runs the state machines of model requests: passes messages and timer events to them and performs their effects.
 */
import { createRequest, RequestEffectKind, RequestEventKind, RequestPhase } from '../core/request/mod.ts'
import { attemptKey } from '../core/types/mod.ts'
import { DecisionKind } from '../log/mod.ts'
import { countLatePrefill, createAttemptMetrics } from './_attempt_metrics.ts'
import type {
  AgentReply, RequestEffect, RequestEvent, RequestMachine, RequestOptions, RequestPorts, RequestSpec
} from '../core/request/mod.ts'
import type { Router } from '../core/routing/mod.ts'
import type { AttemptRef, Outcome, RefusalCode } from '../core/types/mod.ts'
import type { Subscription, Timer } from '../timer/mod.ts'
import type { Message } from '../wire/mod.ts'
import type { Decision } from '../log/mod.ts'
import type { Metrics } from '../metrics/mod.ts'
import type { AttemptMetrics } from './_attempt_metrics.ts'

/** Receives the tokens of one request and then, by one of the other methods, its end. */
export interface ResponseSink {
  /** Receives the next tokens. */
  onTokens (tokens: string[]): void
  /** Called at the regular end with the total number of tokens. */
  onFinish (tokens: number, reason: 'stop' | 'length'): void
  /** Called when the request is refused before its first token. */
  onRefused (code: RefusalCode, outcome: Outcome, retryAfterMs: number): void
  /** Called when the request fails after its first token. */
  onAbort (code: RefusalCode, outcome: Outcome): void
}

/** Configures the table of requests. */
export interface ModelRequestsOptions {
  timer: Timer
  metrics: Metrics
  router: Router
  send: (agent: string, msg: Message) => boolean
  isConnected: (agent: string) => boolean
  onDecision: (decision: Omit<Decision, 'revision'>) => void
}

/** Runs model requests. */
export interface ModelRequests {
  start (spec: RequestSpec, ports: RequestPorts, options: RequestOptions, tier: string, sink: ResponseSink): void
  /** Cancels a request whose caller disconnected; does nothing for a request that has ended. */
  cancel (requestId: string): void
  onReply (agent: string, msg: AgentReply): void
  /** Tells each request that an agent takes part in that the agent is disconnected, suspect or gone. */
  onAgentLost (agent: string): void
  /** Tells each request that an agent takes part in that the agent is connected or alive again. */
  onAgentReachable (agent: string): void
  /** Lists the attempts for which an agent may hold a reservation, a result or a stream. */
  listLiveAttempts (agent: string): AttemptRef[]
  /** After a pause of this process, treats every agent that takes part in a request as lost, and as reachable if it is connected. */
  revalidate (): void
  /** Returns the number of requests in flight. */
  count (): number
}

interface ActiveRequest {
  machine: RequestMachine
  spec: RequestSpec
  tier: string
  sink: ResponseSink
  attemptMetrics: AttemptMetrics
  timers: Set<Subscription>
  participants: Map<string, { agent: string, ref: AttemptRef }>
}

/**
 * Creates an empty table of model requests.
 */
export function createModelRequests (options: ModelRequestsOptions): ModelRequests {
  const { timer, metrics, router } = options
  const active = new Map<string, ActiveRequest>()
  /** Attempts by agent, so that heartbeats do not read every request. */
  const liveByAgent = new Map<string, Map<string, AttemptRef>>()

  function addParticipant (item: ActiveRequest, key: string, agent: string, ref: AttemptRef): void {
    item.participants.set(key, { agent, ref })
    const live = liveByAgent.get(agent) ?? new Map<string, AttemptRef>()
    live.set(attemptKey(ref), ref)
    liveByAgent.set(agent, live)
    router.recordStart(agent, item.spec.promptTokens)
  }

  function removeParticipant (item: ActiveRequest, key: string): void {
    const participant = item.participants.get(key)
    if (participant === undefined) return
    item.participants.delete(key)
    liveByAgent.get(participant.agent)?.delete(attemptKey(participant.ref))
    router.recordEnd(participant.agent, item.spec.promptTokens)
  }

  /** Updates the agents that take part in a request, and the router's count of its work at each. */
  function updateParticipants (item: ActiveRequest): void {
    const current = new Map(item.machine.participants().map((participant) => [
      `${participant.agent} ${attemptKey(participant.ref)}`,
      participant
    ]))
    for (const key of [...item.participants.keys()]) {
      if (!current.has(key)) removeParticipant(item, key)
    }
    for (const [key, participant] of current) {
      if (!item.participants.has(key)) addParticipant(item, key, participant.agent, participant.ref)
    }
  }

  type Performers = { [K in RequestEffectKind]: (item: ActiveRequest, effect: Extract<RequestEffect, { kind: K }>) => void }

  const performers: Performers = {
    [RequestEffectKind.Send]: (_item, effect) => { options.send(effect.agent, effect.msg) },
    [RequestEffectKind.WriteTokens]: (item, effect) => item.sink.onTokens(effect.tokens),
    [RequestEffectKind.Finish]: (item, effect) => item.sink.onFinish(effect.tokens, effect.reason),
    [RequestEffectKind.Refuse]: (item, effect) => {
      const { code, outcome, retryAfterMs } = effect
      logRefusal(item, code, outcome)
      item.sink.onRefused(code, outcome, retryAfterMs)
    },
    [RequestEffectKind.Abort]: (item, effect) => {
      logRefusal(item, effect.code, effect.outcome)
      item.sink.onAbort(effect.code, effect.outcome)
    },
    [RequestEffectKind.SetTimer]: (item, effect) => {
      const sub = timer.after(effect.afterMs, () => {
        item.timers.delete(sub)
        handleEvent(item, { kind: RequestEventKind.TimerFired, timer: effect.timer, epoch: effect.epoch })
      })
      item.timers.add(sub)
    },
    [RequestEffectKind.LogDecision]: (item, effect) => {
      options.onDecision({
        kind: effect.attempt === 1 ? DecisionKind.Routing : DecisionKind.Retry,
        request: item.spec.requestId,
        attempt: effect.attempt,
        caller: item.spec.caller,
        tier: item.tier,
        chosen: effect.choice.backend,
        runnersUp: effect.choice.runnersUp,
        reason: `${effect.role}: ${effect.reason}`
      })
    }
  }

  function logRefusal (item: ActiveRequest, code: RefusalCode, outcome: Outcome): void {
    options.onDecision({
      kind: DecisionKind.Refusal,
      request: item.spec.requestId,
      attempt: item.machine.progress().attempts,
      caller: item.spec.caller,
      tier: item.tier,
      runnersUp: [],
      reason: `${code}, outcome ${outcome}`
    })
  }

  function perform (item: ActiveRequest, effect: RequestEffect): void {
    const performer = performers[effect.kind] as (item: ActiveRequest, effect: RequestEffect) => void
    performer(item, effect)
  }

  function removeRequest (item: ActiveRequest): void {
    for (const sub of item.timers) sub.cancel()
    item.timers.clear()
    active.delete(item.spec.requestId)
  }

  function handleEvent (item: ActiveRequest, event: RequestEvent): void {
    const effects = item.machine.handleEvent(event, timer.now())
    item.attemptMetrics.recordEvent(event, effects, item.machine.progress().attempts)
    for (const effect of effects) perform(item, effect)
    updateParticipants(item)
    if (item.machine.phase() === RequestPhase.Ended) removeRequest(item)
  }

  function listRequestsAt (agent: string): ActiveRequest[] {
    const ids = new Set([...liveByAgent.get(agent)?.values() ?? []].map((ref) => ref.requestId))
    return [...ids].map((id) => active.get(id)).filter((item) => item !== undefined)
  }

  return {
    start (spec, ports, requestOptions, tier, sink) {
      const machine = createRequest(spec, ports, requestOptions)
      const attemptMetrics = createAttemptMetrics(metrics, tier)
      const item: ActiveRequest = { machine, spec, tier, sink, attemptMetrics, timers: new Set(), participants: new Map() }
      active.set(spec.requestId, item)
      handleEvent(item, { kind: RequestEventKind.Start })
    },
    cancel (requestId) {
      const item = active.get(requestId)
      if (item !== undefined) handleEvent(item, { kind: RequestEventKind.CallerDisconnected })
    },
    onReply (agent, msg) {
      const item = active.get(msg.requestId)
      if (item === undefined) countLatePrefill(metrics, msg)
      else handleEvent(item, { kind: RequestEventKind.Reply, agent, msg })
    },
    onAgentLost (agent) {
      for (const item of listRequestsAt(agent)) handleEvent(item, { kind: RequestEventKind.AgentLost, agent })
    },
    onAgentReachable (agent) {
      for (const item of listRequestsAt(agent)) handleEvent(item, { kind: RequestEventKind.AgentReachable, agent })
    },
    listLiveAttempts: (agent) => [...liveByAgent.get(agent)?.values() ?? []],
    revalidate () {
      for (const item of [...active.values()]) {
        for (const { agent } of item.machine.participants()) {
          handleEvent(item, { kind: RequestEventKind.AgentLost, agent })
          if (options.isConnected(agent)) handleEvent(item, { kind: RequestEventKind.AgentReachable, agent })
        }
      }
    },
    count: () => active.size
  }
}
