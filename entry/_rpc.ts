/**
 * Calls to agents that have one answer: tickets and service calls.
 */
import { Err, Ok } from '../core/results/mod.ts'
import type { Result } from '../core/results/mod.ts'
import type { Timer } from '../timer/mod.ts'
import type { CallDone, CallMessage, Message, Refused, TicketIssue, TicketIssued, TicketVoid, TicketVoided } from '../wire/mod.ts'

/** Names the ways in which a call to an agent fails. */
export enum RpcFailure {
  /** Nothing was sent. */
  NotSent = 'not_sent',
  /** The connection broke after the call was sent. */
  Lost = 'lost',
  TimedOut = 'timed_out'
}

/** An answer of an agent. */
export type RpcReply = CallDone | TicketIssued | TicketVoided | Refused

/** Calls agents. */
export interface Rpc {
  call (agent: string, msg: CallMessage | TicketIssue | TicketVoid, timeoutMs: number): Promise<Result<RpcReply, RpcFailure>>
  /** Takes an answer; false when nobody waits for it. */
  onReply (agent: string, msg: RpcReply): boolean
  onAgentLost (agent: string): void
  count (): number
}

interface Pending {
  agent: string
  settle (result: Result<RpcReply, RpcFailure>): void
}

/**
 * Creates the table of calls.
 */
export function createRpc (timer: Timer, send: (agent: string, msg: Message) => boolean): Rpc {
  const pending = new Map<string, Pending>()

  return {
    call (agent, msg, timeoutMs) {
      return new Promise((resolve) => {
        const key = `${msg.requestId}/${msg.attempt}`
        const limit = timer.after(timeoutMs, () => settle(Err(RpcFailure.TimedOut)))
        function settle (result: Result<RpcReply, RpcFailure>): void {
          limit.cancel()
          pending.delete(key)
          resolve(result)
        }
        pending.set(key, { agent, settle })
        if (!send(agent, msg)) settle(Err(RpcFailure.NotSent))
      })
    },
    onReply (agent, msg) {
      const waiting = pending.get(`${msg.requestId}/${msg.attempt}`)
      if (waiting === undefined || waiting.agent !== agent) return false
      waiting.settle(Ok(msg))
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
