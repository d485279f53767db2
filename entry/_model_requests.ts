/**
 * Runs the machines of model requests: carries out their effects and feeds them messages and timers.
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

/** Receives what a request produces. */
export interface ResponseSink {
  onTokens (tokens: string[]): void
  onFinish (tokens: number, reason: 'stop' | 'length'): void
  onRefused (code: RefusalCode, outcome: Outcome, retryAfterMs: number): void
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
  cancel (requestId: string): void
  onReply (agent: string, msg: AgentReply): void
  onAgentLost (agent: string): void
  onAgentReachable (agent: string): void
  /** Attempts that an agent may hold something for. */
  listLiveAttempts (agent: string): AttemptRef[]
  /** Checks every request again after a pause of this process. */
  revalidate (): void
  count (): number
}

interface Active {
  machine: RequestMachine
  spec: RequestSpec
  tier: string
  sink: ResponseSink
  account: AttemptMetrics
  timers: Set<Subscription>
  legs: Map<string, { agent: string, ref: AttemptRef }>
}

/**
 * Creates the table of model requests.
 */
export function createModelRequests (options: ModelRequestsOptions): ModelRequests {
  const { timer, metrics, router } = options
  const active = new Map<string, Active>()
  /** Attempts by agent, so that heartbeats do not read every request. */
  const liveByAgent = new Map<string, Map<string, AttemptRef>>()

  function addLeg (item: Active, key: string, agent: string, ref: AttemptRef): void {
    item.legs.set(key, { agent, ref })
    const live = liveByAgent.get(agent) ?? new Map<string, AttemptRef>()
    live.set(attemptKey(ref), ref)
    liveByAgent.set(agent, live)
    router.recordStart(agent, item.spec.promptTokens)
  }

  function removeLeg (item: Active, key: string): void {
    const leg = item.legs.get(key)
    if (leg === undefined) return
    item.legs.delete(key)
    liveByAgent.get(leg.agent)?.delete(attemptKey(leg.ref))
    router.recordEnd(leg.agent, item.spec.promptTokens)
  }

  /** Follows which agents the request has a part at. */
  function trackLegs (item: Active): void {
    const now = new Map(item.machine.participants().map((leg) => [`${leg.agent} ${attemptKey(leg.ref)}`, leg]))
    for (const key of [...item.legs.keys()]) {
      if (!now.has(key)) removeLeg(item, key)
    }
    for (const [key, leg] of now) {
      if (!item.legs.has(key)) addLeg(item, key, leg.agent, leg.ref)
    }
  }

  type Performers = { [K in RequestEffectKind]: (item: Active, effect: Extract<RequestEffect, { kind: K }>) => void }

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
        feed(item, { kind: RequestEventKind.TimerFired, timer: effect.timer, epoch: effect.epoch })
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

  function logRefusal (item: Active, code: RefusalCode, outcome: Outcome): void {
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

  function perform (item: Active, effect: RequestEffect): void {
    const performer = performers[effect.kind] as (item: Active, effect: RequestEffect) => void
    performer(item, effect)
  }

  function finish (item: Active): void {
    for (const sub of item.timers) sub.cancel()
    item.timers.clear()
    active.delete(item.spec.requestId)
  }

  function feed (item: Active, event: RequestEvent): void {
    const effects = item.machine.handleEvent(event, timer.now())
    item.account.recordEvent(event, effects, item.machine.progress().attempts)
    for (const effect of effects) perform(item, effect)
    trackLegs(item)
    if (item.machine.phase() === RequestPhase.Ended) finish(item)
  }

  function at (agent: string): Active[] {
    const ids = new Set([...liveByAgent.get(agent)?.values() ?? []].map((ref) => ref.requestId))
    return [...ids].map((id) => active.get(id)).filter((item) => item !== undefined)
  }

  return {
    start (spec, ports, requestOptions, tier, sink) {
      const machine = createRequest(spec, ports, requestOptions)
      const account = createAttemptMetrics(metrics, tier)
      const item: Active = { machine, spec, tier, sink, account, timers: new Set(), legs: new Map() }
      active.set(spec.requestId, item)
      feed(item, { kind: RequestEventKind.Start })
    },
    cancel (requestId) {
      const item = active.get(requestId)
      if (item !== undefined) feed(item, { kind: RequestEventKind.CallerDisconnected })
    },
    onReply (agent, msg) {
      const item = active.get(msg.requestId)
      if (item === undefined) countLatePrefill(metrics, msg)
      else feed(item, { kind: RequestEventKind.Reply, agent, msg })
    },
    onAgentLost (agent) {
      for (const item of at(agent)) feed(item, { kind: RequestEventKind.AgentLost, agent })
    },
    onAgentReachable (agent) {
      for (const item of at(agent)) feed(item, { kind: RequestEventKind.AgentReachable, agent })
    },
    listLiveAttempts: (agent) => [...liveByAgent.get(agent)?.values() ?? []],
    revalidate () {
      for (const item of [...active.values()]) {
        for (const { agent } of item.machine.participants()) {
          feed(item, { kind: RequestEventKind.AgentLost, agent })
          if (options.isConnected(agent)) feed(item, { kind: RequestEventKind.AgentReachable, agent })
        }
      }
    },
    count: () => active.size
  }
}
