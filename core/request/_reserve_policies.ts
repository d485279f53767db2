/**
 * The table of policies for the time of the reservation at the decode backend server.
 */
import { ReservePolicy } from '../records/mod.ts'
import { RequestTimer } from './_types.ts'
import { prefill, reserve, wake } from './_state.ts'
import type { State } from './_state.ts'

/** The steps in which reservation policies differ. */
export interface ReserveSteps {
  /** Begins an attempt. */
  begin (state: State, nowMs: number): void
  /** Goes on after the decode agent reserved. */
  reserved (state: State, nowMs: number): void
  /** Goes on after the prefill ended. */
  prefilled (state: State, nowMs: number): void
}

const nothing = (): void => {}

function reserveIfMissing (state: State, nowMs: number): void {
  if (state.decode === undefined) reserve(state, nowMs)
}

function beginPredicted (state: State, nowMs: number): void {
  if (!prefill(state, nowMs) || state.prefill === undefined) return
  const tokens = state.spec.promptTokens + state.answer.next()
  const endMs = state.ports.estimatePrefillMs(state.prefill.agent, tokens)
  wake(state, RequestTimer.Bind, endMs - state.options.bindLeadMs)
}

/** Steps of each reservation policy. */
export const reservePolicies: { [P in ReservePolicy]: ReserveSteps } = {
  [ReservePolicy.ReserveFirst]: {
    begin: reserve,
    reserved (state, nowMs) {
      if (state.prefill === undefined) prefill(state, nowMs)
    },
    prefilled: nothing
  },
  [ReservePolicy.PrefillFirst]: {
    begin: prefill,
    reserved: nothing,
    prefilled: reserveIfMissing
  },
  [ReservePolicy.Predicted]: {
    begin: beginPredicted,
    reserved: nothing,
    prefilled: reserveIfMissing
  }
}
