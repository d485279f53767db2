/**
 * Policies for when to reserve at the decode backend server: before the prefill, after it, or shortly before it ends.
 */
import { ReservePolicy } from '../records/mod.ts'
import { RequestTimer } from './_types.ts'
import { sendPrefill, sendReserve, countTotalTokens, setTimer } from './_state.ts'
import type { RequestState } from './_state.ts'

/** The steps in which the policies differ. */
export interface ReserveSteps {
  /** Begins an attempt. */
  begin (state: RequestState, nowMs: number): void
  /** Continues after the decode agent has confirmed the reservation. */
  onReserved (state: RequestState, nowMs: number): void
  /** Continues after the prefill has ended. */
  onPrefilled (state: RequestState, nowMs: number): void
}

const doNothing = (): void => {}

function reserveIfMissing (state: RequestState, nowMs: number): void {
  if (state.decode === undefined) sendReserve(state, nowMs)
}

function prefillIfMissing (state: RequestState, nowMs: number): void {
  if (state.prefill === undefined) sendPrefill(state, nowMs)
}

/**
 * Starts the prefill and sets a timer to reserve at a decode backend server shortly before it ends. When no decode backend
 * server has capacity, reserves first instead, because a prefill result that waits for a seat expires.
 */
function beginPredicted (state: RequestState, nowMs: number): void {
  if (state.ports.estimateReservationWaitMs(countTotalTokens(state)) > 0) {
    sendReserve(state, nowMs)
    return
  }
  if (!sendPrefill(state, nowMs) || state.prefill === undefined) return
  const tokens = state.spec.promptTokens + state.answer.nextOffset()
  const endMs = state.ports.estimatePrefillMs(state.prefill.agent, tokens)
  setTimer(state, RequestTimer.ReserveDecode, endMs - state.options.reserveLeadMs)
}

/** Steps of each policy. */
export const reservePolicies: { [P in ReservePolicy]: ReserveSteps } = {
  [ReservePolicy.ReserveFirst]: {
    begin: sendReserve,
    onReserved: prefillIfMissing,
    onPrefilled: doNothing
  },
  [ReservePolicy.PrefillFirst]: {
    begin: sendPrefill,
    onReserved: doNothing,
    onPrefilled: reserveIfMissing
  },
  [ReservePolicy.Predicted]: {
    begin: beginPredicted,
    onReserved: prefillIfMissing,
    onPrefilled: reserveIfMissing
  }
}
