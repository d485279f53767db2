/**
 * The command `check`: validates settings files, policy files, routing rules and files of configuration records, and finds what in them
 * cannot work.
 */
import { ChangeKind, checkRecords, checkSuccession, compareRecords, compareRoutingRules, FindingLevel } from '../core/findings/mod.ts'
import { findDanglingReferences, formatProblem } from '../settings/mod.ts'
import { checkFile } from './_check_file.ts'
import { ExitCode } from './_exit_code.ts'
import type { Difference, Finding } from '../core/findings/mod.ts'
import type { LoadedRecord } from '../settings/mod.ts'
import type { FileReport } from './_check_file.ts'

/** Receives the output lines of a command. */
export interface Output {
  /** Writes a line to standard output. */
  out (line: string): void
  /** Writes a line to standard error. */
  err (line: string): void
}

/** Configures a check. */
export interface CheckOptions {
  /** Name of the file with the configuration in force, with which the checked files are compared. */
  against?: string | undefined
  /** True to print one JSON object in place of lines. */
  json?: boolean | undefined
}

/**
 * Validates files and prints each problem with file, line, path and what was expected; then what in a valid configuration cannot work, has
 * no effect or contradicts another part, and what differs from the configuration in force. Keys of callers are never printed.
 *
 * @param files the names of the files
 * @param output receives one line for each valid file and each difference, and the problems and findings on standard error
 * @param options the file to compare with, and the form of the output
 * @returns 0 when nothing was found, 1 when a file is invalid or something in it cannot work, 2 when there are only warnings
 *
 * @example
 * ```ts
 * console.assert(checkFiles([], { out: console.log, err: console.error }) === 1)
 * ```
 */
export function checkFiles (files: string[], output: Output, options: CheckOptions = {}): ExitCode {
  if (files.length === 0) {
    output.err('check: expected at least one FILE')
    return ExitCode.Failed
  }
  const reports = files.map(checkFile)
  addRecordFindings(reports)
  if (options.against !== undefined) addDifferences(reports, options.against)
  if (options.json) output.out(JSON.stringify({ files: reports.map(encodeReport) }))
  else for (const report of reports) print(report, output)
  if (reports.some(({ problems, findings }) => problems.length > 0 || findings.some(({ level }) => level === FindingLevel.Error))) return ExitCode.Failed
  return reports.some(({ findings }) => findings.length > 0) ? ExitCode.Warned : ExitCode.Ok
}

/** Checks the records of all files together, because they refer to each other. */
function addRecordFindings (reports: FileReport[]): void {
  const records = reports.flatMap((report) => report.records)
  for (const problem of findDanglingReferences(records)) findReport(reports, problem.file)?.problems.push(formatProblem(problem))
  const files = new Map(records.map(({ key, file }) => [key, file]))
  for (const finding of checkRecords(records.map(({ record }) => record))) findReport(reports, files.get(finding.subject))?.findings.push(finding)
}

function findReport (reports: FileReport[], file: string | undefined): FileReport | undefined {
  return reports.find((report) => report.file === file)
}

/** Compares routing rules, or the records of all files together, with the file in force. */
function addDifferences (reports: FileReport[], file: string): void {
  const inForce = checkFile(file)
  const first = reports[0] as FileReport
  first.problems.push(...inForce.problems)
  if (inForce.problems.length > 0) return
  const rules = reports.find((report) => report.rules !== undefined)
  const records = reports.flatMap((report) => report.records)
  if (rules?.rules !== undefined && inForce.rules !== undefined) {
    rules.findings.push(...checkSuccession(inForce.rules, rules.rules))
    rules.differences.push(...compareRoutingRules(inForce.rules, rules.rules))
  } else if (records.length > 0 && inForce.records.length > 0) {
    first.differences.push(...compareRecords(listRecords(inForce.records), listRecords(records)))
  } else {
    first.problems.push(`${file}: holds no configuration of the kind that is checked`)
  }
}

function listRecords (loaded: readonly LoadedRecord[]): Array<LoadedRecord['record']> { return loaded.map(({ record }) => record) }

const changeWords: { readonly [K in ChangeKind]: string } = {
  [ChangeKind.Added]: 'added', [ChangeKind.Removed]: 'removed', [ChangeKind.Changed]: 'changed'
}

function print ({ file, description, problems, findings, differences }: FileReport, output: Output): void {
  if (problems.length === 0 && description !== undefined) output.out(`${file}: valid ${description}`)
  for (const line of problems) output.err(line)
  for (const { level, subject, text } of findings) output.err(`${file}: ${level}: ${subject} ${text}`)
  for (const { kind, subject, text } of differences) output.out(`${file}: ${changeWords[kind]}: ${subject}: ${text}`)
}

/** The report of one file as it is printed in JSON. */
interface EncodedReport {
  file: string
  description: string | undefined
  problems: string[]
  findings: Finding[]
  differences: Difference[]
}

function encodeReport ({ file, description, problems, findings, differences }: FileReport): EncodedReport {
  return { file, description, problems, findings, differences }
}
