/**
 * Admits streams to the memory of the engine on this machine, for the gateways that are connected.
 */
import { Stage } from '../core/fleet/mod.ts'
import { createPacker } from '../core/packing/mod.ts'
import { RefusalCode } from '../core/types/mod.ts'
import { callJson } from '../exchange/mod.ts'
import { decodeReservationId, buildReleaseCall, buildReserveCall } from '../platform/mod.ts'
import { MessageKind } from '../wire/mod.ts'
import type { WorkerEntry } from '../core/fleet/mod.ts'
import type { PackerOptions } from '../core/packing/mod.ts'
import type { Directory } from '../directory/mod.ts'
import type { ExchangePool } from '../exchange/mod.ts'
import type { EngineReport } from '../platform/mod.ts'
import type { Timer } from '../timer/mod.ts'
import type { Connection, Message, MessageOf, Admit } from '../wire/mod.ts'

/** Configures the task. */
export interface AdmissionTaskOptions {
  directory: Directory
  pool: ExchangePool
  timer: Timer
  packing: PackerOptions
  /** True while the engine is, or soon will be, ordered to another stage. */
  isSwitching: () => boolean
}

/** Admits streams to one engine. */
export interface AdmissionTask {
  /** Serves a gateway that has connected. */
  addGateway (connection: Connection): void
  /** Takes a fresh report of the engine and tells the gateways what has changed. */
  onReport (entry: WorkerEntry, report: EngineReport): void
  /** Tokens that are free for streams. */
  roomTokens (): number
  /** Number of gateways that are connected. */
  gateways (): number
}

const holdTimeoutMs = 200
/** Time in milliseconds that one prompt token takes at an engine that also generates; about twice that of one that only reads. */
const ownTokenMs = 0.04
/**
 * Time in milliseconds between two prompts that the engine reads itself: its streams make an event each in 80 ms, and the second
 * request may be on its way for 60 ms less than the first.
 */
const betweenReadsMs = 150
/** Time in milliseconds after which gateways hear of the engine again although nothing has changed. */
const refreshMs = 500
/** Change of the free memory that gateways hear of at once, as a share of all. */
const noticeShare = 0.02

/** Creates the task of one engine. */
export function createAdmissionTask (options: AdmissionTaskOptions): AdmissionTask {
  const { directory, pool, timer, packing } = options
  const packer = createPacker(packing)
  const gateways = new Set<Connection>()
  let entry: WorkerEntry | undefined
  let report: EngineReport | undefined
  /** Time in milliseconds until which the engine reads a prompt itself; a second one would double the pause of its streams. */
  let readingUntilMs = 0
  let told: { roomTokens: number, reads: boolean, waiting: number, senders: number, atMs: number } | undefined

  async function admit (connection: Connection, msg: Admit): Promise<void> {
    const { requestId, attempt, promptTokens, likelyTokens, maxTokens } = msg
    const refuse = (code: RefusalCode): void => {
      connection.send({ kind: MessageKind.Refused, requestId, attempt, code, retryAfterMs: 0 })
    }
    if (entry === undefined || entry.id !== msg.workerId) return refuse(RefusalCode.Stale)
    if (!generates()) return refuse(RefusalCode.Draining)
    const ask = { requestId, promptTokens, maxTokens }
    if (msg.reads && readingUntilMs > timer.now()) return refuse(RefusalCode.TargetMissed)
    if (!packer.admit(likelyTokens === undefined ? ask : { ...ask, likelyTokens }, timer.now())) return refuse(RefusalCode.NoCapacity)
    const call = buildReserveCall(entry.id, promptTokens + tokensPerEvent(), packing.startMs)
    const answer = await callJson(entry.address, call, { pool, timer, timeoutMs: holdTimeoutMs })
    const hold = answer.ok && answer.val.status === 200 ? decodeReservationId(answer.val.body) : undefined
    if (hold === undefined) {
      packer.releaseUnstarted(requestId)
      return refuse(RefusalCode.NoCapacity)
    }
    if (msg.reads) readingUntilMs = timer.now() + promptTokens * ownTokenMs + betweenReadsMs
    if (!connection.send({ kind: MessageKind.Admitted, requestId, attempt, hold })) giveBack(requestId, hold)
    tell()
  }

  function generates (): boolean {
    return report !== undefined && report.stage === Stage.Decode && !report.busy && !options.isSwitching()
  }

  function giveBack (requestId: string, hold: string): void {
    packer.releaseUnstarted(requestId)
    if (entry === undefined) return
    callJson(entry.address, buildReleaseCall(hold), { pool, timer, timeoutMs: holdTimeoutMs })
  }

  function tokensPerEvent (): number {
    return directory.routeTable()?.getService(entry?.service ?? '')?.engine?.tokensPerEvent ?? 1
  }

  function tell (): void {
    if (entry === undefined || report === undefined) return
    const waiting = report.waiting + (report.stage === Stage.Prefill ? report.running : 0)
    const roomTokens = generates() ? Math.max(0, Math.floor(packer.freeTokens(timer.now()))) : 0
    const reads = report.stage === Stage.Prefill && !report.busy && !options.isSwitching()
    const now = { roomTokens, reads, waiting, senders: gateways.size, atMs: timer.now() }
    const changed = told === undefined || told.reads !== reads || told.waiting !== now.waiting || told.senders !== now.senders ||
      Math.abs(told.roomTokens - now.roomTokens) >= noticeShare * report.totalTokens
    if (!changed && now.atMs - (told?.atMs ?? 0) < refreshMs) return
    told = now
    const { atMs: _atMs, ...room } = now
    for (const gateway of gateways) gateway.send({ kind: MessageKind.EngineCapacity, workerId: entry.id, ...room })
  }

  const handlers: { [K in MessageKind]?: (connection: Connection, msg: MessageOf<K>) => void } = {
    [MessageKind.Admit]: (connection, msg) => { admit(connection, msg) },
    [MessageKind.Cancel]: (_connection, msg) => { packer.releaseUnstarted(msg.requestId) },
    [MessageKind.StreamEnded]: (_connection, msg) => { packer.recordEnd(msg.requestId, msg.whole) }
  }

  return {
    roomTokens: () => packer.freeTokens(timer.now()),
    gateways: () => gateways.size,
    addGateway (connection) {
      gateways.add(connection)
      told = undefined
      connection.onClose(() => { gateways.delete(connection) })
      connection.onMessage((msg) => {
        const handle = handlers[msg.kind] as ((connection: Connection, msg: Message) => void) | undefined
        handle?.(connection, msg)
      })
    },
    onReport (own, fresh) {
      entry = own
      report = fresh
      packer.setCapacity(fresh.totalTokens, tokensPerEvent())
      packer.observe(fresh.runs, timer.now())
      tell()
    }
  }
}
