/**
 * The state machine for one model request.
 */
import { MessageKind } from '../../wire/mod.ts'
import { handleReply } from './_replies.ts'
import { reservePolicies } from './_reserve_policies.ts'
import { cancelAttempt, enterPhase, failRequest, estimateLatenessMs, getAttemptRef, sendReserve, setTimer } from './_state.ts'
import { retryElsewhere, handleAgentLost, handleStalledStream } from './_recovery.ts'
import { createTokenAssembler } from '../stream/mod.ts'
import { RefusalCode } from '../types/mod.ts'
import { RequestEffectKind, RequestEventKind, RequestPhase, RequestTimer } from './_types.ts'
import type { RequestState } from './_state.ts'
import type { RequestEvent, RequestMachine, RequestOptions, RequestPorts, RequestSpec } from './_types.ts'

const defaultDeadlineMs = 120_000
const defaultStallTimeoutMs = 1500
const defaultResumeTimeoutMs = 300
const defaultReserveLeadMs = 40
const defaultMaxAttempts = 4
const defaultMaxReplacements = 4

type Handler<K extends RequestEventKind> = (state: RequestState, event: Extract<RequestEvent, { kind: K }>, nowMs: number) => void

const handlers: { [K in RequestEventKind]: Handler<K> } = {
  [RequestEventKind.Start]: (state, _event, nowMs) => {
    state.startedMs = nowMs
    state.attempt = 1
    setTimer(state, RequestTimer.Deadline, state.options.deadlineMs)
    enterPhase(state, RequestPhase.Preparing, nowMs)
    const latenessMs = estimateLatenessMs(state)
    if (latenessMs > 0) failRequest(state, RefusalCode.TargetMissed, latenessMs)
    else reservePolicies[state.options.policy].begin(state, nowMs)
  },
  [RequestEventKind.Reply]: handleReply,
  [RequestEventKind.AgentLost]: (state, event, nowMs) => handleAgentLost(state, event.agent, nowMs),
  [RequestEventKind.AgentReachable]: (state, event, nowMs) => {
    if (state.phase !== RequestPhase.Recovering || state.decode?.agent !== event.agent) return
    const offset = state.answer.nextOffset()
    state.effects.push({ kind: RequestEffectKind.Send, agent: event.agent, msg: { kind: MessageKind.Resume, ...getAttemptRef(state), offset } })
    enterPhase(state, RequestPhase.Streaming, nowMs)
  },
  [RequestEventKind.CallerDisconnected]: (state) => {
    cancelAttempt(state)
    state.phase = RequestPhase.Ended
  },
  [RequestEventKind.TimerFired]: (state, event, nowMs) => {
    const isStale = event.timer !== RequestTimer.Deadline && event.epoch !== state.epoch
    if (!isStale) timerHandlers[event.timer](state, nowMs)
  }
}

const timerHandlers: { [T in RequestTimer]: (state: RequestState, nowMs: number) => void } = {
  [RequestTimer.ReserveDecode]: (state, nowMs) => {
    if (state.phase === RequestPhase.Preparing && state.decode === undefined) sendReserve(state, nowMs)
  },
  [RequestTimer.Stall]: (state, nowMs) => {
    const idleMs = nowMs - state.lastProgressMs
    if (idleMs < state.stepTimeoutMs) setTimer(state, RequestTimer.Stall, state.stepTimeoutMs - idleMs)
    else if (state.phase === RequestPhase.Streaming && state.decode !== undefined) handleStalledStream(state, state.decode.agent, nowMs)
    else retryElsewhere(state, RefusalCode.Unreachable, getAwaitedAgent(state), nowMs)
  },
  [RequestTimer.Resume]: (state, nowMs) => {
    retryElsewhere(state, RefusalCode.Unreachable, state.decode?.agent, nowMs)
  },
  [RequestTimer.Deadline]: (state) => failRequest(state, RefusalCode.DeadlineExceeded, 0)
}

/** Returns the agent that the preparation of the attempt waits for. */
function getAwaitedAgent (state: RequestState): string | undefined {
  if (state.prefill !== undefined && !state.prefill.isReady) return state.prefill.agent
  return state.decode?.agent
}

/**
 * Creates the state machine for one model request.
 *
 * The machine reserves at a decode agent, runs the prefill, starts the decode, and writes each token once and in order.
 * When a backend server is lost, it starts a new attempt whose prompt contains the tokens written so far.
 *
 * @param spec the request as the caller sent it; lengths in tokens
 * @param ports choice of backend servers, estimates and retry budget of the entry
 * @param options policy, targets and timeouts in milliseconds
 * @returns the machine, which waits for the event `Start`
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
 *   chooseBackend: () => Ok({ backend: 'd1', runnersUp: [] }),
 *   consumeRetry: () => true,
 *   estimatePrefillMs: () => 10,
 *   estimateHandoffMs: () => 0,
 *   recordHandoffMs: () => {},
 *   estimateReservationWaitMs: () => 0
 * }
 * const request = createRequest(spec, ports, { policy: ReservePolicy.ReserveFirst, firstTokenMs: 1200 })
 * console.assert(request.handleEvent({ kind: RequestEventKind.Start }, 0).length > 0)
 * ```
 */
export function createRequest (spec: RequestSpec, ports: RequestPorts, options: RequestOptions): RequestMachine {
  const state: RequestState = {
    spec,
    ports,
    options: {
      deadlineMs: defaultDeadlineMs,
      stallTimeoutMs: defaultStallTimeoutMs,
      resumeTimeoutMs: defaultResumeTimeoutMs,
      reserveLeadMs: defaultReserveLeadMs,
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
    handoffStartMs: undefined,
    excludedBackends: new Set(),
    answer: createTokenAssembler(),
    replacements: 0,
    sentPrefills: 0,
    stepTimeoutMs: 0,
    startedMs: 0,
    lastProgressMs: 0,
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
      const participants = [state.prefill, state.decode].filter((participant) => participant !== undefined)
      return participants.map((participant) => ({ agent: participant.agent, ref: getAttemptRef(state) }))
    },
    progress: () => ({ attempts: state.attempt, tokens: state.answer.nextOffset() })
  }
}
