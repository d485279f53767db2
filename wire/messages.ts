/**
 * The typed messages that entries and agents exchange over TCP, each one cbor-x frame.
 */
import type { MessageKind } from './message_kind.ts'
import type { AttemptRef, Outcome, Place, RefusalCode, Role, TierClass } from '../core/types/mod.ts'
import type { ConfigChange } from '../source/mod.ts'
import type { EngineCapacity, Admit, Admitted, StreamEnded } from './pack_messages.ts'

/** Opens a connection; both sides send it first. */
export interface Hello extends Place {
  kind: MessageKind.Hello
  /** Name of the sending process. */
  name: string
  process: 'entry' | 'agent' | 'tool'
  /** Number that differs for every start of the process and grows with wall-clock time. */
  incarnation: number
  /** Peer address `ip:port` of the sender. */
  address: string
  /** Highest configuration revision that is in force at the sender. */
  revision: number
}

/** Renews the lease between an entry and an agent and shows that work moves on. */
export interface Heartbeat {
  kind: MessageKind.Heartbeat
  /** Counter of finished steps of work; a stuck process stops to count. */
  progress: number
  /** Attempts of this entry that the sender still awaits; the agent cancels the others. */
  live: AttemptRef[]
  revision: number
}

/** Asks a decode agent for a seat and memory. */
export interface Reserve extends AttemptRef {
  kind: MessageKind.Reserve
  /** Engine memory wanted, in pieces. */
  pieces: number
  /** Length of prompt and answer in tokens; the agent works out the pieces when `pieces` is 0. */
  tokens: number
  tierClass: TierClass
  caller: string
  model: string
  version: string
  /** Time in milliseconds that the entry is ready to wait in the agent's queue. */
  waitMs: number
}

/** Confirms a reservation. */
export interface Reserved extends AttemptRef {
  kind: MessageKind.Reserved
  pieces: number
}

/** Refuses work that certainly did not run. */
export interface Refused extends AttemptRef {
  kind: MessageKind.Refused
  code: RefusalCode
  /** Time in milliseconds after which a retry makes sense. */
  retryAfterMs: number
}

/** Asks a prefill agent to run a prefill. */
export interface Prefill extends AttemptRef {
  kind: MessageKind.Prefill
  model: string
  version: string
  prompt: string
  tierClass: TierClass
  caller: string
  /** Time in milliseconds that is left to the first-token target. */
  budgetMs: number
}

/** Reports a finished prefill. */
export interface Prefilled extends AttemptRef {
  kind: MessageKind.Prefilled
  handle: string
  kvAddress: string
  promptTokens: number
  cachedTokens: number
  keepsMs: number
}

/** Asks a decode agent to import the KV cache and to generate. */
export interface DecodeMessage extends AttemptRef {
  kind: MessageKind.Decode
  model: string
  version: string
  handle: string
  kvAddress: string
  promptTokens: number
  maxTokens: number
  startOffset: number
  tierClass: TierClass
}

/** Asks a decode agent for the rest of a stream that it holds. */
export interface Resume extends AttemptRef {
  kind: MessageKind.Resume
  offset: number
}

/** Carries tokens of an answer; without any it says that the agent still holds a stream that it paused. */
export interface Tokens extends AttemptRef {
  kind: MessageKind.Tokens
  offset: number
  tokens: string[]
}

/** Reports the end of an answer. */
export interface Finished extends AttemptRef {
  kind: MessageKind.Finished
  /** Offset after the last token. */
  tokens: number
  reason: 'stop' | 'length'
}

/** Reports that started work failed. */
export interface Failed extends AttemptRef {
  kind: MessageKind.Failed
  code: RefusalCode
  outcome: Outcome
  message: string
}

/** Asks an agent to end an attempt and to free what it holds; idempotent. */
export interface CancelMessage extends AttemptRef {
  kind: MessageKind.Cancel
}

/** Confirms that the engine holds nothing more for an attempt. */
export interface Cancelled extends AttemptRef {
  kind: MessageKind.Cancelled
}

/** Asks an agent to call the plain service beside it. */
export interface CallMessage extends AttemptRef {
  kind: MessageKind.Call
  service: string
  caller: string
  /** Ticket under which the call runs at most once; absent for idempotent calls. */
  ticket?: string
  method: string
  path: string
  headers: Record<string, string>
  body: Uint8Array
  timeoutMs: number
}

/** Answers a service call. */
export interface CallDone extends AttemptRef {
  kind: MessageKind.CallDone
  outcome: Outcome
  /** Set when the outcome is `Done`. */
  reply?: { status: number, headers: Record<string, string>, body: Uint8Array }
  /** Set when the outcome is not `Done`. */
  code?: RefusalCode
  /** True when the answer was recorded for an earlier call under the same ticket. */
  replayed: boolean
}

/** Asks an agent for a ticket. */
export interface TicketIssue extends AttemptRef {
  kind: MessageKind.TicketIssue
  service: string
  caller: string
}

/** Carries a new ticket. */
export interface TicketIssued extends AttemptRef {
  kind: MessageKind.TicketIssued
  ticket: string
  /** Time in milliseconds for which the agent remembers the ticket. */
  keepsMs: number
}

/** Asks an agent to make a ticket unusable. */
export interface TicketVoid extends AttemptRef {
  kind: MessageKind.TicketVoid
  ticket: string
}

/** Answers a void: `NotRun` when the ticket can no longer run, else what is known. */
export interface TicketVoided extends AttemptRef {
  kind: MessageKind.TicketVoided
  outcome: Outcome
}

/** Reports the load of a backend server; the agent pushes it to connected entries. */
export interface LoadReport {
  kind: MessageKind.Load
  backend: string
  role: Role
  model: string
  version: string
  seats: number
  seatsUsed: number
  pieces: number
  piecesUsed: number
  queuedTokens: number
  /** The part of `queuedTokens` that belongs to paid work, which goes first; all of it when absent. */
  paidQueuedTokens?: number
  /** Estimated time in milliseconds that new work waits before it starts. */
  waitMs: number
  draining: boolean
  /** Counter that grows with each report. */
  seq: number
  tokensPerPiece: number
  /** Hashes of prompt prefixes that the engine holds. */
  prefixes: string[]
  /** Milliseconds since the engine last made progress on waiting work; 0 when it has none. */
  stalledMs: number
}

/** Tells a peer what configuration is in force here, per key when asked. */
export interface ConfigDigest {
  kind: MessageKind.ConfigDigest
  /** Highest revision in force at the sender. */
  revision: number
  /** True when the sender asks for records above this revision. */
  wants: boolean
  /** Milliseconds since the sender, or whoever it heard from, last read the configuration service; absent when never. */
  ageMs?: number
  /** True when this answers a digest; it gets no answer. */
  reply?: boolean
}

/** Carries configuration records between peers. */
export interface ConfigRecords {
  kind: MessageKind.ConfigRecords
  /** Revision up to which the message is whole. */
  revision: number
  /** Revision above which the message holds every change up to `revision`; absent when it claims nothing. */
  after?: number
  /** True when the changes hold every record, so that a record that is missing was deleted. */
  complete: boolean
  /** True when the next message continues this one; only the last one counts as a page. */
  more?: boolean
  changes: ConfigChange[]
}

/** Tells a peer that a connection to a third process broke or stalled; only a hint. */
export interface PeerReport {
  kind: MessageKind.PeerReport
  name: string
  incarnation: number
  state: 'suspect' | 'leaving' | 'gone'
}

/** Tells other entries what each caller used here, so that limits even out. */
export interface UsageShare {
  kind: MessageKind.UsageShare
  entry: string
  incarnation: number
  /** Counter that grows with each message. */
  seq: number
  /**
   * Requests and tokens offered per second, requests in flight, and requests that were lately refused for concurrency.
   */
  usage: Array<{ caller: string, requests: number, tokens: number, concurrency: number, waiting: number }>
}

/** Asks a process for its own view. */
export interface StatusRequest {
  kind: MessageKind.Status
}

/** Answers with a process's own view. */
export interface StatusReply {
  kind: MessageKind.StatusReply
  status: Record<string, unknown>
}

/** Asks an entry why a recent request was routed or refused so. */
export interface Explain {
  kind: MessageKind.Explain
  requestId: string
}

/** Answers with the recorded decisions about a request, oldest first. */
export interface ExplainReply {
  kind: MessageKind.ExplainReply
  requestId: string
  decisions: Array<Record<string, unknown>>
}

/** Any message of the protocol. */
export type Message =
  | Hello | Heartbeat | Reserve | Reserved | Refused | Prefill | Prefilled | DecodeMessage | Resume | Tokens | Finished
  | Failed | CancelMessage | Cancelled | CallMessage | CallDone | TicketIssue | TicketIssued | TicketVoid | TicketVoided
  | LoadReport | ConfigDigest | ConfigRecords | PeerReport | UsageShare | StatusRequest | StatusReply | Explain
  | ExplainReply | Admit | Admitted | StreamEnded | EngineCapacity

/** The message of one kind. */
export type MessageOf<K extends MessageKind> = Extract<Message, { kind: K }>
