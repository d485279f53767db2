/**
 * The checks for the fields of incoming messages, by the kind of message.
 */
import { Outcome, RefusalCode, Role, TierClass } from '../core/types/mod.ts'
import {
  isAmount, isBytes, isCount, isBoolean, isMap, isName, isString, isStringMap, isSum, listOf, nullable, oneOf, optional, shape
} from './_checks.ts'
import type { LeavingWorker } from '../core/fleet/mod.ts'
import { LoadTopic } from '../core/cost/mod.ts'
import type { LoadEntry } from '../core/cost/mod.ts'
import type { Origin, OriginRecord } from '../core/origin/mod.ts'
import type { CrashObservation } from '../core/quarantine/mod.ts'
import type { AttemptRef } from '../core/types/mod.ts'
import type { StoreChange } from '../core/view/mod.ts'
import type { Check } from './_checks.ts'
import { MessageKind } from './message_kind.ts'
import type { AllowanceLevels, AllowanceReport } from './allowance_messages.ts'
import type { CallDone, MessageOf, UsageShare } from './messages.ts'

type FieldChecks<K extends MessageKind> = { [F in Exclude<keyof MessageOf<K>, 'kind'>]-?: Check }

const attempt = { requestId: isName, attempt: isCount }
const isAttempt = shape<AttemptRef>(attempt)
const isTierClass = oneOf(Object.values(TierClass))
const isCode = oneOf(Object.values(RefusalCode))
const isOutcome = oneOf(Object.values(Outcome))
const isRole = oneOf(Object.values(Role))
const isFinishReason = oneOf(['stop', 'length'])
const isChange = shape<StoreChange>({ key: isName, era: optional(isCount), revision: isCount, value: nullable(isString) })
/** Accepts the changes of the store in one message. */
export const isChanges = listOf(isChange)
const isReply = shape<NonNullable<CallDone['reply']>>({ status: isCount, headers: isStringMap, body: isBytes })
const isUsage = shape<UsageShare['usage'][number]>({
  caller: isName, requests: isAmount, tokens: isAmount, concurrency: isAmount, waiting: isAmount
})
const isSpending = shape<AllowanceReport['spending'][number]>({ organisation: isName, spent: isSum, offered: isSum })
const isLevel = shape<AllowanceLevels['levels'][number]>({ organisation: isName, level: isSum, share: isAmount, demandPerS: isAmount })
const isCrash = shape<CrashObservation>({ crash: isName, parts: listOf(isName), ageMs: isAmount })
const isLoad = shape<LoadEntry>({ worker: isName, requests: isAmount, workMs: isAmount, slowness: isAmount, samples: isAmount })
const isOrigin = shape<Origin>({ service: isName, softwareVersion: isName })
const isOriginRecord = shape<OriginRecord>({ requestId: isName, service: isName, softwareVersion: isName })
const isLeaving = shape<LeavingWorker>({ id: isName, bornMs: isAmount })

/** The check for each field of each kind of message; `kind` itself selects the entry. */
export const messageChecks: { [K in MessageKind]: FieldChecks<K> } = {
  [MessageKind.Hello]: {
    name: isName,
    process: oneOf(['entry', 'agent', 'tool']),
    incarnation: isCount,
    address: isName,
    revision: isCount,
    availabilityZone: isName,
    region: isName
  },
  [MessageKind.Heartbeat]: { progress: isCount, live: listOf(isAttempt), revision: isCount },
  [MessageKind.Reserve]: {
    ...attempt,
    pieces: isCount,
    tokens: isCount,
    tierClass: isTierClass,
    caller: isName,
    model: isName,
    version: isName,
    waitMs: isAmount
  },
  [MessageKind.Reserved]: { ...attempt, pieces: isCount },
  [MessageKind.Refused]: { ...attempt, code: isCode, retryAfterMs: isAmount },
  [MessageKind.Prefill]: {
    ...attempt, model: isName, version: isName, prompt: isString, tierClass: isTierClass, caller: isName, budgetMs: isAmount
  },
  [MessageKind.Prefilled]: {
    ...attempt, handle: isName, kvAddress: isName, promptTokens: isCount, cachedTokens: isCount, keepsMs: isAmount
  },
  [MessageKind.Decode]: {
    ...attempt,
    model: isName,
    version: isName,
    handle: isName,
    kvAddress: isName,
    promptTokens: isCount,
    maxTokens: isCount,
    startOffset: isCount,
    tierClass: isTierClass
  },
  [MessageKind.Resume]: { ...attempt, offset: isCount },
  [MessageKind.Tokens]: { ...attempt, offset: isCount, tokens: listOf(isString) },
  [MessageKind.Finished]: { ...attempt, tokens: isCount, reason: isFinishReason },
  [MessageKind.Failed]: { ...attempt, code: isCode, outcome: isOutcome, message: isString },
  [MessageKind.Cancel]: attempt,
  [MessageKind.Cancelled]: attempt,
  [MessageKind.Call]: {
    ...attempt,
    service: isName,
    caller: isName,
    ticket: optional(isName),
    method: isName,
    path: isString,
    headers: isStringMap,
    body: isBytes,
    timeoutMs: isAmount
  },
  [MessageKind.CallDone]: {
    ...attempt, outcome: isOutcome, reply: optional(isReply), code: optional(isCode), replayed: isBoolean
  },
  [MessageKind.TicketIssue]: { ...attempt, service: isName, caller: isName },
  [MessageKind.TicketIssued]: { ...attempt, ticket: isName, keepsMs: isAmount },
  [MessageKind.TicketVoid]: { ...attempt, ticket: isName },
  [MessageKind.TicketVoided]: { ...attempt, outcome: isOutcome },
  [MessageKind.Load]: {
    backend: isName,
    role: isRole,
    model: isString,
    version: isString,
    seats: isCount,
    seatsUsed: isCount,
    pieces: isCount,
    piecesUsed: isCount,
    queuedTokens: isAmount,
    paidQueuedTokens: optional(isAmount),
    waitMs: isAmount,
    draining: isBoolean,
    seq: isCount,
    tokensPerPiece: isCount,
    prefixes: listOf(isName),
    stalledMs: isAmount
  },
  [MessageKind.ConfigDigest]: { revision: isCount, wants: isBoolean, ageMs: optional(isAmount), reply: optional(isBoolean), era: optional(isCount), readsPacked: optional(isBoolean) },
  [MessageKind.ConfigRecords]: {
    era: optional(isCount),
    revision: isCount,
    after: optional(isCount),
    complete: isBoolean,
    more: optional(isBoolean),
    changes: isChanges,
    packed: optional(isBytes)
  },
  [MessageKind.ViewState]: {
    era: optional(isCount), revisions: listOf(isCount), agesMs: listOf(isAmount), failureAgeMs: optional(isAmount)
  },
  [MessageKind.ViewRequest]: { after: listOf(isCount), era: optional(isCount), readsPacked: optional(isBoolean) },
  [MessageKind.ViewChanges]: {
    after: listOf(isCount),
    afterEra: optional(isCount),
    era: optional(isCount),
    revisions: listOf(isCount),
    agesMs: listOf(isAmount),
    failureAgeMs: optional(isAmount),
    complete: optional(listOf(isBoolean)),
    changes: isChanges,
    packed: optional(isBytes)
  },
  [MessageKind.PeerReport]: { name: isName, incarnation: isCount, state: oneOf(['suspect', 'leaving', 'gone']) },
  [MessageKind.UsageShare]: { entry: isName, incarnation: isCount, seq: isCount, usage: listOf(isUsage) },
  [MessageKind.AllowanceReport]: { sender: isName, seq: isCount, after: isCount, full: isBoolean, spending: listOf(isSpending) },
  [MessageKind.AllowanceLevels]: { seq: isCount, wantsFull: isBoolean, gateways: isCount, levels: listOf(isLevel) },
  [MessageKind.Admit]: {
    ...attempt,
    workerId: isName,
    engineVersion: optional(isName),
    promptTokens: isAmount,
    likelyTokens: optional(isAmount),
    maxTokens: isAmount,
    reads: isBoolean,
    readMs: optional(isAmount)
  },
  [MessageKind.Admitted]: { ...attempt, hold: isName },
  [MessageKind.StreamEnded]: { ...attempt, whole: isBoolean },
  [MessageKind.EngineCapacity]: { workerId: isName, roomTokens: isAmount, reads: isBoolean, waiting: isAmount, senders: isCount, heldMs: optional(isAmount) },
  [MessageKind.PromptEvidence]: { crashes: listOf(isCrash), sound: listOf(isName), leaving: optional(listOf(isLeaving)) },
  [MessageKind.WorkerLoads]: { topic: oneOf(Object.values(LoadTopic)), name: isName, incarnation: isCount, seq: isCount, asks: isBoolean, loads: listOf(isLoad) },
  [MessageKind.WorkerLoadsSum]: { topic: oneOf(Object.values(LoadTopic)), seq: isCount, ageMs: isAmount, loads: listOf(isLoad) },
  [MessageKind.StreamOrigins]: { origins: listOf(isOriginRecord) },
  [MessageKind.OriginRequest]: { requestId: isName },
  [MessageKind.OriginReply]: { requestId: isName, origin: optional(isOrigin), isAmbiguous: isBoolean },
  [MessageKind.Status]: {},
  [MessageKind.StatusReply]: { status: isMap },
  [MessageKind.Explain]: { requestId: isName },
  [MessageKind.ExplainReply]: { requestId: isName, decisions: listOf(isMap) }
}
