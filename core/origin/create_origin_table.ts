/**
 * The table of what began streams.
 */

/** The service that began a stream, and the software version of the worker that wrote its first event. */
export interface Origin {
  service: string
  softwareVersion: string
}

/** An origin with the client attempt that brought the first event of the stream. */
export interface OriginRecord extends Origin {
  requestId: string
}

/** Configures a table. */
export interface OriginTableOptions {
  /** Number of records beyond which the oldest are dropped. */
  maxRecords: number
  /** Time in milliseconds for which a record is kept after it was last recorded or found. */
  keepMs: number
}

/** Remembers what began streams. */
export interface OriginTable {
  /** Records an origin; one that contradicts what is known of the same request leaves it unknown. Returns true when that changed something. */
  record (record: OriginRecord, nowMs: number): boolean
  /** Returns what began the stream of a request; undefined when that is not known. */
  find (requestId: string, nowMs: number): Origin | undefined
  /** Tells whether contradictory origins were recorded for a request. */
  isAmbiguous (requestId: string): boolean
  /** Returns the records, the oldest first, without ambiguous and lapsed ones. */
  list (nowMs: number): OriginRecord[]
  size (): number
}

interface Entry {
  /** Undefined when contradictory origins were recorded. */
  origin: Origin | undefined
  untilMs: number
}

/**
 * Creates an empty table.
 *
 * Only what a gateway saw is recorded: the version of the worker whose event it was about to pass on. A record that is lost makes a stream
 * one of unknown origin, never one of another version.
 *
 * @param options the bounds in number and time
 * @returns the table
 *
 * @example
 * ```ts
 * import { createOriginTable } from 'briarloom/core/origin'
 *
 * const origins = createOriginTable({ maxRecords: 10, keepMs: 1000 })
 * origins.record({ requestId: 'a', service: 'llm', softwareVersion: 'v1' }, 0)
 * console.assert(origins.find('a', 900)?.softwareVersion === 'v1' && origins.find('b', 900) === undefined)
 * ```
 */
export function createOriginTable ({ maxRecords, keepMs }: OriginTableOptions): OriginTable {
  /** In the order in which they lapse, since all are kept for the same time. */
  const entries = new Map<string, Entry>()

  function keep (requestId: string, origin: Origin | undefined, nowMs: number): void {
    entries.delete(requestId)
    entries.set(requestId, { origin, untilMs: nowMs + keepMs })
  }

  function dropOldest (nowMs: number): void {
    for (const [requestId, { untilMs }] of entries) {
      if (entries.size <= maxRecords && untilMs > nowMs) return
      entries.delete(requestId)
    }
  }

  return {
    record ({ requestId, service, softwareVersion }, nowMs) {
      const known = entries.get(requestId)
      const isNew = known === undefined || known.untilMs <= nowMs
      const isSame = known?.origin?.service === service && known.origin.softwareVersion === softwareVersion
      keep(requestId, isNew || isSame ? { service, softwareVersion } : undefined, nowMs)
      dropOldest(nowMs)
      return isNew || (!isSame && known.origin !== undefined)
    },
    find (requestId, nowMs) {
      const known = entries.get(requestId)
      if (known === undefined || known.untilMs <= nowMs) return undefined
      keep(requestId, known.origin, nowMs)
      return known.origin
    },
    isAmbiguous (requestId) {
      const known = entries.get(requestId)
      return known !== undefined && known.origin === undefined
    },
    list: (nowMs) => [...entries].flatMap(([requestId, { origin, untilMs }]) => origin === undefined || untilMs <= nowMs ? [] : [{ requestId, ...origin }]),
    size: () => entries.size
  }
}
