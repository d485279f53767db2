/**
 * The state of a request and the steps that all of its handlers share.
 */
import { MessageKind } from '../../wire/mod.ts'
import { Outcome, RefusalCode, Role } from '../types/mod.ts'
import { RequestEffectKind, RequestPhase, RequestTimer } from './_types.ts'
import type { RequestEffect, RequestOptions, RequestPorts, RequestSpec } from './_types.ts'
import type { Prefilled } from '../../wire/mod.ts'
import type { TokenAssembler } from '../stream/mod.ts'
import type { AttemptRef } from '../types/mod.ts'

/** One backend server's part in the current attempt. */
export interface Leg {
  agent: string
  /** True when the agent confirmed: a reservation, or a finished prefill. */
  ready: boolean
}

/** The settings of a request with every default filled in. */
export type FullOptions = Required<RequestOptions>

/** Everything that a request remembers. */
export interface State {
  spec: RequestSpec
  options: FullOptions
  ports: RequestPorts
  phase: RequestPhase
  attempt: number
  /** Grows with every step, so that timers of earlier steps are ignored. */
  epoch: number
  prefill: Leg | undefined
  decode: Leg | undefined
  prefilled: Prefilled | undefined
  /** Time in milliseconds at which the generation was asked for, until its first token comes. */
  handoffMs: number | undefined
  /** Backend servers that failed or refused in this request. */
  exclude: Set<string>
  /** Tokens written to the caller. */
  answer: TokenAssembler
  /** Backend servers that were asked in place of one that refused. */
  replacements: number
  /** Prefills that were sent and not refused: each may have run. */
  sentPrefills: number
  /** Time in milliseconds without progress that the current step is allowed. */
  patienceMs: number
  startedMs: number
  progressMs: number
  effects: RequestEffect[]
}

/** Names the current attempt. */
export function ref (state: State): AttemptRef {
  return { requestId: state.spec.requestId, attempt: state.attempt }
}

/** Sets a timer for the current step. */
export function wake (state: State, timer: RequestTimer, afterMs: number): void {
  state.effects.push({ kind: RequestEffectKind.SetTimer, timer, epoch: state.epoch, afterMs: Math.max(0, afterMs) })
}

/** Moves to a phase and starts its check for progress. */
export function enter (state: State, phase: RequestPhase, nowMs: number): void {
  state.phase = phase
  state.epoch += 1
  state.progressMs = nowMs
  state.patienceMs = state.options.stallTimeoutMs
  wake(state, RequestTimer.Stall, state.patienceMs)
}

/** Allows the current step to take an expected time on top of the stall time. */
function expect (state: State, expectedMs: number): void {
  state.patienceMs = Math.max(state.patienceMs, state.options.stallTimeoutMs + expectedMs)
}

/** Asks an agent to end the current attempt. */
export function cancelLeg (state: State, leg: Leg | undefined): void {
  if (leg === undefined) return
  state.effects.push({ kind: RequestEffectKind.Send, agent: leg.agent, msg: { kind: MessageKind.Cancel, ...ref(state) } })
}

/** Gives up everything that the current attempt holds. */
export function dropLegs (state: State): void {
  cancelLeg(state, state.prefill)
  cancelLeg(state, state.decode)
  state.prefill = undefined
  state.decode = undefined
  state.prefilled = undefined
}

/** Ends the request without a complete answer. */
export function fail (state: State, code: RefusalCode, retryAfterMs: number): void {
  dropLegs(state)
  const outcome = state.sentPrefills > 0 ? Outcome.Unknown : Outcome.NotRun
  if (state.answer.nextOffset() > 0) {
    state.effects.push({ kind: RequestEffectKind.Abort, code, outcome: Outcome.Unknown })
  } else {
    state.effects.push({ kind: RequestEffectKind.Refuse, code, outcome, retryAfterMs })
  }
  state.phase = RequestPhase.Ended
}

/** Builds the prompt of the current attempt: the caller's prompt and what was written already. */
function promptSoFar (state: State): string {
  return state.spec.prompt + state.answer.getTokensFrom(0).join('')
}

function promptTokens (state: State): number {
  return state.spec.promptTokens + state.answer.nextOffset()
}

/** Chooses a backend server for a role and logs why. Returns undefined after the request was ended for lack of one. */
function choose (state: State, role: Role, near: string | undefined): Leg | undefined {
  const chosen = state.ports.chooseBackend(role, promptTokens(state), [...state.exclude], near)
  if (chosen.err) {
    // Backend servers that refused or failed before are there, so the request found no room rather than no server.
    fail(state, state.exclude.size > 0 ? RefusalCode.NoCapacity : chosen.val, 1000)
    return undefined
  }
  const reason = state.attempt === 1 ? 'first attempt' : `attempt ${state.attempt}`
  state.effects.push({ kind: RequestEffectKind.LogDecision, role, attempt: state.attempt, choice: chosen.val, reason })
  return { agent: chosen.val.backend, ready: false }
}

/** Returns the milliseconds left until the first token is due; after the first token, the time that stalls allow. */
export function budgetMs (state: State, nowMs: number): number {
  if (state.answer.nextOffset() > 0) return state.options.stallTimeoutMs
  return Math.max(0, state.startedMs + state.options.firstTokenMs - nowMs)
}

/** Counts the tokens of the prompt so far and of the rest of the answer. */
export function totalTokens (state: State): number {
  return promptTokens(state) + state.spec.maxTokens - state.answer.nextOffset()
}

/** Returns the milliseconds that a reservation may wait so that a prefill after it still meets the target. */
function reserveBudgetMs (state: State, nowMs: number): number {
  const leftMs = budgetMs(state, nowMs)
  const prefillMs = state.prefill === undefined ? state.ports.estimatePrefillMs(undefined, promptTokens(state)) : 0
  return Math.max(0, leftMs - prefillMs - state.ports.estimateHandoffMs())
}

/** Returns the milliseconds by which the first token would come too late if everything began now; 0 when it can be in time. */
export function lateByMs (state: State): number {
  const neededMs = state.ports.estimatePrefillMs(undefined, promptTokens(state)) + state.ports.estimateHandoffMs()
  return Math.max(0, neededMs - state.options.firstTokenMs)
}

/** Asks a decode agent for a seat and memory. Returns false when the request ended. */
export function reserve (state: State, nowMs: number): boolean {
  const leg = choose(state, Role.Decode, state.prefill?.agent)
  if (leg === undefined) return false
  state.decode = leg
  const { caller, tierClass, model, version } = state.spec
  const tokens = totalTokens(state)
  const waitMs = reserveBudgetMs(state, nowMs)
  expect(state, waitMs)
  const msg = { kind: MessageKind.Reserve as const, ...ref(state), pieces: 0, tokens, tierClass, caller, model, version, waitMs }
  state.effects.push({ kind: RequestEffectKind.Send, agent: leg.agent, msg })
  return true
}

/** Asks a prefill agent to run the prompt. Returns false when the request ended. */
export function prefill (state: State, nowMs: number): boolean {
  const leg = choose(state, Role.Prefill, state.decode?.agent)
  if (leg === undefined) return false
  state.prefill = leg
  state.sentPrefills += 1
  expect(state, 2 * state.ports.estimatePrefillMs(leg.agent, promptTokens(state)))
  const { caller, tierClass, model, version } = state.spec
  const msg = {
    kind: MessageKind.Prefill as const,
    ...ref(state),
    model,
    version,
    prompt: promptSoFar(state),
    tierClass,
    caller,
    budgetMs: budgetMs(state, nowMs)
  }
  state.effects.push({ kind: RequestEffectKind.Send, agent: leg.agent, msg })
  return true
}

/** Starts the transfer and the generation once both sides are ready. */
export function decodeWhenReady (state: State, nowMs: number): void {
  const { decode, prefilled } = state
  if (decode === undefined || !decode.ready || prefilled === undefined) return
  const { model, version, maxTokens, tierClass } = state.spec
  const { handle, kvAddress, promptTokens } = prefilled
  const startOffset = state.answer.nextOffset()
  state.effects.push({
    kind: RequestEffectKind.Send,
    agent: decode.agent,
    msg: { kind: MessageKind.Decode, ...ref(state), model, version, handle, kvAddress, promptTokens, maxTokens, startOffset, tierClass }
  })
  state.handoffMs = nowMs
  enter(state, RequestPhase.Streaming, nowMs)
}
