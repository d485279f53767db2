/**
 * A stream of log lines that never blocks its process and is bounded in bytes a second and in bytes that wait.
 */
import { fstatSync } from 'node:fs'
import { Socket } from 'node:net'
import type { Writable } from 'node:stream'

/** A log record as bunyan hands it to a raw stream. */
export interface LogRecord {
  level: number
  [field: string]: unknown
}

/** Configures a bounded stream. */
export interface BoundedStreamOptions {
  /** Bytes a second on average; twice as many may come at once. */
  maxBytesPerS: number
  /** Bytes that may wait for a reader; 256 KiB by default. */
  maxWaitingBytes?: number
  /** Returns monotonic time in milliseconds. */
  now: () => number
  /** Where the lines go; standard output by default. */
  out?: Writable
}

/** Writes log lines within bounds. */
export interface BoundedStream {
  write (record: LogRecord): void
  /** Number of lines that were dropped so far. */
  droppedLines (): number
}

const defaultMaxWaitingBytes = 262_144
/** Seconds of the average rate that may come at once. */
const burstS = 2
/** Lines below this level of bunyan tell of success; they are dropped first. */
const importantLevel = 40
/** Share of the bounds that is kept for lines which tell of failures. */
const importantShare = 0.5

/**
 * Creates a bounded stream. Lines about success are dropped first; how many were dropped stands in the next line that is written.
 *
 * @param options the bounds, in bytes and bytes a second
 * @returns the stream
 *
 * @example
 * ```ts
 * import { createBoundedStream } from 'briarloom/log'
 *
 * console.assert(createBoundedStream({ maxBytesPerS: 1000, now: () => 0 }).dropped() === 0)
 * ```
 */
export function createBoundedStream (options: BoundedStreamOptions): BoundedStream {
  const { maxBytesPerS, now, maxWaitingBytes = defaultMaxWaitingBytes, out = openOutput() } = options
  const burst = maxBytesPerS * burstS
  let left = burst
  let lastMs = now()
  let dropped = 0
  let told = 0
  out.on('error', () => {}) // Nobody reads the log any more; there is no other place to say so.

  function mayWrite (bytes: number, level: number): boolean {
    const nowMs = now()
    left = Math.min(burst, left + (nowMs - lastMs) * maxBytesPerS / 1000)
    lastMs = nowMs
    const kept = level < importantLevel ? importantShare : 0
    if (left - bytes < kept * burst) return false
    return out.writableLength + bytes <= maxWaitingBytes * (1 - kept)
  }

  return {
    write (record) {
      const text = JSON.stringify(dropped > told ? { ...record, droppedLines: dropped } : record) + '\n'
      if (!mayWrite(text.length, record.level)) {
        dropped++
        return
      }
      told = dropped
      left -= text.length
      out.write(text)
    },
    droppedLines: () => dropped
  }
}

/** Opens standard output so that writes to a pipe do not block, as those of `process.stdout` do. */
function openOutput (): Writable {
  const kind = fstatSync(1)
  return kind.isFIFO() || kind.isSocket() ? new Socket({ fd: 1, readable: false, writable: true }) : process.stdout
}
