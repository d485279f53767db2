/**
 * The log of a process: one JSON object a line.
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
  level: LogLevel
  /** Where the lines go; standard output by default. */
  stream?: NodeJS.WritableStream
  /** Where the records go instead of to a stream, with the time of the steady clock. */
  boundedOutput?: { stream: BoundedStream, now: () => number }
}

/** Typed fields of a log line. */
export type LogFields = Record<string, unknown>

/** Writes log lines. */
export interface Log {
  /** Writes the line of one decision, at level info. */
  decision (decision: Decision): void
  debug (fields: LogFields, text: string): void
  info (fields: LogFields, text: string): void
  warn (fields: LogFields, text: string): void
  error (fields: LogFields, text: string): void
}

/**
 * Creates the log of a process.
 *
 * @param options the name, the lowest level that is written, and the stream
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
  const { name, level, stream = process.stdout, boundedOutput: bounded } = options
  const output = bounded === undefined ? { stream } : { streams: [{ type: 'raw', stream: rawStream(bounded) }] }
  const logger = bunyan.createLogger({ name, level, ...output, serializers: { err: bunyan.stdSerializers.err } })
  return {
    decision: (decision) => { logger.info({ decision }, decision.kind) },
    debug: (fields, text) => { logger.debug(fields, text) },
    info: (fields, text) => { logger.info(fields, text) },
    warn: (fields, text) => { logger.warn(fields, text) },
    error: (fields, text) => { logger.error(fields, text) }
  }
}

/** Adds the time of the steady clock, since the time of day may jump, and drops what is the same in every line. */
function rawStream (bounded: NonNullable<LogOptions['boundedOutput']>): NodeJS.WritableStream {
  const raw = {
    write ({ hostname: _hostname, pid: _pid, v: _version, ...record }: LogRecord): void {
      bounded.stream.write({ ...record, steadyMs: Math.round(bounded.now()) } as LogRecord)
    }
  }
  return raw as unknown as NodeJS.WritableStream // bunyan calls nothing but `write` on a raw stream.
}
