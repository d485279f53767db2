/**
 * Calls to agents that get exactly one reply: tickets and service calls.
 */
import { Err, Ok } from '../core/results/mod.ts'
import type { Result } from '../core/results/mod.ts'
import type { Timer } from '../timer/mod.ts'
import type { CallDone, CallMessage, Message, Refused, TicketIssue, TicketIssued, TicketVoid, TicketVoided } from '../wire/mod.ts'

/** Names why a call to an agent got no reply. */
export enum RpcFailure {
  /** Nothing was sent. */
  NotSent = 'not_sent',
  /** The connection broke after the call was sent. */
  Lost = 'lost',
  TimedOut = 'timed_out'
}

/** A reply of an agent. */
export type RpcReply = CallDone | TicketIssued | TicketVoided | Refused

/** Calls agents. */
export interface Rpc {
  /** Sends a message to an agent and resolves with its reply, or with why there is none after at most `timeoutMs` milliseconds. */
  call (agent: string, msg: CallMessage | TicketIssue | TicketVoid, timeoutMs: number): Promise<Result<RpcReply, RpcFailure>>
  /** Completes the call that a reply belongs to; false when no call to this agent is waiting for it. */
  onReply (agent: string, msg: RpcReply): boolean
  /** Fails every pending call of an agent whose connection was closed. */
  onAgentLost (agent: string): void
  /** Returns the number of pending calls. */
  count (): number
}

interface PendingCall {
  agent: string
  settle (result: Result<RpcReply, RpcFailure>): void
}

/**
 * Creates an empty table of pending calls.
 */
export function createRpc (timer: Timer, send: (agent: string, msg: Message) => boolean): Rpc {
  const pending = new Map<string, PendingCall>()

  return {
    call (agent, msg, timeoutMs) {
      return new Promise((resolve) => {
        const key = `${msg.requestId}/${msg.attempt}`
        const timeout = timer.after(timeoutMs, () => settle(Err(RpcFailure.TimedOut)))
        function settle (result: Result<RpcReply, RpcFailure>): void {
          timeout.cancel()
          pending.delete(key)
          resolve(result)
        }
        pending.set(key, { agent, settle })
        if (!send(agent, msg)) settle(Err(RpcFailure.NotSent))
      })
    },
    onReply (agent, msg) {
      const call = pending.get(`${msg.requestId}/${msg.attempt}`)
      if (call === undefined || call.agent !== agent) return false
      call.settle(Ok(msg))
      return true
    },
    onAgentLost (agent) {
      for (const item of [...pending.values()]) {
        if (item.agent === agent) item.settle(Err(RpcFailure.Lost))
      }
    },
    count: () => pending.size
  }
}
