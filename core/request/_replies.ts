/**
 * What a request does with the messages of agents.
 */
import { MessageKind } from '../../wire/mod.ts'
import { RefusalCode, Role } from '../types/mod.ts'
import { abandon, replace } from './_recovery.ts'
import { reservePolicies } from './_reserve_policies.ts'
import { budgetMs, cancelLeg, decodeWhenReady, enter, fail, ref } from './_state.ts'
import { RequestEffectKind, RequestPhase } from './_types.ts'
import type { Failed, Finished, Refused, Reserved, Prefilled, Tokens } from '../../wire/mod.ts'
import type { State } from './_state.ts'
import type { AgentReply, RequestEvent, RequestEventKind } from './_types.ts'

type ReplyEvent = Extract<RequestEvent, { kind: RequestEventKind.Reply }>
type Handler<M> = (state: State, agent: string, msg: M, nowMs: number) => void

/** Takes one message of an agent; messages of other attempts or of agents that have no part in this one are dropped. */
export function onReply (state: State, event: ReplyEvent, nowMs: number): void {
  const { agent, msg } = event
  if (msg.attempt !== state.attempt) return
  if (agent !== state.prefill?.agent && agent !== state.decode?.agent) return
  const handler = handlers[msg.kind] as Handler<AgentReply>
  handler(state, agent, msg, nowMs)
}

const handlers = {
  [MessageKind.Reserved]: (state: State, agent: string, _msg: Reserved, nowMs: number) => {
    if (state.phase !== RequestPhase.Preparing || state.decode?.agent !== agent) return
    state.decode.ready = true
    state.progressMs = nowMs
    reservePolicies[state.options.policy].reserved(state, nowMs)
    decodeWhenReady(state, nowMs)
  },
  [MessageKind.Prefilled]: (state: State, agent: string, msg: Prefilled, nowMs: number) => {
    if (state.phase !== RequestPhase.Preparing || state.prefill?.agent !== agent) return
    state.prefill.ready = true
    state.prefilled = msg
    state.progressMs = nowMs
    reservePolicies[state.options.policy].prefilled(state, nowMs)
    decodeWhenReady(state, nowMs)
  },
  [MessageKind.Refused]: (state: State, agent: string, msg: Refused, nowMs: number) => {
    if (state.phase === RequestPhase.Streaming) {
      abandon(state, msg.code, agent, nowMs)
      return
    }
    if (state.phase !== RequestPhase.Preparing) return
    const role = state.decode?.agent === agent ? Role.Decode : Role.Prefill
    if (role === Role.Prefill) state.sentPrefills -= 1
    // After the target has passed, another backend server would refuse as well.
    if (msg.code === RefusalCode.TargetMissed && budgetMs(state, nowMs) === 0) {
      fail(state, msg.code, msg.retryAfterMs)
      return
    }
    replace(state, role, msg.code, msg.retryAfterMs, nowMs)
  },
  [MessageKind.Failed]: (state: State, agent: string, msg: Failed, nowMs: number) => {
    // The prefill engine is not at fault when its result expired before the transfer.
    const blamed = msg.code === RefusalCode.PrefillExpired ? undefined : agent
    abandon(state, msg.code, blamed, nowMs)
  },
  [MessageKind.Tokens]: (state: State, agent: string, msg: Tokens, nowMs: number) => {
    if (state.phase !== RequestPhase.Streaming || state.decode?.agent !== agent) return
    state.progressMs = nowMs
    // An agent sends no tokens to say that a stream is paused and still held.
    if (msg.tokens.length === 0) return
    if (state.handoffMs !== undefined) state.ports.recordHandoffMs(nowMs - state.handoffMs)
    state.handoffMs = undefined
    releasePrefill(state)
    take(state, msg.offset, msg.tokens)
  },
  [MessageKind.Finished]: (state: State, agent: string, msg: Finished, nowMs: number) => {
    if (state.phase !== RequestPhase.Streaming || state.decode?.agent !== agent) return
    if (state.answer.nextOffset() < msg.tokens) {
      askAgain(state, agent, nowMs)
      return
    }
    releasePrefill(state)
    state.effects.push({ kind: RequestEffectKind.Finish, tokens: state.answer.nextOffset(), reason: msg.reason })
    state.phase = RequestPhase.Ended
    state.decode = undefined
  },
  [MessageKind.Cancelled]: () => {}
}

/** Lets the prefill agent forget an attempt whose KV cache has arrived. */
function releasePrefill (state: State): void {
  cancelLeg(state, state.prefill)
  state.prefill = undefined
}

/** Asks for the tokens that are missing before the end. */
function askAgain (state: State, agent: string, nowMs: number): void {
  const offset = state.answer.nextOffset()
  state.effects.push({ kind: RequestEffectKind.Send, agent, msg: { kind: MessageKind.Resume, ...ref(state), offset } })
  enter(state, RequestPhase.Streaming, nowMs)
}

/** Writes the tokens that continue the answer. */
function take (state: State, offset: number, tokens: string[]): void {
  const next = state.answer.nextOffset()
  const fresh = state.answer.addBatch(offset, tokens)
  if (fresh.length > 0) state.effects.push({ kind: RequestEffectKind.WriteTokens, offset: next, tokens: fresh })
}
