/**
 * The command `explain` on log files: merges the lines that several processes logged about one request into a timeline.
 */
import type { LogRecord } from '../log/mod.ts'
import type { Output } from './check_files.ts'
import { ExitCode } from './_exit_code.ts'
import { readText } from './_read_file.ts'

/** Messages that name no request but can explain its outcome, when the same process logged them during the request or shortly before. */
const contextMessages = new Set([
  'configuration in force', 'worker', 'worker gone', 'order', 'stopping', 'stopped', 'listening', 'store does not answer',
  'store answers again', 'sidecar lost', 'sidecar connected', 'records learned', 'entry cannot be read'
])
/** Context lines are printed from this time in milliseconds before the first line of their process about the request. */
const contextBeforeMs = 2_000
/** Fields that every line has: printed at its start or left out, not among its details. */
const commonFields = new Set(['name', 'level', 'msg', 'time', 'request', 'steadyMs'])

interface LogLine extends LogRecord {
  name: string
  msg: string
  time: string
}

/**
 * Prints the log lines of a request, oldest first, with context lines of the processes that logged them.
 *
 * @param requestId the identifier of the request, as the client sent it
 * @param files log files of any number of processes; text before the JSON of a line is ignored
 * @param output receives the timeline, or an error
 * @returns 0, or 1 when a file cannot be read or no line names the request
 *
 * @example
 * ```ts
 * process.exitCode = explainRequestFromLogs('9c41', ['edge-1.log'], { out: console.log, err: console.error })
 * ```
 */
export function explainRequestFromLogs (requestId: string, files: readonly string[], output: Output): ExitCode {
  const lines: LogLine[] = []
  for (const file of files) {
    const text = readText(file)
    if (text.err) {
      output.err(`explain: ${text.val}`)
      return ExitCode.Failed
    }
    lines.push(...text.val.split('\n').flatMap(parseLine))
  }
  const timeline = selectLines(requestId, lines)
  if (timeline.length === 0) {
    output.err(`explain: none of ${lines.length} log lines names request "${requestId}"`)
    return ExitCode.Failed
  }
  for (const line of timeline) output.out(formatLine(line, requestId))
  return ExitCode.Ok
}

function parseLine (text: string): LogLine[] {
  const at = text.indexOf('{"name"')
  if (at < 0) return []
  try {
    return [JSON.parse(text.slice(at)) as LogLine]
  } catch {
    return [] // The last line of a process that ended can be truncated.
  }
}

function selectLines (requestId: string, lines: readonly LogLine[]): LogLine[] {
  const requestLines = lines.filter((line) => line.request === requestId)
  const spans = new Map<string, { fromMs: number, toMs: number }>()
  for (const { name, time } of requestLines) {
    const ms = Date.parse(time)
    const span = spans.get(name)
    spans.set(name, { fromMs: Math.min(ms - contextBeforeMs, span?.fromMs ?? Infinity), toMs: Math.max(ms, span?.toMs ?? 0) })
  }
  const selected = lines.filter((line) => {
    if (line.request === requestId) return true
    const span = spans.get(line.name)
    const ms = Date.parse(line.time)
    return span !== undefined && contextMessages.has(line.msg) && ms >= span.fromMs && ms <= span.toMs
  })
  return selected.sort((a, b) => a.time < b.time ? -1 : a.time > b.time ? 1 : 0)
}

function formatLine (line: LogLine, requestId: string): string {
  const fields = Object.entries(line).filter(([name]) => !commonFields.has(name))
  const text = fields.map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`).join(' ')
  return `${line.time} ${line.name} ${line.request === requestId ? '' : '(context) '}${line.msg}: ${text}`
}
