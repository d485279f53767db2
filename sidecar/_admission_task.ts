/**
 * Admits streams of the connected gateways to the memory of the engine on this machine.
 */
import { checkSend, HoldReason, SendRank, Stage, takeSendPlace } from '../core/fleet/mod.ts'
import { createPacer } from '../core/pacing/mod.ts'
import { createPacker } from '../core/packing/mod.ts'
import { defaultPrefillMsPerToken, estimateDecodeEngineMs } from '../core/prefill/mod.ts'
import { createQuarantine } from '../core/quarantine/mod.ts'
import { RefusalCode } from '../core/types/mod.ts'
import { recordWord } from '../directory/mod.ts'
import { callJson } from '../exchange/mod.ts'
import { decodeReservationId, decodeResponseHead, buildReleaseCall, buildReserveCall } from '../platform/mod.ts'
import { MessageKind } from '../wire/mod.ts'
import type { LeavingWorker, Worker, WorkerEntry } from '../core/fleet/mod.ts'
import type { EvidenceKind, PromptEvidence } from '../core/quarantine/mod.ts'
import type { Pacer } from '../core/pacing/mod.ts'
import type { PackerOptions } from '../core/packing/mod.ts'
import type { Directory } from '../directory/mod.ts'
import type { ExchangePool, JsonResponse } from '../exchange/mod.ts'
import type { Log } from '../log/mod.ts'
import type { EngineReport } from '../platform/mod.ts'
import type { Timer } from '../timer/mod.ts'
import type { Connection, Message, MessageOf, Admit } from '../wire/mod.ts'

/** Configures the admission of streams. */
export interface AdmissionTaskOptions {
  directory: Directory
  pool: ExchangePool
  timer: Timer
  log: Log
  packing: PackerOptions
  /** Tells whether another stage of the engine is due or being ordered. */
  isSwitching: () => boolean
  /** Returns a number from 0 up to but not including 1. */
  random: () => number
  /** Time in milliseconds for which the engine takes requests after it has said that it leaves. */
  drainMs: number
  /** Called with the number of pieces of evidence on prompts that a bound on memory has pushed out. */
  onEvidenceDropped: (kind: EvidenceKind, count: number) => void
  /** Handlers of the kinds of messages for which this process is an exchange point. */
  exchange?: ExchangeHandlers
}

/** Handlers of the messages that gateways send to their exchange points. */
export type ExchangeHandlers = { [K in MessageKind]?: (connection: Connection, msg: MessageOf<K>) => void }

/** Admits streams to one engine. */
export interface AdmissionTask {
  /** Handles the messages of a gateway that has connected. */
  addGateway (connection: Connection): void
  /** Applies a new report of the engine and sends the capacity to the gateways when it has changed. */
  onReport (entry: WorkerEntry, report: EngineReport): void
  /** Records that the engine does not answer, or that another one answers in its place: it takes no stream until its next report. */
  onSilence (): void
  /** Applies the limit in requests per second that the engine names now; undefined when it names none. */
  setLimit (limitPerS: number | undefined): void
  /** Records what the engine says of itself in the answer to a call; `own` is its entry, when that may not be known here. */
  recordAnswer (response: JsonResponse, own?: WorkerEntry): void
  /** Tells whether the engine wants no requests from this machine now, and whether it has said that it leaves. */
  isHeld (): boolean
  isLeaving (): boolean
  /** Returns the tokens that are free for streams, and the number of connected gateways. */
  roomTokens (): number
  gateways (): number
}

const reservationTimeoutMs = 200
/**
 * Shortest time in milliseconds between two prefills at a decode engine: within 80 ms each of its streams produces an event, and the
 * second request may take 60 ms less than the first to arrive.
 */
const prefillGapMs = 150
/** Time in milliseconds after which the capacity is sent to the gateways although nothing has changed. */
const resendMs = 500
/** Time in milliseconds whose requests an engine with a limited rate gets together after a time without any. */
const paceBurstMs = 2_000
/** Change of the free memory, as a share of the total, that is sent to the gateways at once. */
const minChangeShare = 0.02

/** Creates the admission of streams to one engine. */
export function createAdmissionTask (options: AdmissionTaskOptions): AdmissionTask {
  const { directory, pool, timer, log, packing } = options
  const packer = createPacker(packing)
  const gateways = new Set<Connection>()
  /** Evidence of the gateways on prompts that crash engines, for those that connect later. */
  const quarantine = createQuarantine({ onDropped: options.onEvidenceDropped })
  let entry: WorkerEntry | undefined
  let report: EngineReport | undefined
  /** True from a call that the engine did not answer until its next report. */
  let isSilent = false
  /** Time in milliseconds until which the engine runs a prefill; a second one meanwhile would double the pause of its streams. */
  let prefillingUntilMs = 0
  /** Keeps the limit of the engine's request rate for all gateways; undefined while the engine names none. */
  let pacer: Pacer | undefined
  let lastSent: { id: string, roomTokens: number, reads: boolean, waiting: number, senders: number, heldUntilMs: number, atMs: number } | undefined

  async function admit (connection: Connection, msg: Admit): Promise<void> {
    const { requestId, attempt, promptTokens, likelyTokens, maxTokens } = msg
    const refuse = (code: RefusalCode, retryAfterMs = 0): void => {
      connection.send({ kind: MessageKind.Refused, requestId, attempt, code, retryAfterMs })
    }
    if (entry?.id !== msg.workerId || (msg.engineVersion ?? entry.softwareVersion) !== entry.softwareVersion) return refuse(RefusalCode.Stale)
    const worker = own()
    const verdict = worker === undefined ? undefined : checkSend(worker, { nowMs: timer.now(), drainMs: options.drainMs })
    if (verdict?.rank === SendRank.Held) return refuse(RefusalCode.LimitExceeded, verdict.untilMs - timer.now())
    if (!canGenerate() || (verdict?.reason === HoldReason.Leaving && verdict.rank === SendRank.Never)) return refuse(RefusalCode.Draining)
    const request = { requestId, promptTokens, maxTokens }
    if (msg.reads && prefillingUntilMs > timer.now()) return refuse(RefusalCode.TargetMissed)
    if (pacer !== undefined && pacer.delayMs(timer.now()) > 0) return refuse(RefusalCode.LimitExceeded)
    if (!packer.admit(likelyTokens === undefined ? request : { ...request, likelyTokens }, timer.now())) return refuse(RefusalCode.NoCapacity)
    pacer?.take(timer.now())
    if (worker !== undefined) takeSendPlace(worker, timer.now())
    const call = buildReserveCall(entry.id, promptTokens + tokensPerEvent(), packing.startMs)
    const response = await callJson(entry.address, call, { pool, timer, timeoutMs: reservationTimeoutMs, mayStart: () => !isHeld() })
    if (response.ok) recordAnswer(response.val)
    else if (!isHeld()) isSilent = true
    const hold = response.ok && response.val.status === 200 ? decodeReservationId(response.val.body) : undefined
    if (hold === undefined) {
      packer.releaseUnstarted(requestId)
      return refuse(RefusalCode.NoCapacity)
    }
    if (msg.reads) prefillingUntilMs = timer.now() + (msg.readMs ?? estimateDecodeEngineMs(promptTokens, defaultPrefillMsPerToken)) + prefillGapMs
    if (!connection.send({ kind: MessageKind.Admitted, requestId, attempt, hold })) releaseReservation(requestId, hold)
    sendCapacity()
  }

  /** Returns the engine on this machine; undefined before its entry is known. */
  function own (): Worker | undefined {
    return entry === undefined ? undefined : directory.fleet.get(entry.id)
  }

  function isHeld (): boolean { return (own()?.word.hold.untilMs() ?? -Infinity) > timer.now() }

  function isLeaving (): boolean { return own()?.word.leavingSinceMs !== undefined }

  function recordAnswer (response: JsonResponse, ownEntry?: WorkerEntry): void {
    entry ??= ownEntry
    const worker = own()
    if (worker === undefined) return
    const { fleet } = directory
    const head = decodeResponseHead(response.status, response.headers)
    const isNew = recordWord(worker, head, { fleet, log, nowMs: timer.now(), random: options.random })
    if (isNew) sendLeaving([{ id: worker.entry.id, bornMs: worker.entry.bornMs }])
    if (isNew || isHeld()) sendCapacity()
  }

  function sendLeaving (leaving: LeavingWorker[]): void {
    for (const gateway of gateways) gateway.send({ kind: MessageKind.PromptEvidence, crashes: [], sound: [], leaving })
  }

  /** Passes on to all gateways which of the workers are not yet known to leave. */
  function relayLeaving (leaving: readonly LeavingWorker[]): void {
    const news = leaving.filter((worker) => directory.fleet.markLeaving(worker, timer.now()))
    for (const { id, bornMs } of news) log.warn({ worker: id, bornMs }, 'worker leaving, told')
    if (news.length > 0) sendLeaving(news)
  }

  function canGenerate (): boolean {
    return report !== undefined && report.stage === Stage.Decode && !report.busy && !options.isSwitching() && !isHeld() && !isSilent
  }

  function releaseReservation (requestId: string, hold: string): void {
    packer.releaseUnstarted(requestId)
    // An engine that wants no requests for a time releases the reservation when it expires.
    if (entry === undefined || isHeld()) return
    callJson(entry.address, buildReleaseCall(hold), { pool, timer, timeoutMs: reservationTimeoutMs })
      .then((response) => { if (response.ok) recordAnswer(response.val) })
  }

  function tokensPerEvent (): number {
    return directory.routeTable()?.getService(entry?.service ?? '')?.engine?.tokensPerEvent ?? 1
  }

  function sendCapacity (): void {
    if (entry === undefined || report === undefined) return
    const waiting = report.waiting + (report.stage === Stage.Prefill ? report.running : 0)
    const roomTokens = canGenerate() ? Math.max(0, Math.floor(packer.freeTokens(timer.now()))) : 0
    const reads = report.stage === Stage.Prefill && !report.busy && !options.isSwitching()
    const heldUntilMs = own()?.word.hold.untilMs() ?? -Infinity
    const heldMs = Math.max(0, heldUntilMs - timer.now())
    const now = { id: entry.id, roomTokens, reads, waiting, senders: gateways.size, heldUntilMs, atMs: timer.now() }
    const hasChanged = lastSent === undefined || lastSent.id !== entry.id || (lastSent.roomTokens > 0) !== (roomTokens > 0) || lastSent.reads !== reads ||
      lastSent.waiting !== now.waiting || lastSent.senders !== now.senders || lastSent.heldUntilMs !== heldUntilMs ||
      Math.abs(lastSent.roomTokens - now.roomTokens) >= minChangeShare * report.totalTokens
    if (!hasChanged && now.atMs - (lastSent?.atMs ?? 0) < resendMs) return
    lastSent = now
    const room = { roomTokens, reads, waiting, senders: gateways.size, ...(heldMs > 0 ? { heldMs } : {}) }
    for (const gateway of gateways) gateway.send({ kind: MessageKind.EngineCapacity, workerId: entry.id, ...room })
  }

  /** Passes on to all gateways what is new in the evidence of one of them. */
  function relayEvidence (evidence: PromptEvidence): void {
    const news = quarantine.merge(evidence, timer.now())
    if (news === undefined) return
    for (const gateway of gateways) gateway.send({ kind: MessageKind.PromptEvidence, ...news })
  }

  const handlers: ExchangeHandlers = {
    ...options.exchange,
    [MessageKind.Admit]: (connection, msg) => { admit(connection, msg) },
    [MessageKind.Cancel]: (_connection, msg) => { packer.releaseUnstarted(msg.requestId) },
    [MessageKind.PromptEvidence]: (_connection, { crashes, sound, leaving = [] }) => {
      relayEvidence({ crashes, sound })
      relayLeaving(leaving)
    },
    [MessageKind.StreamEnded]: (_connection, msg) => { packer.recordEnd(msg.requestId, msg.whole) }
  }

  return {
    roomTokens: () => packer.freeTokens(timer.now()),
    gateways: () => gateways.size,
    recordAnswer,
    isHeld,
    isLeaving,
    addGateway (connection) {
      gateways.add(connection)
      lastSent = undefined
      connection.onClose(() => { gateways.delete(connection) })
      const known = quarantine.snapshot(timer.now())
      const leaving = directory.fleet.leaving()
      if (known !== undefined || leaving.length > 0) {
        connection.send({ kind: MessageKind.PromptEvidence, ...(known ?? { crashes: [], sound: [] }), ...(leaving.length > 0 ? { leaving } : {}) })
      }
      connection.onMessage((msg) => {
        const handle = handlers[msg.kind] as ((connection: Connection, msg: Message) => void) | undefined
        handle?.(connection, msg)
      })
    },
    setLimit (limitPerS) {
      if (limitPerS === pacer?.limitPerS()) return
      log.warn({ worker: entry?.id, limitPerS }, 'worker limit')
      if (limitPerS === undefined) pacer = undefined
      else if (pacer !== undefined) pacer.setLimit(limitPerS)
      else pacer = createPacer(limitPerS, timer.now(), { memberCount: () => 1, random: () => 0, burstMs: paceBurstMs })
    },
    onSilence () {
      if (!isSilent) log.warn({ worker: entry?.id }, 'engine does not answer its sidecar')
      isSilent = true
      sendCapacity()
    },
    onReport (own, fresh) {
      // What an earlier engine ran or had reserved is lost.
      if (entry !== undefined && entry.id !== own.id) packer.clear()
      entry = own
      report = fresh
      isSilent = false
      packer.setCapacity(fresh.totalTokens, tokensPerEvent())
      packer.observe(fresh.runs, timer.now())
      sendCapacity()
    }
  }
}
