/**
 * The connections of a gateway to the sidecars of the engines.
 */
import { chooseExchangePoints } from '../core/subset/mod.ts'
import { RefusalCode } from '../core/types/mod.ts'
import { connect, MessageKind, parseAddress } from '../wire/mod.ts'
import { Err, Ok } from '../core/results/mod.ts'
import type { Result } from '../core/results/mod.ts'
import type { PromptEvidence } from '../core/quarantine/mod.ts'
import type { PackRequest } from '../core/packing/mod.ts'
import type { LeavingWorker, Worker } from '../core/fleet/mod.ts'
import type { ExchangeCandidate } from '../core/subset/mod.ts'
import type { Directory } from '../directory/mod.ts'
import type { Log } from '../log/mod.ts'
import type { Timer } from '../timer/mod.ts'
import type { Connection, Message, MessageOf } from '../wire/mod.ts'

/** Configures the connections to the sidecars. */
export interface SidecarClientOptions {
  /** Port at which the sidecars listen. */
  port: number
  directory: Directory
  timer: Timer
  log: Log
  random: () => number
  /** True when the gateway needs the exchange points to serve requests: connections to them are opened earlier and more often. */
  needsPoints?: boolean
  /** Called with the evidence on prompts that a sidecar passes on. */
  onEvidence: (evidence: PromptEvidence) => void
}

/** Reserves memory of engines through their sidecars. */
export interface SidecarClient {
  /** Tells whether the engine's sidecar is connected and has reported the engine's capacity. */
  isConnected (worker: Worker): boolean
  /** Requests memory at an engine, which also runs the prefill, for `readMs` milliseconds, when that is set; the result is the id of the reservation. */
  reserve (worker: Worker, request: PackRequest, readMs: number | undefined): Promise<Result<string, RefusalCode>>
  /** Releases memory that was granted and is not used. */
  release (worker: Worker, requestId: string): void
  /** Reports that a stream has ended; `whole` when the engine has produced all of it. */
  reportStreamEnd (worker: Worker, requestId: string, whole: boolean): void
  /** Sends evidence on prompts to up to `count` connected sidecars, chosen at random. */
  sendEvidence (evidence: PromptEvidence, count: number): void
  /** Tells up to `count` connected sidecars, chosen at random, of workers that leave. */
  sendLeaving (leaving: LeavingWorker[], count: number): void
  /** Returns the addresses of the sidecars that serve as exchange points, connected or not; all gateways with the same workers choose the same. */
  exchangePoints (): readonly string[]
  /** Returns the address of the sidecar of an engine; undefined when the engine's entry names none that can be read. */
  addressOf (worker: Worker): string | undefined
  /** Returns the number of the connection to an address, which no other connection has; undefined while there is none. */
  connectionNumber (address: string): number | undefined
  /** Sends a message to a sidecar; returns false when it is not connected. */
  sendToPoint (address: string, msg: Message): boolean
  /** Sets the receiver of one kind of message, which gets the address of its sender. */
  receive<K extends MessageKind> (kind: K, fn: (address: string, msg: MessageOf<K>) => void): void
  close (): void
}

interface SidecarLink {
  number: number
  connection?: Connection
  pending: Map<string, (result: Result<string, RefusalCode>) => void>
  /** Time in milliseconds of the last message; that of the connection before the first one. */
  lastMessageMs: number
  /** Number of requests for memory in a row that got no answer, and the time in milliseconds at which the first of them timed out. */
  timeouts: number
  unansweredSinceMs: number
}

/** Timeout in milliseconds of a request for memory: two trips between regions, and one reservation by the sidecar at its engine. */
const reserveTimeoutMs = 250
/** Time in milliseconds without a message after which a connection on which a request got no answer is given up; sidecars send twice as often. */
const silentLinkMs = 1_000
/** Number of requests in a row without an answer, over that time, after which a connection is given up although messages come on it. */
const maxTimeouts = 3
/** Interval in milliseconds at which connections to engines without one are opened. */
const reconnectMs = 500
const connectTimeoutMs = 500
/** Interval in milliseconds at which a process that has just started looks for its first workers. */
const firstCheckMs = 25
/** Interval in milliseconds at which the first workers are looked for, and connections to exchange points without one are opened. */
const pointCheckMs = 100
/** Number of exchange points: each may be lost without loss of what they know together. */
const exchangePointCount = 3

/** Opens connections to the sidecars of all engines, and opens them again when they close. */
export function createSidecarClient (options: SidecarClientOptions): SidecarClient {
  const { directory, timer, log } = options
  const links = new Map<string, SidecarLink>()
  const receivers = new Map<MessageKind, (address: string, msg: Message) => void>()
  let points: readonly string[] = []
  let connectionNumber = 0
  let isClosed = false

  function addressOf (worker: Worker): string | undefined {
    const target = parseAddress(worker.entry.address)
    return target.err ? undefined : `${target.val.host}:${options.port}`
  }

  async function open (address: string): Promise<void> {
    const link: SidecarLink = { number: ++connectionNumber, pending: new Map(), lastMessageMs: timer.now(), timeouts: 0, unansweredSinceMs: 0 }
    links.set(address, link)
    const connected = await connect({ address, connectTimeoutMs })
    if (connected.err || isClosed) {
      links.delete(address)
      if (connected.ok) connected.val.close()
      return
    }
    link.connection = connected.val
    link.lastMessageMs = timer.now()
    connected.val.onClose((reason) => drop(address, link, reason))
    connected.val.onMessage((msg) => onMessage(address, link, msg))
    log.info({ address }, 'sidecar connected')
  }

  /** Forgets a connection and what its sidecar has reported; a new one is opened later. */
  function drop (address: string, link: SidecarLink, reason: string): void {
    if (links.get(address) !== link) return
    links.delete(address)
    for (const settle of [...link.pending.values()]) settle(Err(RefusalCode.Unreachable))
    for (const worker of directory.fleet.all()) if (addressOf(worker) === address) delete worker.capacity
    if (!isClosed) log.warn({ address, reason }, 'sidecar lost')
  }

  /** Gives up a connection that is open and carries nothing, in one direction or in both. */
  function recordTimeout (address: string, link: SidecarLink): void {
    const nowMs = timer.now()
    if (link.timeouts++ === 0) link.unansweredSinceMs = nowMs
    const silentMs = Math.round(nowMs - link.lastMessageMs)
    const isOneWay = link.timeouts >= maxTimeouts && nowMs - link.unansweredSinceMs >= silentLinkMs
    if (silentMs < silentLinkMs && !isOneWay) return
    drop(address, link, `${link.timeouts} requests without an answer, no message for ${silentMs} ms`)
    link.connection?.close()
  }

  function settle (link: SidecarLink, msg: { requestId: string, attempt: number }, result: Result<string, RefusalCode>): void {
    link.timeouts = 0
    link.pending.get(`${msg.requestId}/${msg.attempt}`)?.(result)
  }

  const handlers: { [K in MessageKind]?: (link: SidecarLink, msg: Message & { kind: K }) => void } = {
    [MessageKind.Admitted]: (link, msg) => settle(link, msg, Ok(msg.hold)),
    [MessageKind.Refused]: (link, msg) => settle(link, msg, Err(msg.code)),
    [MessageKind.PromptEvidence]: (_link, { crashes, sound, leaving = [] }) => {
      options.onEvidence({ crashes, sound })
      for (const worker of leaving) {
        if (directory.fleet.markLeaving(worker, timer.now())) log.warn({ worker: worker.id, bornMs: worker.bornMs }, 'worker leaving, told')
      }
    },
    [MessageKind.EngineCapacity]: (_link, msg) => {
      const worker = directory.fleet.get(msg.workerId)
      if (worker === undefined) return
      worker.capacity = {
        receivedAtMs: timer.now(),
        freeTokens: msg.roomTokens,
        isPrefill: msg.reads,
        waitingRequests: msg.waiting,
        gateways: msg.senders,
        ...(msg.heldMs === undefined ? {} : { heldUntilMs: timer.now() + msg.heldMs })
      }
    }
  }

  function onMessage (address: string, link: SidecarLink, msg: Message): void {
    link.lastMessageMs = timer.now()
    receivers.get(msg.kind)?.(address, msg)
    const handle = handlers[msg.kind] as ((link: SidecarLink, msg: Message) => void) | undefined
    handle?.(link, msg)
  }

  function connectMissing (): void {
    const candidates: ExchangeCandidate[] = []
    for (const worker of directory.fleet.all()) {
      const address = worker.entry.stage === undefined ? undefined : addressOf(worker)
      if (address === undefined) continue
      candidates.push({ name: address, zone: worker.entry.zone })
      if (!links.has(address)) open(address)
    }
    points = chooseExchangePoints({ candidates, count: exchangePointCount })
  }

  function sendToSome (evidence: Omit<MessageOf<MessageKind.PromptEvidence>, 'kind'>, count: number): void {
    const connections = [...links.values()].flatMap(({ connection }) => connection ?? [])
    for (let sent = 0; sent < count && connections.length > 0; sent++) {
      const [connection] = connections.splice(Math.floor(options.random() * connections.length), 1)
      connection?.send({ kind: MessageKind.PromptEvidence, ...evidence })
    }
  }

  function connectPoints (): void {
    if (points.length === 0 && directory.fleet.all().length > 0) connectMissing()
    for (const address of points) if (!links.has(address)) open(address)
  }

  /** Connects as soon as the first workers are known: clients that come back after a restart of all gateways wait for it. */
  const firstCheck = timer.every(firstCheckMs, () => {
    if (directory.fleet.all().length === 0) return
    firstCheck.cancel()
    connectMissing()
  })
  const timers = [firstCheck, timer.every(reconnectMs, connectMissing)]
  if (options.needsPoints === true) timers.push(timer.every(pointCheckMs, connectPoints))
  let attempts = 0

  return {
    isConnected: (worker) => worker.capacity !== undefined && links.get(addressOf(worker) ?? '')?.connection !== undefined,
    reserve (worker, request, readMs) {
      const address = addressOf(worker) ?? ''
      const link = links.get(address)
      const attempt = ++attempts
      const reading = readMs === undefined ? { reads: false } : { reads: true, readMs }
      const sent = link?.connection?.send({ kind: MessageKind.Admit, attempt, workerId: worker.entry.id, engineVersion: worker.entry.softwareVersion, ...reading, ...request })
      if (link === undefined || !sent) return Promise.resolve(Err(RefusalCode.Unreachable))
      const key = `${request.requestId}/${attempt}`
      return new Promise((resolve) => {
        const finish = (result: Result<string, RefusalCode>): void => {
          timeout.cancel()
          link.pending.delete(key)
          resolve(result)
        }
        const timeout = timer.after(reserveTimeoutMs, () => {
          finish(Err(RefusalCode.Unreachable))
          recordTimeout(address, link)
        })
        link.pending.set(key, finish)
      })
    },
    release (worker, requestId) {
      links.get(addressOf(worker) ?? '')?.connection?.send({ kind: MessageKind.Cancel, requestId, attempt: 0 })
    },
    reportStreamEnd (worker, requestId, whole) {
      links.get(addressOf(worker) ?? '')?.connection?.send({ kind: MessageKind.StreamEnded, requestId, attempt: 0, whole })
    },
    sendEvidence: (evidence, count) => sendToSome(evidence, count),
    exchangePoints: () => points,
    addressOf,
    connectionNumber: (address) => links.get(address)?.connection === undefined ? undefined : links.get(address)?.number,
    sendToPoint: (address, msg) => links.get(address)?.connection?.send(msg) ?? false,
    receive: (kind, fn) => { receivers.set(kind, fn as (address: string, msg: Message) => void) },
    sendLeaving: (leaving, count) => sendToSome({ crashes: [], sound: [], leaving }, count),
    close () {
      isClosed = true
      for (const one of timers) one.cancel()
      for (const link of links.values()) link.connection?.close()
    }
  }
}
