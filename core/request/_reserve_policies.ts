/**
 * The table of policies for the time of the reservation at the decode backend server.
 */
import { ReservePolicy } from '../records/mod.ts'
import { RequestTimer } from './_types.ts'
import { prefill, reserve, totalTokens, wake } from './_state.ts'
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

function prefillIfMissing (state: State, nowMs: number): void {
  if (state.prefill === undefined) prefill(state, nowMs)
}

/**
 * Binds the decode backend server when the prefill is about to end. When no decode backend server has room, the
 * reservation comes first, because a prefill result that waits for a seat expires.
 */
function beginPredicted (state: State, nowMs: number): void {
  if (state.ports.estimateReservationWaitMs(totalTokens(state)) > 0) {
    reserve(state, nowMs)
    return
  }
  if (!prefill(state, nowMs) || state.prefill === undefined) return
  const tokens = state.spec.promptTokens + state.answer.nextOffset()
  const endMs = state.ports.estimatePrefillMs(state.prefill.agent, tokens)
  wake(state, RequestTimer.ReserveDecode, endMs - state.options.reserveLeadMs)
}

/** Steps of each reservation policy. */
export const reservePolicies: { [P in ReservePolicy]: ReserveSteps } = {
  [ReservePolicy.ReserveFirst]: {
    begin: reserve,
    reserved: prefillIfMissing,
    prefilled: nothing
  },
  [ReservePolicy.PrefillFirst]: {
    begin: prefill,
    reserved: nothing,
    prefilled: reserveIfMissing
  },
  [ReservePolicy.Predicted]: {
    begin: beginPredicted,
    reserved: prefillIfMissing,
    prefilled: reserveIfMissing
  }
}
