/**
 * Copies store records between processes, for those that start while the store is unavailable or holds an older copy.
 */
import { comparePositions } from '../core/view/mod.ts'
import { connect, listen, MessageKind, parseAddress } from '../wire/mod.ts'
import { createChangesPacker, decodeChanges } from './_pack_changes.ts'
import type { StorePosition } from '../core/view/mod.ts'
import type { Log } from '../log/mod.ts'
import type { Timer } from '../timer/mod.ts'
import type { ListenBounds } from '../wire/mod.ts'
import type { Directory } from './_types.ts'

/** Configures the copying of records. */
export interface SyncRecordsOptions {
  directory: Directory
  timer: Timer
  log: Log
  /** Address `ip:port` at which other processes request records; absent for a process that only requests them. */
  address?: string
  /** Addresses of processes that may have the records. */
  seeds: readonly string[]
  /** Bounds of the listener; unlimited by default. */
  bounds?: ListenBounds
}

/** Sends records to other processes on request, and requests them once at the start and until the store has been read. */
export interface RecordSync {
  close (): Promise<void>
}

/** Interval in milliseconds between two rounds of requests; a round opens one short connection to each seed. */
const requestPeriodMs = 400
/** Time in milliseconds without a byte of the reply after which a request is given up. */
const requestTimeoutMs = 350

/**
 * Starts to send records to other processes on request, and requests records from the seeds, once at the start and until the store has been read.
 *
 * @param options the directory, addresses, timer and log
 * @returns a handle that stops it
 *
 * @example
 * ```ts
 * import { syncRecords } from 'briarloom/directory'
 *
 * console.assert(typeof syncRecords === 'function')
 * ```
 */
export async function syncRecords (options: SyncRecordsOptions): Promise<RecordSync> {
  const { directory, timer, log, address } = options
  const seeds = options.seeds.filter((seed) => seed !== address)
  /** Seeds that have been asked and may still reply: a second copy of a large reply would only delay the first. */
  const asked = new Set<string>()
  const pack = createChangesPacker()
  /** Position up to which a seed has given all its records; the later ones are asked for from then on. */
  let learned: Required<StorePosition> = { era: 0, revision: 0 }

  async function requestRecords (seed: string): Promise<void> {
    asked.add(seed)
    const connected = await connect({ address: seed, connectTimeoutMs: requestTimeoutMs })
    if (connected.err) {
      asked.delete(seed)
      return
    }
    const connection = connected.val
    let receivedBytes = 0
    const checks = timer.every(requestTimeoutMs, () => {
      if (connection.receivingBytes <= receivedBytes) connection.close()
      receivedBytes = connection.receivingBytes
    })
    connection.onClose(() => {
      asked.delete(seed)
      checks.cancel()
    })
    connection.onMessage((msg) => {
      if (msg.kind !== MessageKind.ConfigRecords) return
      const changes = decodeChanges(msg)
      if (changes.ok) {
        directory.applyRecords(changes.val)
        // Only a process that has read the store names the era: the records of others may lack earlier ones.
        if (msg.era !== undefined && comparePositions(learned, msg) < 0) learned = { era: msg.era, revision: msg.revision }
        log.info({ seed, records: changes.val.length, revision: msg.revision }, 'records learned')
      } else log.warn({ seed, reason: changes.val }, 'records not read')
      connection.close()
    })
    connection.send({ kind: MessageKind.ConfigDigest, ...learned, wants: true, readsPacked: true })
  }

  function requestFromSeeds (): void { for (const seed of seeds) if (!asked.has(seed)) requestRecords(seed) }

  const requestRounds = timer.every(requestPeriodMs, () => {
    if (directory.hasReadStore()) requestRounds.cancel()
    else requestFromSeeds()
  })
  // The store may have come back from an older copy just now, so other processes may know a higher version of the rules than it holds.
  requestFromSeeds()

  const listenAddress = address === undefined ? undefined : parseAddress(address)
  const listener = listenAddress === undefined || listenAddress.err
    ? undefined
    : await listen({
      ...listenAddress.val,
      ...options.bounds,
      onConnection (connection) {
        connection.onMessage((msg) => {
          if (msg.kind !== MessageKind.ConfigDigest) return
          const { era, revision } = directory.position()
          // A build that names no era asks for all records, whatever revision it names.
          const records = directory.records().filter((record) => msg.era === undefined || comparePositions(msg, record) < 0)
          const key = JSON.stringify([era, revision, directory.routeTable()?.version, records.length, msg.era, msg.revision])
          const carried = msg.readsPacked === true ? pack(key, records) : { changes: records }
          connection.send({ kind: MessageKind.ConfigRecords, ...(directory.hasReadStore() && { era }), revision, complete: false, ...carried })
        })
      }
    })
  if (listener?.err) log.error({ reason: listener.val.message }, 'not listening')

  return {
    async close () {
      requestRounds.cancel()
      if (listener?.ok) await listener.val.close()
    }
  }
}
