/**
 * The connections of a gateway to the processes beside the engines.
 */
import { RefusalCode } from '../core/types/mod.ts'
import { connect, MessageKind, parseAddress } from '../wire/mod.ts'
import { Err, Ok } from '../core/results/mod.ts'
import type { Result } from '../core/results/mod.ts'
import type { PackRequest } from '../core/packing/mod.ts'
import type { Worker } from '../core/fleet/mod.ts'
import type { Directory } from '../directory/mod.ts'
import type { Log } from '../log/mod.ts'
import type { Timer } from '../timer/mod.ts'
import type { Connection, Message } from '../wire/mod.ts'

/** Configures the connections. */
export interface SidecarClientOptions {
  /** Port at which the processes beside engines listen. */
  port: number
  directory: Directory
  timer: Timer
  log: Log
}

/** Asks the processes beside the engines. */
export interface SidecarClient {
  /** True when the process beside the engine is connected and has told of the engine. */
  isConnected (worker: Worker): boolean
  /** Asks for memory at an engine; the result is the name of the reservation. */
  reserve (worker: Worker, ask: PackRequest, reads: boolean): Promise<Result<string, RefusalCode>>
  /** Gives up memory that was granted and is not used. */
  release (worker: Worker, requestId: string): void
  /** Tells that a stream has ended; `whole` when the engine has made all of it. */
  reportStreamEnd (worker: Worker, requestId: string, whole: boolean): void
  close (): void
}

interface Link {
  connection?: Connection
  waiting: Map<string, (answer: Result<string, RefusalCode>) => void>
}

/** Time in milliseconds for an answer: two trips between regions, and one reservation beside the engine. */
const askTimeoutMs = 250
/** Time in milliseconds between two looks for engines that are not connected. */
const redialMs = 500
const connectTimeoutMs = 500

/** Opens connections to the processes beside all engines, and keeps them. */
export function createSidecarClient (options: SidecarClientOptions): SidecarClient {
  const { directory, timer, log } = options
  const links = new Map<string, Link>()
  let closed = false

  function addressOf (worker: Worker): string | undefined {
    const target = parseAddress(worker.entry.address)
    return target.err ? undefined : `${target.val.host}:${options.port}`
  }

  async function open (address: string): Promise<void> {
    const link: Link = { waiting: new Map() }
    links.set(address, link)
    const made = await connect({ address, connectTimeoutMs })
    if (made.err || closed) {
      links.delete(address)
      if (made.ok) made.val.close()
      return
    }
    link.connection = made.val
    made.val.onClose((reason) => {
      links.delete(address)
      for (const settle of link.waiting.values()) settle(Err(RefusalCode.Unreachable))
      for (const worker of directory.fleet.all()) if (addressOf(worker) === address) delete worker.capacity
      if (!closed) log.warn({ address, reason }, 'sidecar lost')
    })
    made.val.onMessage((msg) => onMessage(link, msg))
    log.info({ address }, 'sidecar connected')
  }

  function settle (link: Link, msg: { requestId: string, attempt: number }, answer: Result<string, RefusalCode>): void {
    link.waiting.get(`${msg.requestId}/${msg.attempt}`)?.(answer)
  }

  const handlers: { [K in MessageKind]?: (link: Link, msg: Message & { kind: K }) => void } = {
    [MessageKind.Admitted]: (link, msg) => settle(link, msg, Ok(msg.hold)),
    [MessageKind.Refused]: (link, msg) => settle(link, msg, Err(msg.code)),
    [MessageKind.EngineCapacity]: (_link, msg) => {
      const worker = directory.fleet.get(msg.workerId)
      if (worker === undefined) return
      worker.capacity = { receivedAtMs: timer.now(), freeTokens: msg.roomTokens, isPrefill: msg.reads, waitingRequests: msg.waiting, gateways: msg.senders }
    }
  }

  function onMessage (link: Link, msg: Message): void {
    const handle = handlers[msg.kind] as ((link: Link, msg: Message) => void) | undefined
    handle?.(link, msg)
  }

  function dialMissing (): void {
    for (const worker of directory.fleet.all()) {
      const address = worker.entry.stage === undefined ? undefined : addressOf(worker)
      if (address !== undefined && !links.has(address)) open(address)
    }
  }

  const dialling = timer.every(redialMs, dialMissing)
  let asks = 0

  return {
    isConnected: (worker) => worker.capacity !== undefined && links.get(addressOf(worker) ?? '')?.connection !== undefined,
    reserve (worker, ask, reads) {
      const link = links.get(addressOf(worker) ?? '')
      const attempt = ++asks
      const sent = link?.connection?.send({ kind: MessageKind.Admit, attempt, workerId: worker.entry.id, reads, ...ask })
      if (link === undefined || !sent) return Promise.resolve(Err(RefusalCode.Unreachable))
      const key = `${ask.requestId}/${attempt}`
      return new Promise((resolve) => {
        const finish = (answer: Result<string, RefusalCode>): void => {
          late.cancel()
          link.waiting.delete(key)
          resolve(answer)
        }
        const late = timer.after(askTimeoutMs, () => finish(Err(RefusalCode.Unreachable)))
        link.waiting.set(key, finish)
      })
    },
    release (worker, requestId) {
      links.get(addressOf(worker) ?? '')?.connection?.send({ kind: MessageKind.Cancel, requestId, attempt: 0 })
    },
    reportStreamEnd (worker, requestId, whole) {
      links.get(addressOf(worker) ?? '')?.connection?.send({ kind: MessageKind.StreamEnded, requestId, attempt: 0, whole })
    },
    close () {
      closed = true
      dialling.cancel()
      for (const link of links.values()) link.connection?.close()
    }
  }
}
