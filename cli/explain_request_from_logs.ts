/**
 * The command `explain` on log files: merges what several processes logged about one request into its story.
 */
import type { LogRecord } from '../log/mod.ts'
import type { Output } from './check_files.ts'
import { ExitCode } from './_exit_code.ts'
import { readText } from './_read_file.ts'

/** Lines without a request that explain what happened to one, when they come from the same process shortly before. */
const contextMessages = new Set([
  'configuration in force', 'worker', 'worker gone', 'order', 'stopping', 'stopped', 'listening', 'store does not answer',
  'store answers again', 'sidecar lost', 'sidecar connected', 'records learned', 'entry cannot be read'
])
/** Time in milliseconds before the first line of a request from which on context counts. */
const contextMs = 2_000
/** Fields that every line has, which the story shows first or not at all. */
const headFields = new Set(['name', 'level', 'msg', 'time', 'request', 'steadyMs'])

interface Line extends LogRecord {
  name: string
  msg: string
  time: string
}

/**
 * Prints the story of a request, oldest line first, with the context of the processes that touched it.
 *
 * @param requestId the identifier of the request, as the client sent it
 * @param files log files of any number of processes; text before the JSON of a line is ignored
 * @param output where the lines go
 * @returns 0, or 1 when a file cannot be read or no line names the request
 *
 * @example
 * ```ts
 * process.exitCode = explainLogs('9c41', ['edge-1.log'], { out: console.log, err: console.error })
 * ```
 */
export function explainRequestFromLogs (requestId: string, files: readonly string[], output: Output): ExitCode {
  const lines: Line[] = []
  for (const file of files) {
    const text = readText(file)
    if (text.err) {
      output.err(`explain: ${text.val}`)
      return ExitCode.Failed
    }
    lines.push(...text.val.split('\n').flatMap(parseLine))
  }
  const story = chooseLines(requestId, lines)
  if (story.length === 0) {
    output.err(`explain: none of ${lines.length} log lines names request "${requestId}"`)
    return ExitCode.Failed
  }
  for (const line of story) output.out(format(line, requestId))
  return ExitCode.Ok
}

function parseLine (text: string): Line[] {
  const at = text.indexOf('{"name"')
  if (at < 0) return []
  try {
    return [JSON.parse(text.slice(at)) as Line]
  } catch {
    return [] // A line that was cut when its process ended says nothing.
  }
}

function chooseLines (requestId: string, lines: readonly Line[]): Line[] {
  const own = lines.filter((line) => line.request === requestId)
  const spans = new Map<string, { fromMs: number, toMs: number }>()
  for (const { name, time } of own) {
    const ms = Date.parse(time)
    const span = spans.get(name)
    spans.set(name, { fromMs: Math.min(ms - contextMs, span?.fromMs ?? Infinity), toMs: Math.max(ms, span?.toMs ?? 0) })
  }
  const chosen = lines.filter((line) => {
    if (line.request === requestId) return true
    const span = spans.get(line.name)
    const ms = Date.parse(line.time)
    return span !== undefined && contextMessages.has(line.msg) && ms >= span.fromMs && ms <= span.toMs
  })
  return chosen.sort((a, b) => a.time < b.time ? -1 : a.time > b.time ? 1 : 0)
}

function format (line: Line, requestId: string): string {
  const fields = Object.entries(line).filter(([name]) => !headFields.has(name))
  const text = fields.map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`).join(' ')
  return `${line.time} ${line.name} ${line.request === requestId ? '' : '(context) '}${line.msg}: ${text}`
}
