/**
 * The factory of the request machine.
 */
import { MessageKind } from '../../wire/mod.ts'
import { onReply } from './_replies.ts'
import { reservePolicies } from './_reserve_policies.ts'
import { dropLegs, enter, fail, lateByMs, ref, reserve, wake } from './_state.ts'
import { abandon, lose } from './_recovery.ts'
import { createTokenAssembler } from '../stream/mod.ts'
import { RefusalCode } from '../types/mod.ts'
import { RequestEffectKind, RequestEventKind, RequestPhase, RequestTimer } from './_types.ts'
import type { State } from './_state.ts'
import type { RequestEvent, RequestMachine, RequestOptions, RequestPorts, RequestSpec } from './_types.ts'

const defaultDeadlineMs = 120_000
const defaultStallMs = 1500
const defaultResumeMs = 300
const defaultBindLeadMs = 40
const defaultMaxAttempts = 4
const defaultMaxReplacements = 4

type Handler<K extends RequestEventKind> = (state: State, event: Extract<RequestEvent, { kind: K }>, nowMs: number) => void

const handlers: { [K in RequestEventKind]: Handler<K> } = {
  [RequestEventKind.Start]: (state, _event, nowMs) => {
    state.startedMs = nowMs
    state.attempt = 1
    wake(state, RequestTimer.Deadline, state.options.deadlineMs)
    enter(state, RequestPhase.Preparing, nowMs)
    const lateMs = lateByMs(state)
    if (lateMs > 0) fail(state, RefusalCode.TargetMissed, lateMs)
    else reservePolicies[state.options.policy].begin(state, nowMs)
  },
  [RequestEventKind.Reply]: onReply,
  [RequestEventKind.AgentLost]: (state, event, nowMs) => lose(state, event.agent, nowMs),
  [RequestEventKind.AgentReachable]: (state, event, nowMs) => {
    if (state.phase !== RequestPhase.Recovering || state.decode?.agent !== event.agent) return
    const offset = state.answer.nextOffset()
    state.effects.push({ kind: RequestEffectKind.Send, agent: event.agent, msg: { kind: MessageKind.Resume, ...ref(state), offset } })
    enter(state, RequestPhase.Streaming, nowMs)
  },
  [RequestEventKind.CallerDisconnected]: (state) => {
    dropLegs(state)
    state.phase = RequestPhase.Ended
  },
  [RequestEventKind.TimerFired]: (state, event, nowMs) => {
    const stale = event.timer !== RequestTimer.Deadline && event.epoch !== state.epoch
    if (!stale) wakers[event.timer](state, nowMs)
  }
}

const wakers: { [T in RequestTimer]: (state: State, nowMs: number) => void } = {
  [RequestTimer.ReserveDecode]: (state, nowMs) => {
    if (state.phase === RequestPhase.Preparing && state.decode === undefined) reserve(state, nowMs)
  },
  [RequestTimer.Stall]: (state, nowMs) => {
    const idleMs = nowMs - state.progressMs
    if (idleMs < state.patienceMs) wake(state, RequestTimer.Stall, state.patienceMs - idleMs)
    else abandon(state, RefusalCode.Unreachable, stalledAgent(state), nowMs)
  },
  [RequestTimer.Resume]: (state, nowMs) => {
    abandon(state, RefusalCode.Unreachable, state.decode?.agent, nowMs)
  },
  [RequestTimer.Deadline]: (state) => fail(state, RefusalCode.DeadlineExceeded, 0)
}

/** Names the agent that the current step waits for. */
function stalledAgent (state: State): string | undefined {
  if (state.phase === RequestPhase.Streaming) return state.decode?.agent
  if (state.prefill !== undefined && !state.prefill.ready) return state.prefill.agent
  return state.decode?.agent
}

/**
 * Creates the machine for one model request.
 *
 * The machine reserves at a decode agent, runs the prefill, starts the decode, writes each token once and in order, and
 * starts a new attempt with the prompt and the tokens written so far when a backend server is lost.
 *
 * @param spec what the caller asked for; lengths in tokens
 * @param ports choices and budgets of the parts around the request
 * @param options policy, targets and timeouts in milliseconds
 * @returns the machine; it starts with the event `Start`
 *
 * @example
 * ```ts
 * import { createRequest, RequestEventKind } from 'briarloom/core/request'
 * import { ReservePolicy } from 'briarloom/core/records'
 * import { Ok } from 'briarloom/core/results'
 * import { TierClass } from 'briarloom/core/types'
 *
 * const spec = {
 *   requestId: 'r1', caller: 'notaires', tierClass: TierClass.Paid, model: 'm', version: '1',
 *   prompt: 'a b', promptTokens: 2, maxTokens: 8
 * }
 * const ports = {
 *   choose: () => Ok({ backend: 'd1', runnersUp: [] }), takeRetry: () => true, estimatePrefillMs: () => 10
 * }
 * const request = createRequest(spec, ports, { policy: ReservePolicy.ReserveFirst, firstTokenMs: 1200 })
 * console.assert(request.handle({ kind: RequestEventKind.Start }, 0).length > 0)
 * ```
 */
export function createRequest (spec: RequestSpec, ports: RequestPorts, options: RequestOptions): RequestMachine {
  const state: State = {
    spec,
    ports,
    options: {
      deadlineMs: defaultDeadlineMs,
      stallTimeoutMs: defaultStallMs,
      resumeTimeoutMs: defaultResumeMs,
      reserveLeadMs: defaultBindLeadMs,
      maxAttempts: defaultMaxAttempts,
      maxReplacements: defaultMaxReplacements,
      ...options
    },
    phase: RequestPhase.Waiting,
    attempt: 0,
    epoch: 0,
    prefill: undefined,
    decode: undefined,
    prefilled: undefined,
    handoffMs: undefined,
    exclude: new Set(),
    answer: createTokenAssembler(),
    replacements: 0,
    sentPrefills: 0,
    patienceMs: 0,
    startedMs: 0,
    progressMs: 0,
    effects: []
  }

  return {
    handleEvent (event, nowMs) {
      if (state.phase === RequestPhase.Ended) return []
      const handler = handlers[event.kind] as Handler<typeof event.kind>
      handler(state, event as never, nowMs)
      const effects = state.effects
      state.effects = []
      return effects
    },
    phase: () => state.phase,
    participants () {
      const legs = [state.prefill, state.decode].filter((leg) => leg !== undefined)
      return legs.map((leg) => ({ agent: leg.agent, ref: ref(state) }))
    },
    progress: () => ({ attempts: state.attempt, tokens: state.answer.nextOffset() })
  }
}
