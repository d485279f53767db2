/**
 * Recovery of a request whose backend server is lost, stalls or refuses.
 */
import { RefusalCode, Role } from '../types/mod.ts'
import { reservePolicies } from './_reserve_policies.ts'
import { sendCancel, cancelAttempt, countPromptTokens, enterPhase, failRequest, sendPrefill, sendReserve, setTimer } from './_state.ts'
import { RequestPhase, RequestTimer } from './_types.ts'
import type { RequestState } from './_state.ts'

/**
 * Returns whether the request may run again. Only a request that can still be refused consumes the retry budget; an answer
 * that has begun is always continued.
 */
function canRetry (state: RequestState, nowMs: number): boolean {
  return state.answer.nextOffset() > 0 || state.ports.consumeRetry(nowMs)
}

/** Cancels the attempt and starts the next one without the given agent; fails the request when no attempt or retry remains. */
export function retryElsewhere (state: RequestState, code: RefusalCode, agent: string | undefined, nowMs: number): void {
  cancelAttempt(state)
  if (agent !== undefined) state.excludedBackends.add(agent)
  state.answer.dropPendingBatches()
  if (state.attempt >= state.options.maxAttempts || !canRetry(state, nowMs)) {
    failRequest(state, code, 1000)
    return
  }
  beginNextAttempt(state, nowMs)
}

function beginNextAttempt (state: RequestState, nowMs: number): void {
  state.attempt += 1
  enterPhase(state, RequestPhase.Preparing, nowMs)
  reservePolicies[state.options.policy].begin(state, nowMs)
}

/**
 * Handles a stream without progress. Silence does not show that the engine has stopped, so the stream is left only when an attempt, a
 * retry and a backend server for it are left; else it is waited for, until the deadline.
 */
export function handleStalledStream (state: RequestState, agent: string, nowMs: number): void {
  if (!canMoveFrom(state, agent) || !canRetry(state, nowMs)) {
    setTimer(state, RequestTimer.Stall, state.stepTimeoutMs)
    return
  }
  cancelAttempt(state)
  state.excludedBackends.add(agent)
  state.answer.dropPendingBatches()
  beginNextAttempt(state, nowMs)
}

/** Tells whether an attempt and a decode backend server other than the given one are left. */
function canMoveFrom (state: RequestState, agent: string): boolean {
  if (state.attempt >= state.options.maxAttempts) return false
  return state.ports.chooseBackend(Role.Decode, countPromptTokens(state), [...state.excludedBackends, agent], undefined).ok
}

/** Handles a lost connection to an agent. */
export function handleAgentLost (state: RequestState, agent: string, nowMs: number): void {
  if (state.phase === RequestPhase.Streaming && state.decode?.agent === agent) {
    enterPhase(state, RequestPhase.Recovering, nowMs)
    setTimer(state, RequestTimer.Resume, state.options.resumeTimeoutMs)
    return
  }
  if (state.phase !== RequestPhase.Preparing) return
  if (state.decode?.agent === agent) replaceParticipant(state, Role.Decode, RefusalCode.Unreachable, 0, nowMs)
  else if (state.prefill?.agent === agent) replaceLostPrefill(state, nowMs)
}

/** Sends the prefill to another backend server. This consumes the retry budget, because the lost prefill may have run. */
function replaceLostPrefill (state: RequestState, nowMs: number): void {
  if (canRetry(state, nowMs)) replaceParticipant(state, Role.Prefill, RefusalCode.Unreachable, 0, nowMs)
  else failRequest(state, RefusalCode.Unreachable, 1000)
}

/**
 * Replaces a backend server that refused or was lost by another one within the same attempt. Nothing ran there, so this
 * consumes nothing of the retry budget (a lost prefill does so first); `maxReplacements` limits the number instead.
 */
export function replaceParticipant (state: RequestState, role: Role, code: RefusalCode, retryAfterMs: number, nowMs: number): void {
  const participant = role === Role.Decode ? state.decode : state.prefill
  if (participant === undefined) return
  state.excludedBackends.add(participant.agent)
  sendCancel(state, participant)
  if (role === Role.Decode) state.decode = undefined
  else state.prefill = undefined
  state.replacements += 1
  if (state.replacements > state.options.maxReplacements) {
    failRequest(state, code, retryAfterMs)
    return
  }
  enterPhase(state, RequestPhase.Preparing, nowMs)
  if (role === Role.Decode) sendReserve(state, nowMs)
  else sendPrefill(state, nowMs)
}
