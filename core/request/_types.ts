/**
 * Types of the state machine for one model request.
 */
import type { ReservePolicy } from '../records/mod.ts'
import type { Result } from '../results/mod.ts'
import type { AttemptRef, Outcome, RefusalCode, Role, TierClass } from '../types/mod.ts'
import type {
  CancelMessage, Cancelled, DecodeMessage, Failed, Finished, Prefill, Prefilled, Refused, Reserve, Reserved, Resume,
  Tokens
} from '../../wire/mod.ts'

/** Phases of a request. */
export enum RequestPhase {
  /** The request has not started. */
  Waiting = 'waiting',
  /** A prefill, a reservation or both were sent to agents. */
  Preparing = 'preparing',
  /** The decode backend server imports the KV cache and generates. */
  Streaming = 'streaming',
  /** The connection to the decode agent was lost; the stream resumes when it is back within the resume timeout. */
  Recovering = 'recovering',
  Ended = 'ended'
}

/** Timers that a request sets. */
export enum RequestTimer {
  /** Reserves at a decode backend server shortly before the prefill is expected to end. */
  ReserveDecode = 'bind',
  /** Checks whether the current step has made progress within its timeout. */
  Stall = 'stall',
  /** Ends the wait for the connection to a lost decode agent. */
  Resume = 'resume',
  /** Ends the request when its deadline is exceeded. */
  Deadline = 'deadline'
}

/** Kinds of events. */
export enum RequestEventKind {
  /** The request begins its first attempt. */
  Start = 'start',
  /** An agent sent a message about an attempt. */
  Reply = 'reply',
  /** The connection to an agent was lost. */
  AgentLost = 'agent_lost',
  /** An agent that was lost is reachable again. */
  AgentReachable = 'agent_back',
  /** The caller closed its connection. */
  CallerDisconnected = 'caller_gone',
  /** A timer that the request set has fired. */
  TimerFired = 'wake'
}

/** A message from an agent about an attempt. */
export type AgentReply = Reserved | Refused | Prefilled | Tokens | Finished | Failed | Cancelled

/** An event that a request handles; `epoch` of a timer is the one with which it was set. */
export type RequestEvent =
  | { kind: RequestEventKind.Start }
  | { kind: RequestEventKind.Reply, agent: string, msg: AgentReply }
  | { kind: RequestEventKind.AgentLost, agent: string }
  | { kind: RequestEventKind.AgentReachable, agent: string }
  | { kind: RequestEventKind.CallerDisconnected }
  | { kind: RequestEventKind.TimerFired, timer: RequestTimer, epoch: number }

/** Kinds of effects. */
export enum RequestEffectKind {
  /** Sends a message to an agent. */
  Send = 'send',
  /** Writes tokens to the caller. */
  WriteTokens = 'emit',
  /** Ends a complete answer. */
  Finish = 'end',
  /** Refuses the request before anything was written to the caller. */
  Refuse = 'refuse',
  /** Ends an answer that was begun and cannot be completed. */
  Abort = 'break',
  /** Sets a timer. */
  SetTimer = 'wake',
  /** Logs the choice of a backend server. */
  LogDecision = 'decide'
}

/** An effect that the entry performs for a request. */
export type RequestEffect =
  | { kind: RequestEffectKind.Send, agent: string, msg: Reserve | Prefill | DecodeMessage | Resume | CancelMessage }
  /** The tokens of each such effect continue those of the one before without a gap. */
  | { kind: RequestEffectKind.WriteTokens, offset: number, tokens: string[] }
  | { kind: RequestEffectKind.Finish, tokens: number, reason: 'stop' | 'length' }
  /** `retryAfterMs` is the time in milliseconds after which a retry makes sense. */
  | { kind: RequestEffectKind.Refuse, code: RefusalCode, outcome: Outcome, retryAfterMs: number }
  | { kind: RequestEffectKind.Abort, code: RefusalCode, outcome: Outcome }
  | { kind: RequestEffectKind.SetTimer, timer: RequestTimer, epoch: number, afterMs: number }
  | { kind: RequestEffectKind.LogDecision, role: Role, attempt: number, choice: BackendChoice, reason: string }

/** A model request as the caller sent it. */
export interface RequestSpec {
  requestId: string
  caller: string
  tierClass: TierClass
  model: string
  version: string
  prompt: string
  /** Length of the prompt in tokens. */
  promptTokens: number
  /** Maximum length of the answer in tokens. */
  maxTokens: number
}

/** The backend server that was chosen, and why others were not. */
export interface BackendChoice {
  /** Name of the chosen backend server. */
  backend: string
  /** Backend servers that were considered, each with the reason against it. */
  runnersUp: Array<{ backend: string, reason: string }>
}

/** Functions of the entry that a request calls. */
export interface RequestPorts {
  /** Chooses a backend server of a role that is not in `exclude`, preferably near the backend server `near` when it is set. */
  chooseBackend (role: Role, promptTokens: number, exclude: string[], near: string | undefined): Result<BackendChoice, RefusalCode>
  /** Consumes one retry of the retry budget; returns false when the budget is exhausted. */
  consumeRetry (nowMs: number): boolean
  /**
   * Estimates the time in milliseconds until a prefill at a backend server ends. When none is named, estimates it for the
   * backend server that would end it first.
   */
  estimatePrefillMs (backend: string | undefined, promptTokens: number): number
  /** Estimates the time in milliseconds from the end of a prefill to the first token. */
  estimateHandoffMs (): number
  /** Records a measured time in milliseconds from the end of a prefill to the first token. */
  recordHandoffMs (ms: number): void
  /** Estimates the time in milliseconds that a reservation of `tokens` tokens waits; 0 when there is capacity now. */
  estimateReservationWaitMs (tokens: number): number
}

/** Options of a request. */
export interface RequestOptions {
  /** When to reserve at the decode backend server, relative to the prefill. */
  policy: ReservePolicy
  /** Target for the first token, in milliseconds after the start. */
  firstTokenMs: number
  /** Time in milliseconds after the start at which the request ends in any case; 120000 by default. */
  deadlineMs?: number
  /** Time in milliseconds without progress after which the request retries at another backend server; 1500 by default. */
  stallTimeoutMs?: number
  /** Time in milliseconds to wait for the connection to a lost decode agent before a retry elsewhere; 300 by default. */
  resumeTimeoutMs?: number
  /** Time in milliseconds before the estimated end of the prefill at which a decode backend server is reserved; 40 by default. */
  reserveLeadMs?: number
  /** Maximum number of attempts, the first one included; 4 by default. */
  maxAttempts?: number
  /** Maximum number of backend servers asked in place of ones that refused or were lost; 4 by default. */
  maxReplacements?: number
}

/** State machine of one request. */
export interface RequestMachine {
  /** Handles an event at the monotonic time `nowMs` in milliseconds and returns the effects to perform, in order. */
  handleEvent (event: RequestEvent, nowMs: number): RequestEffect[]
  /** Returns the current phase. */
  phase (): RequestPhase
  /** Returns the agents that may hold resources for the current attempt. */
  participants (): Array<{ agent: string, ref: AttemptRef }>
  /** Returns the number of attempts and of tokens written so far. */
  progress (): { attempts: number, tokens: number }
}
