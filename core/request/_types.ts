/**
 * Types of the request machine.
 */
import type { ReservePolicy } from '../records/mod.ts'
import type { Result } from '../results/mod.ts'
import type { AttemptRef, Outcome, RefusalCode, Role, TierClass } from '../types/mod.ts'
import type {
  CancelMessage, Cancelled, DecodeMessage, Failed, Finished, Prefill, Prefilled, Refused, Reserve, Reserved, Resume,
  Tokens
} from '../../wire/mod.ts'

/** Names the phases of a request. */
export enum RequestPhase {
  Waiting = 'waiting',
  /** A prefill, a reservation or both are asked for. */
  Preparing = 'preparing',
  /** The decode backend server imports the KV cache and generates. */
  Streaming = 'streaming',
  /** The decode agent was lost and may come back within the resume time. */
  Recovering = 'recovering',
  Ended = 'ended'
}

/** Names the timers that a request sets. */
export enum RequestTimer {
  /** Binds the decode backend server shortly before the prefill ends. */
  ReserveDecode = 'bind',
  /** Checks whether the current step still makes progress. */
  Stall = 'stall',
  /** Ends the wait for a lost decode agent. */
  Resume = 'resume',
  /** Ends the request. */
  Deadline = 'deadline'
}

/** Names the kinds of events. */
export enum RequestEventKind {
  Start = 'start',
  Reply = 'reply',
  AgentLost = 'agent_lost',
  AgentReachable = 'agent_back',
  CallerDisconnected = 'caller_gone',
  TimerFired = 'wake'
}

/** A message of an agent about an attempt. */
export type AgentReply = Reserved | Refused | Prefilled | Tokens | Finished | Failed | Cancelled

/** Anything that happens to a request. */
export type RequestEvent =
  | { kind: RequestEventKind.Start }
  | { kind: RequestEventKind.Reply, agent: string, msg: AgentReply }
  | { kind: RequestEventKind.AgentLost, agent: string }
  | { kind: RequestEventKind.AgentReachable, agent: string }
  | { kind: RequestEventKind.CallerDisconnected }
  | { kind: RequestEventKind.TimerFired, timer: RequestTimer, epoch: number }

/** Names the kinds of effects. */
export enum RequestEffectKind {
  Send = 'send',
  WriteTokens = 'emit',
  Finish = 'end',
  Refuse = 'refuse',
  Abort = 'break',
  SetTimer = 'wake',
  LogDecision = 'decide'
}

/** Anything that a request asks its shell to do. */
export type RequestEffect =
  | { kind: RequestEffectKind.Send, agent: string, msg: Reserve | Prefill | DecodeMessage | Resume | CancelMessage }
  /** Writes tokens to the caller; the offsets of all such effects are consecutive. */
  | { kind: RequestEffectKind.WriteTokens, offset: number, tokens: string[] }
  | { kind: RequestEffectKind.Finish, tokens: number, reason: 'stop' | 'length' }
  /** Refuses the request; nothing was written to the caller. */
  | { kind: RequestEffectKind.Refuse, code: RefusalCode, outcome: Outcome, retryAfterMs: number }
  /** Ends an answer that was begun and can't be completed. */
  | { kind: RequestEffectKind.Abort, code: RefusalCode, outcome: Outcome }
  | { kind: RequestEffectKind.SetTimer, timer: RequestTimer, epoch: number, afterMs: number }
  | { kind: RequestEffectKind.LogDecision, role: Role, attempt: number, choice: BackendChoice, reason: string }

/** Describes what the caller asked for. */
export interface RequestSpec {
  requestId: string
  caller: string
  tierClass: TierClass
  model: string
  version: string
  prompt: string
  promptTokens: number
  maxTokens: number
}

/** Describes a choice among backend servers. */
export interface BackendChoice {
  backend: string
  runnersUp: Array<{ backend: string, reason: string }>
}

/** What a request asks of the parts around it. */
export interface RequestPorts {
  /** Chooses a backend server of a role, outside `exclude`, near the backend server `near` when it is set. */
  chooseBackend (role: Role, promptTokens: number, exclude: string[], near: string | undefined): Result<BackendChoice, RefusalCode>
  /** Takes one retry from the budget; false when the budget is used up. */
  consumeRetry (nowMs: number): boolean
  /**
   * Estimates the time in milliseconds until a prefill at a backend server ends, or at the one that is ready first when
   * none is named.
   */
  estimatePrefillMs (backend: string | undefined, promptTokens: number): number
  /** Estimates the time in milliseconds from the end of a prefill to the first token. */
  estimateHandoffMs (): number
  /** Takes in the time in milliseconds from the end of a prefill to the first token. */
  recordHandoffMs (ms: number): void
  /** Estimates the time in milliseconds that a reservation for so many tokens waits; 0 when there is room now. */
  estimateReservationWaitMs (tokens: number): number
}

/** Configures a request. */
export interface RequestOptions {
  policy: ReservePolicy
  /** Target for the first token, in milliseconds after the start. */
  firstTokenMs: number
  /** Time in milliseconds after which the request ends in any case. */
  deadlineMs?: number
  /** Time in milliseconds without progress after which a backend server is given up. */
  stallTimeoutMs?: number
  /** Time in milliseconds for which a lost decode agent may come back. */
  resumeTimeoutMs?: number
  /** Time in milliseconds before the predicted end of the prefill at which the decode backend server is bound. */
  reserveLeadMs?: number
  maxAttempts?: number
  /** Highest number of backend servers asked in place of ones that refused. */
  maxReplacements?: number
}

/** Runs one request. */
export interface RequestMachine {
  /** Takes an event at monotonic time `nowMs` and returns what is to be done. */
  handleEvent (event: RequestEvent, nowMs: number): RequestEffect[]
  phase (): RequestPhase
  /** The attempts that agents may hold something for. */
  participants (): Array<{ agent: string, ref: AttemptRef }>
  /** Number of attempts and of tokens written so far. */
  progress (): { attempts: number, tokens: number }
}
