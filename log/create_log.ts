/**
 * Log of a process: one JSON object per line.
 */
import bunyan from 'bunyan'
import type { Decision } from './_decision.ts'
import type { BoundedStream, LogRecord } from './create_bounded_stream.ts'

/** Names the levels of log lines. */
export type LogLevel = 'trace' | 'debug' | 'info' | 'warn' | 'error' | 'fatal'

/** Configures a log. */
export interface LogOptions {
  /** Name of the process. */
  name: string
  /** Lowest level that is written. */
  level: LogLevel
  /** Destination of the lines; standard output by default. */
  stream?: NodeJS.WritableStream
  /** Destination of the records instead of `stream`; `now` returns monotonic time in milliseconds for the field `steadyMs`. */
  boundedOutput?: { stream: BoundedStream, now: () => number }
}

/** Fields of a log line by name. */
export type LogFields = Record<string, unknown>

/** Writes log lines of a process. */
export interface Log {
  /** Writes one decision at level info, with its kind as the message. */
  decision (decision: Decision): void
  /** Writes a line at level debug. */
  debug (fields: LogFields, message: string): void
  /** Writes a line at level info. */
  info (fields: LogFields, message: string): void
  /** Writes a line at level warn. */
  warn (fields: LogFields, message: string): void
  /** Writes a line at level error. */
  error (fields: LogFields, message: string): void
}

/**
 * Creates the log of a process.
 *
 * @param options the name, the lowest level that is written, and the destination
 * @returns the log
 *
 * @example
 * ```ts
 * import { createLog } from 'briarloom/log'
 *
 * createLog({ name: 'levis-1', level: 'info' }).info({ address: '127.0.0.1:7001' }, 'ready')
 * ```
 */
export function createLog (options: LogOptions): Log {
  const { name, level, stream = process.stdout, boundedOutput } = options
  const output = boundedOutput === undefined ? { stream } : { streams: [{ type: 'raw', stream: createRawStream(boundedOutput) }] }
  const logger = bunyan.createLogger({ name, level, ...output, serializers: { err: bunyan.stdSerializers.err } })
  return {
    decision: (decision) => { logger.info({ decision }, decision.kind) },
    debug: (fields, message) => { logger.debug(fields, message) },
    info: (fields, message) => { logger.info(fields, message) },
    warn: (fields, message) => { logger.warn(fields, message) },
    error: (fields, message) => { logger.error(fields, message) }
  }
}

/**
 * Returns a raw stream for bunyan that adds monotonic time, since wall-clock time can jump, and omits the fields that are the
 * same in every line.
 */
function createRawStream (boundedOutput: NonNullable<LogOptions['boundedOutput']>): NodeJS.WritableStream {
  const rawStream = {
    write ({ hostname: _hostname, pid: _pid, v: _version, ...record }: LogRecord): void {
      boundedOutput.stream.write({ ...record, steadyMs: Math.round(boundedOutput.now()) } as LogRecord)
    }
  }
  return rawStream as unknown as NodeJS.WritableStream // bunyan calls only `write` on a raw stream.
}
