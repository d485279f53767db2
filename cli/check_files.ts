/**
 * The command `check`: validates settings files, policies and files of configuration records.
 */
import { Err, Ok } from '../core/results/mod.ts'
import type { Result } from '../core/results/mod.ts'
import { findDanglingReferences, formatProblem, loadPolicy, loadRecords, loadSettings, parseJsonc } from '../settings/mod.ts'
import { isNodeSettings, parseNodeSettings } from '../platform/mod.ts'
import type { LoadedRecord, SettingsProblem } from '../settings/mod.ts'
import { ExitCode } from './_exit_code.ts'
import { readText } from './_read_file.ts'

/** Receives the lines of a command. */
export interface Output {
  /** Writes a line to standard output. */
  out (line: string): void
  /** Writes a line to standard error. */
  err (line: string): void
}

/**
 * Checks files and prints each fault with file, line, path and what was expected.
 *
 * @param files the names of the files
 * @param output where the lines go
 * @returns 0 when every file is valid, 1 otherwise
 *
 * @example
 * ```ts
 * console.assert(check([], { out: console.log, err: console.error }) === 1)
 * ```
 */
export function checkFiles (files: string[], output: Output): ExitCode {
  if (files.length === 0) {
    output.err('check: expected at least one FILE')
    return ExitCode.Failed
  }
  const loaded: LoadedRecord[] = []
  let code = ExitCode.Ok
  for (const file of files) {
    const result = checkFile(file)
    if (result.err) {
      for (const line of result.val) output.err(line)
      code = ExitCode.Failed
    } else {
      loaded.push(...result.val.records)
      output.out(`${file}: valid ${result.val.what}`)
    }
  }
  const missing = findDanglingReferences(loaded)
  for (const problem of missing) output.err(formatProblem(problem))
  return missing.length > 0 ? ExitCode.Failed : code
}

interface Checked {
  what: string
  records: LoadedRecord[]
}

function checkFile (file: string): Result<Checked, string[]> {
  const text = readText(file)
  if (text.err) return Err([text.val])
  const { value } = parseJsonc(text.val, file)
  if (isNodeSettings(value)) {
    const node = parseNodeSettings(text.val)
    return node.ok ? Ok({ what: `platform settings of "${node.val.machine}"`, records: [] }) : Err([`${file}: ${node.val}`])
  }
  if (hasField(value, 'stages') || hasField(value, 'packing')) {
    const policy = loadPolicy(text.val, { file })
    return policy.ok ? Ok({ what: 'policies', records: [] }) : format(policy.val)
  }
  if (hasField(value, 'records')) {
    const records = loadRecords(text.val, { file })
    return records.ok ? Ok({ what: `records (${records.val.length})`, records: records.val }) : format(records.val)
  }
  const settings = loadSettings(text.val, { file })
  return settings.ok ? Ok({ what: `settings of an ${settings.val.process}`, records: [] }) : format(settings.val)
}

function hasField (value: unknown, field: string): boolean {
  return typeof value === 'object' && value !== null && field in value
}

function format (problems: SettingsProblem[]): Result<Checked, string[]> {
  return Err(problems.map(formatProblem))
}
