/**
 * What a request does when a backend server is lost, stalls or refuses.
 */
import { RefusalCode, Role } from '../types/mod.ts'
import { reservePolicies } from './_reserve_policies.ts'
import { cancelLeg, dropLegs, enter, fail, prefill, reserve, wake } from './_state.ts'
import { RequestPhase, RequestTimer } from './_types.ts'
import type { State } from './_state.ts'

/** An answer that was begun is owed to its caller; only work that can still be refused depends on the budget. */
function mayRunAgain (state: State, nowMs: number): boolean {
  return state.answer.nextOffset() > 0 || state.ports.consumeRetry(nowMs)
}

/** Gives up the attempt and starts the next one elsewhere, as far as the budget allows. */
export function abandon (state: State, code: RefusalCode, agent: string | undefined, nowMs: number): void {
  dropLegs(state)
  if (agent !== undefined) state.exclude.add(agent)
  state.answer.dropPendingBatches()
  if (state.attempt >= state.options.maxAttempts || !mayRunAgain(state, nowMs)) {
    fail(state, code, 1000)
    return
  }
  state.attempt += 1
  enter(state, RequestPhase.Preparing, nowMs)
  reservePolicies[state.options.policy].begin(state, nowMs)
}

/** Handles the loss of the connection to an agent. */
export function lose (state: State, agent: string, nowMs: number): void {
  if (state.phase === RequestPhase.Streaming && state.decode?.agent === agent) {
    enter(state, RequestPhase.Recovering, nowMs)
    wake(state, RequestTimer.Resume, state.options.resumeTimeoutMs)
    return
  }
  if (state.phase !== RequestPhase.Preparing) return
  if (state.decode?.agent === agent) replace(state, Role.Decode, RefusalCode.Unreachable, 0, nowMs)
  else if (state.prefill?.agent === agent) losePrefill(state, nowMs)
}

/** Handles the loss of a prefill, which may have run: another one is a retry. */
function losePrefill (state: State, nowMs: number): void {
  if (mayRunAgain(state, nowMs)) replace(state, Role.Prefill, RefusalCode.Unreachable, 0, nowMs)
  else fail(state, RefusalCode.Unreachable, 1000)
}

/**
 * Asks another backend server for the part of the attempt that one backend server refused or lost. Nothing ran there, so
 * this takes nothing from the retry budget; the number for each request is bounded.
 */
export function replace (state: State, role: Role, code: RefusalCode, retryAfterMs: number, nowMs: number): void {
  const leg = role === Role.Decode ? state.decode : state.prefill
  if (leg === undefined) return
  state.exclude.add(leg.agent)
  cancelLeg(state, leg)
  if (role === Role.Decode) state.decode = undefined
  else state.prefill = undefined
  state.replacements += 1
  if (state.replacements > state.options.maxReplacements) {
    fail(state, code, retryAfterMs)
    return
  }
  enter(state, RequestPhase.Preparing, nowMs)
  if (role === Role.Decode) reserve(state, nowMs)
  else prefill(state, nowMs)
}
