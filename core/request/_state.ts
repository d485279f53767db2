/**
 * The state of a request, and the functions that several of its event handlers call.
 */
import { MessageKind } from '../../wire/mod.ts'
import { Outcome, RefusalCode, Role } from '../types/mod.ts'
import { RequestEffectKind, RequestPhase, RequestTimer } from './_types.ts'
import type { RequestEffect, RequestOptions, RequestPorts, RequestSpec } from './_types.ts'
import type { Prefilled } from '../../wire/mod.ts'
import type { TokenAssembler } from '../stream/mod.ts'
import type { AttemptRef } from '../types/mod.ts'

/** An agent that takes part in the current attempt. */
export interface Participant {
  agent: string
  /** True when the agent has confirmed the reservation or has finished the prefill. */
  isReady: boolean
}

/** Options of a request with every default filled in. */
export type ResolvedOptions = Required<RequestOptions>

/** State of a request. */
export interface RequestState {
  spec: RequestSpec
  options: ResolvedOptions
  ports: RequestPorts
  phase: RequestPhase
  /** Number of the current attempt, counted from 1; 0 before the start. */
  attempt: number
  /** Incremented with every step, so that timers of earlier steps are ignored. */
  epoch: number
  /** The prefill agent of the current attempt. */
  prefill: Participant | undefined
  /** The decode agent of the current attempt. */
  decode: Participant | undefined
  /** Result of the prefill of the current attempt. */
  prefilled: Prefilled | undefined
  /** Time in milliseconds at which the decode message was sent; undefined before that and after the first token. */
  handoffStartMs: number | undefined
  /** Backend servers that failed or refused in this request. */
  excludedBackends: Set<string>
  /** Tokens written to the caller, and batches that arrived before the tokens in front of them. */
  answer: TokenAssembler
  /** Number of backend servers asked in place of ones that refused or were lost. */
  replacements: number
  /** Number of prefills that were sent and not refused; each may have run. */
  sentPrefills: number
  /** Time in milliseconds without progress after which the current step has stalled. */
  stepTimeoutMs: number
  /** Time in milliseconds at which the request started. */
  startedMs: number
  /** Time in milliseconds at which the current step last made progress. */
  lastProgressMs: number
  /** Effects of the event that is being handled. */
  effects: RequestEffect[]
}

/** Returns the identity of the current attempt. */
export function getAttemptRef (state: RequestState): AttemptRef {
  return { requestId: state.spec.requestId, attempt: state.attempt }
}

/** Sets a timer of the current step that fires after `afterMs` milliseconds. */
export function setTimer (state: RequestState, timer: RequestTimer, afterMs: number): void {
  state.effects.push({ kind: RequestEffectKind.SetTimer, timer, epoch: state.epoch, afterMs: Math.max(0, afterMs) })
}

/** Begins a new step in the given phase and starts its stall timer. */
export function enterPhase (state: RequestState, phase: RequestPhase, nowMs: number): void {
  state.phase = phase
  state.epoch += 1
  state.lastProgressMs = nowMs
  state.stepTimeoutMs = state.options.stallTimeoutMs
  setTimer(state, RequestTimer.Stall, state.stepTimeoutMs)
}

/** Extends the timeout of the current step to its expected duration plus the stall timeout. */
function extendStepTimeout (state: RequestState, expectedMs: number): void {
  state.stepTimeoutMs = Math.max(state.stepTimeoutMs, state.options.stallTimeoutMs + expectedMs)
}

/** Asks an agent to cancel the current attempt. */
export function sendCancel (state: RequestState, participant: Participant | undefined): void {
  if (participant === undefined) return
  state.effects.push({ kind: RequestEffectKind.Send, agent: participant.agent, msg: { kind: MessageKind.Cancel, ...getAttemptRef(state) } })
}

/** Cancels the current attempt at all of its agents. */
export function cancelAttempt (state: RequestState): void {
  sendCancel(state, state.prefill)
  sendCancel(state, state.decode)
  state.prefill = undefined
  state.decode = undefined
  state.prefilled = undefined
}

/** Ends the request without a complete answer: refuses it, or aborts the answer when tokens were already written. */
export function failRequest (state: RequestState, code: RefusalCode, retryAfterMs: number): void {
  cancelAttempt(state)
  const outcome = state.sentPrefills > 0 ? Outcome.Unknown : Outcome.NotRun
  if (state.answer.nextOffset() > 0) {
    state.effects.push({ kind: RequestEffectKind.Abort, code, outcome: Outcome.Unknown })
  } else {
    state.effects.push({ kind: RequestEffectKind.Refuse, code, outcome, retryAfterMs })
  }
  state.phase = RequestPhase.Ended
}

/** Builds the prompt of the current attempt: the caller's prompt followed by the tokens already written. */
function buildPrompt (state: RequestState): string {
  return state.spec.prompt + state.answer.getTokensFrom(0).join('')
}

/** Counts the tokens of the prompt of the current attempt. */
export function countPromptTokens (state: RequestState): number {
  return state.spec.promptTokens + state.answer.nextOffset()
}

/** Chooses a backend server for a role and logs the choice. When there is none, ends the request and returns undefined. */
function chooseParticipant (state: RequestState, role: Role, near: string | undefined): Participant | undefined {
  const choice = state.ports.chooseBackend(role, countPromptTokens(state), [...state.excludedBackends], near)
  if (choice.err) {
    // When backend servers refused or failed before, servers exist; the request found no capacity rather than no server.
    failRequest(state, state.excludedBackends.size > 0 ? RefusalCode.NoCapacity : choice.val, 1000)
    return undefined
  }
  const reason = state.attempt === 1 ? 'first attempt' : `attempt ${state.attempt}`
  state.effects.push({ kind: RequestEffectKind.LogDecision, role, attempt: state.attempt, choice: choice.val, reason })
  return { agent: choice.val.backend, isReady: false }
}

/** Returns the milliseconds remaining until the first-token target; after the first token, the stall timeout. */
export function getRemainingBudgetMs (state: RequestState, nowMs: number): number {
  if (state.answer.nextOffset() > 0) return state.options.stallTimeoutMs
  return Math.max(0, state.startedMs + state.options.firstTokenMs - nowMs)
}

/** Counts the tokens that the attempt needs at most: its prompt and the rest of the answer. */
export function countTotalTokens (state: RequestState): number {
  return countPromptTokens(state) + state.spec.maxTokens - state.answer.nextOffset()
}

/** Returns the milliseconds that a reservation may wait so that a prefill after it still meets the first-token target. */
function getMaxReservationWaitMs (state: RequestState, nowMs: number): number {
  const remainingMs = getRemainingBudgetMs(state, nowMs)
  const prefillMs = state.prefill === undefined ? state.ports.estimatePrefillMs(undefined, countPromptTokens(state)) : 0
  return Math.max(0, remainingMs - prefillMs - state.ports.estimateHandoffMs())
}

/** Estimates by how many milliseconds a request that starts now would miss the first-token target; 0 when it can meet it. */
export function estimateLatenessMs (state: RequestState): number {
  const neededMs = state.ports.estimatePrefillMs(undefined, countPromptTokens(state)) + state.ports.estimateHandoffMs()
  return Math.max(0, neededMs - state.options.firstTokenMs)
}

/** Asks a decode agent to reserve a seat and memory. Returns false when no backend server was found and the request ended. */
export function sendReserve (state: RequestState, nowMs: number): boolean {
  const participant = chooseParticipant(state, Role.Decode, state.prefill?.agent)
  if (participant === undefined) return false
  state.decode = participant
  const { caller, tierClass, model, version } = state.spec
  const tokens = countTotalTokens(state)
  const waitMs = getMaxReservationWaitMs(state, nowMs)
  extendStepTimeout(state, waitMs)
  const msg = { kind: MessageKind.Reserve as const, ...getAttemptRef(state), pieces: 0, tokens, tierClass, caller, model, version, waitMs }
  state.effects.push({ kind: RequestEffectKind.Send, agent: participant.agent, msg })
  return true
}

/** Asks a prefill agent to run the prompt. Returns false when no backend server was found and the request ended. */
export function sendPrefill (state: RequestState, nowMs: number): boolean {
  const participant = chooseParticipant(state, Role.Prefill, state.decode?.agent)
  if (participant === undefined) return false
  state.prefill = participant
  state.sentPrefills += 1
  extendStepTimeout(state, 2 * state.ports.estimatePrefillMs(participant.agent, countPromptTokens(state)))
  const { caller, tierClass, model, version } = state.spec
  const msg = {
    kind: MessageKind.Prefill as const,
    ...getAttemptRef(state),
    model,
    version,
    prompt: buildPrompt(state),
    tierClass,
    caller,
    budgetMs: getRemainingBudgetMs(state, nowMs)
  }
  state.effects.push({ kind: RequestEffectKind.Send, agent: participant.agent, msg })
  return true
}

/** Asks the decode agent to fetch the KV cache and generate, once the reservation and the prefill are both done. */
export function sendDecodeWhenReady (state: RequestState, nowMs: number): void {
  const { decode, prefilled } = state
  if (decode === undefined || !decode.isReady || prefilled === undefined) return
  const { model, version, maxTokens, tierClass } = state.spec
  const { handle, kvAddress, promptTokens } = prefilled
  const startOffset = state.answer.nextOffset()
  state.effects.push({
    kind: RequestEffectKind.Send,
    agent: decode.agent,
    msg: {
      kind: MessageKind.Decode, ...getAttemptRef(state), model, version, handle, kvAddress, promptTokens, maxTokens, startOffset, tierClass
    }
  })
  state.handoffStartMs = nowMs
  enterPhase(state, RequestPhase.Streaming, nowMs)
}
