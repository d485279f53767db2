/**
 * Handlers for the messages that agents send about a request.
 */
import { MessageKind } from '../../wire/mod.ts'
import { RefusalCode, Role } from '../types/mod.ts'
import { retryElsewhere, replaceParticipant } from './_recovery.ts'
import { reservePolicies } from './_reserve_policies.ts'
import { getRemainingBudgetMs, sendCancel, sendDecodeWhenReady, enterPhase, failRequest, getAttemptRef } from './_state.ts'
import { RequestEffectKind, RequestPhase } from './_types.ts'
import type { Failed, Finished, Refused, Reserved, Prefilled, Tokens } from '../../wire/mod.ts'
import type { RequestState } from './_state.ts'
import type { AgentReply, RequestEvent, RequestEventKind } from './_types.ts'

type ReplyEvent = Extract<RequestEvent, { kind: RequestEventKind.Reply }>
type Handler<M> = (state: RequestState, agent: string, msg: M, nowMs: number) => void

/** Handles a message from an agent; ignores messages about other attempts and from agents that take no part in this one. */
export function handleReply (state: RequestState, event: ReplyEvent, nowMs: number): void {
  const { agent, msg } = event
  if (msg.attempt !== state.attempt) return
  if (agent !== state.prefill?.agent && agent !== state.decode?.agent) return
  const handler = handlers[msg.kind] as Handler<AgentReply>
  handler(state, agent, msg, nowMs)
}

const handlers = {
  [MessageKind.Reserved]: (state: RequestState, agent: string, _msg: Reserved, nowMs: number) => {
    if (state.phase !== RequestPhase.Preparing || state.decode?.agent !== agent) return
    state.decode.isReady = true
    state.lastProgressMs = nowMs
    reservePolicies[state.options.policy].onReserved(state, nowMs)
    sendDecodeWhenReady(state, nowMs)
  },
  [MessageKind.Prefilled]: (state: RequestState, agent: string, msg: Prefilled, nowMs: number) => {
    if (state.phase !== RequestPhase.Preparing || state.prefill?.agent !== agent) return
    state.prefill.isReady = true
    state.prefilled = msg
    state.lastProgressMs = nowMs
    reservePolicies[state.options.policy].onPrefilled(state, nowMs)
    sendDecodeWhenReady(state, nowMs)
  },
  [MessageKind.Refused]: (state: RequestState, agent: string, msg: Refused, nowMs: number) => {
    if (state.phase === RequestPhase.Streaming) {
      retryElsewhere(state, msg.code, agent, nowMs)
      return
    }
    if (state.phase !== RequestPhase.Preparing) return
    const role = state.decode?.agent === agent ? Role.Decode : Role.Prefill
    if (role === Role.Prefill) state.sentPrefills -= 1
    // Once the first-token target has passed, every other backend server would refuse as well.
    if (msg.code === RefusalCode.TargetMissed && getRemainingBudgetMs(state, nowMs) === 0) {
      failRequest(state, msg.code, msg.retryAfterMs)
      return
    }
    replaceParticipant(state, role, msg.code, msg.retryAfterMs, nowMs)
  },
  [MessageKind.Failed]: (state: RequestState, agent: string, msg: Failed, nowMs: number) => {
    // The prefill engine is not at fault when its result expired before the transfer.
    const agentToExclude = msg.code === RefusalCode.PrefillExpired ? undefined : agent
    retryElsewhere(state, msg.code, agentToExclude, nowMs)
  },
  [MessageKind.Tokens]: (state: RequestState, agent: string, msg: Tokens, nowMs: number) => {
    if (state.phase !== RequestPhase.Streaming || state.decode?.agent !== agent) return
    state.lastProgressMs = nowMs
    // A message without tokens says that the stream is paused and the agent still holds it.
    if (msg.tokens.length === 0) return
    if (state.handoffStartMs !== undefined) state.ports.recordHandoffMs(nowMs - state.handoffStartMs)
    state.handoffStartMs = undefined
    releasePrefillAgent(state)
    writeTokens(state, msg.offset, msg.tokens)
  },
  [MessageKind.Finished]: (state: RequestState, agent: string, msg: Finished, nowMs: number) => {
    if (state.phase !== RequestPhase.Streaming || state.decode?.agent !== agent) return
    if (state.answer.nextOffset() < msg.tokens) {
      requestMissingTokens(state, agent, nowMs)
      return
    }
    releasePrefillAgent(state)
    state.effects.push({ kind: RequestEffectKind.Finish, tokens: state.answer.nextOffset(), reason: msg.reason })
    state.phase = RequestPhase.Ended
    state.decode = undefined
  },
  [MessageKind.Cancelled]: () => {}
}

/** Lets the prefill agent release the attempt, because the decode agent has its KV cache. */
function releasePrefillAgent (state: RequestState): void {
  sendCancel(state, state.prefill)
  state.prefill = undefined
}

/** Asks the decode agent to send the tokens again that are missing before the end of the answer. */
function requestMissingTokens (state: RequestState, agent: string, nowMs: number): void {
  const offset = state.answer.nextOffset()
  state.effects.push({ kind: RequestEffectKind.Send, agent, msg: { kind: MessageKind.Resume, ...getAttemptRef(state), offset } })
  enterPhase(state, RequestPhase.Streaming, nowMs)
}

/** Writes the tokens that now continue the answer; keeps a batch that arrived too early. */
function writeTokens (state: RequestState, offset: number, tokens: string[]): void {
  const nextOffset = state.answer.nextOffset()
  const newTokens = state.answer.addBatch(offset, tokens)
  if (newTokens.length > 0) state.effects.push({ kind: RequestEffectKind.WriteTokens, offset: nextOffset, tokens: newTokens })
}
