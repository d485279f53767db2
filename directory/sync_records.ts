/**
 * Records between processes of the system, for those that start while the store cannot be read.
 */
import { connect, listen, MessageKind, parseAddress } from '../wire/mod.ts'
import type { Log } from '../log/mod.ts'
import type { Timer } from '../timer/mod.ts'
import type { Directory } from './create_directory.ts'

/** Configures the exchange of records. */
export interface SyncRecordsOptions {
  directory: Directory
  timer: Timer
  log: Log
  /** Address `ip:port` at which other processes ask; absent for a process that only asks. */
  address?: string
  /** Addresses of processes that may know the records. */
  seeds: readonly string[]
}

/** Answers other processes, and asks them until the store has been read. */
export interface RecordSync {
  close (): Promise<void>
}

/** Time in milliseconds between two rounds of questions; a round is a few small connections. */
const askPeriodMs = 400
const askTimeoutMs = 350

/**
 * Begins to answer other processes, and asks them for records until the store has been read.
 *
 * @param options the directory, addresses, timer and log
 * @returns the exchange
 *
 * @example
 * ```ts
 * import { exchangeRecords } from 'briarloom/directory'
 *
 * console.assert(typeof exchangeRecords === 'function')
 * ```
 */
export async function syncRecords (options: SyncRecordsOptions): Promise<RecordSync> {
  const { directory, timer, log, address } = options
  const seeds = options.seeds.filter((seed) => seed !== address)

  async function ask (seed: string): Promise<void> {
    const made = await connect({ address: seed, connectTimeoutMs: askTimeoutMs })
    if (made.err) return
    const connection = made.val
    const late = timer.after(askTimeoutMs, () => connection.close())
    connection.onClose(() => late.cancel())
    connection.onMessage((msg) => {
      if (msg.kind !== MessageKind.ConfigRecords) return
      if (!directory.hasReadStore()) {
        directory.applyRecords(msg.changes)
        log.info({ seed, records: msg.changes.length, revision: msg.revision }, 'records learned')
      }
      connection.close()
    })
    connection.send({ kind: MessageKind.ConfigDigest, revision: directory.revision(), wants: true })
  }

  const asking = timer.every(askPeriodMs, () => {
    if (directory.hasReadStore()) asking.cancel()
    else for (const seed of seeds) ask(seed)
  })

  const own = address === undefined ? undefined : parseAddress(address)
  const listener = own === undefined || own.err
    ? undefined
    : await listen({
      ...own.val,
      onConnection (connection) {
        connection.onMessage((msg) => {
          if (msg.kind !== MessageKind.ConfigDigest) return
          const revision = directory.revision()
          connection.send({ kind: MessageKind.ConfigRecords, revision, complete: false, changes: directory.records() })
        })
      }
    })
  if (listener?.err) log.error({ reason: listener.val.message }, 'not listening')

  return {
    async close () {
      asking.cancel()
      if (listener?.ok) await listener.val.close()
    }
  }
}
