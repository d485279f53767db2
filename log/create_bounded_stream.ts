/**
 * Stream of log lines that never blocks the process. It limits the bytes per second and the bytes that are buffered, and drops
 * the lines beyond these limits.
 */
import { fstatSync } from 'node:fs'
import { Socket } from 'node:net'
import type { Writable } from 'node:stream'

/** A log record as bunyan passes it to a raw stream. */
export interface LogRecord {
  /** Numeric level of bunyan: 30 is info, 40 warn, 50 error. */
  level: number
  [field: string]: unknown
}

/** Configures a bounded stream. */
export interface BoundedStreamOptions {
  /** Average bytes per second; a burst of twice as many is allowed. */
  maxBytesPerS: number
  /** Bytes that may be buffered until the reader takes them; 256 KiB by default. */
  maxWaitingBytes?: number
  /** Returns monotonic time in milliseconds. */
  now: () => number
  /** Destination of the lines; standard output by default. */
  out?: Writable
}

/** Writes log lines within the limits. */
export interface BoundedStream {
  /** Writes a record as one line of JSON, or drops it when it exceeds a limit. */
  write (record: LogRecord): void
  /** Returns the number of lines that were dropped so far. */
  droppedLines (): number
}

const defaultMaxWaitingBytes = 262_144
/** Size of a burst, in seconds of the average rate. */
const burstS = 2
/** Level `warn` of bunyan. Lines below it report success and are dropped first. */
const warnLevel = 40
/** Share of both limits that is reserved for lines about failures, at level `warn` and above. */
const failureLinesShare = 0.5

/**
 * Creates a bounded stream. Lines about success are dropped first. The next line that is written after a drop has the number of
 * lines dropped so far in its field `droppedLines`.
 *
 * @param options the limits in bytes and bytes per second, the clock and the destination
 * @returns the stream
 *
 * @example
 * ```ts
 * import { createBoundedStream } from 'briarloom/log'
 *
 * console.assert(createBoundedStream({ maxBytesPerS: 1000, now: () => 0 }).droppedLines() === 0)
 * ```
 */
export function createBoundedStream (options: BoundedStreamOptions): BoundedStream {
  const { maxBytesPerS, now, maxWaitingBytes = defaultMaxWaitingBytes, out = openOutput() } = options
  const burstBytes = maxBytesPerS * burstS
  let availableBytes = burstBytes
  let refilledAtMs = now()
  let droppedCount = 0
  let reportedCount = 0
  out.on('error', () => {}) // The reader has closed the log, and there is nowhere else to report that.

  /** Refills the token bucket and tells whether a line of this size and level is within both limits. */
  function canWrite (bytes: number, level: number): boolean {
    const nowMs = now()
    availableBytes = Math.min(burstBytes, availableBytes + (nowMs - refilledAtMs) * maxBytesPerS / 1000)
    refilledAtMs = nowMs
    const reservedShare = level < warnLevel ? failureLinesShare : 0
    if (availableBytes - bytes < reservedShare * burstBytes) return false
    return out.writableLength + bytes <= maxWaitingBytes * (1 - reservedShare)
  }

  return {
    write (record) {
      const line = JSON.stringify(droppedCount > reportedCount ? { ...record, droppedLines: droppedCount } : record) + '\n'
      if (!canWrite(line.length, record.level)) {
        droppedCount++
        return
      }
      reportedCount = droppedCount
      availableBytes -= line.length
      out.write(line)
    },
    droppedLines: () => droppedCount
  }
}

/** Opens standard output for non-blocking writes; writes of `process.stdout` to a pipe block the process. */
function openOutput (): Writable {
  const stat = fstatSync(1)
  return stat.isFIFO() || stat.isSocket() ? new Socket({ fd: 1, readable: false, writable: true }) : process.stdout
}
