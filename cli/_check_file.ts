/**
 * Checks one file that an operator names.
 */
import { checkRoutingRules } from '../core/findings/mod.ts'
import { decodeRoutingRules, isNodeSettings, isRoutingRules, parseNodeSettings } from '../platform/mod.ts'
import { formatProblem, loadPolicy, loadRecords, loadSettings, parseJsonc } from '../settings/mod.ts'
import { readText } from './_read_file.ts'
import type { Difference, Finding } from '../core/findings/mod.ts'
import type { Result } from '../core/results/mod.ts'
import type { RoutingRules } from '../core/route/mod.ts'
import type { LoadedRecord, SettingsProblem } from '../settings/mod.ts'

/** What the check of one file has shown. */
export interface FileReport {
  file: string
  /** What a valid file holds, for the output. */
  description?: string
  /** Why the file is invalid, a line each. */
  problems: string[]
  findings: Finding[]
  differences: Difference[]
  /** The configuration that the file holds, if any. */
  records: LoadedRecord[]
  rules?: RoutingRules
}

/** Reads and checks one file, whose kind follows from its fields. */
export function checkFile (file: string): FileReport {
  const text = readText(file)
  if (text.err) return createReport(file, { problems: [text.val] })
  const { value } = parseJsonc(text.val, file)
  if (isNodeSettings(value)) return reportNodeSettings(file, text.val)
  if (isRoutingRules(value)) return reportRoutingRules(file, text.val)
  if (hasField(value, 'stages') || hasField(value, 'packing')) return reportLoaded(file, loadPolicy(text.val, { file }), () => ({ description: 'policies' }))
  if (hasField(value, 'records')) {
    return reportLoaded(file, loadRecords(text.val, { file }), (records) => ({ description: `records (${records.length})`, records }))
  }
  return reportLoaded(file, loadSettings(text.val, { file }), (settings) => ({ description: `settings of an ${settings.process}` }))
}

function createReport (file: string, fields: Partial<FileReport>): FileReport {
  return { file, problems: [], findings: [], differences: [], records: [], ...fields }
}

function reportLoaded<T> (file: string, loaded: Result<T, SettingsProblem[]>, describe: (value: T) => Partial<FileReport>): FileReport {
  return createReport(file, loaded.ok ? describe(loaded.val) : { problems: loaded.val.map(formatProblem) })
}

function reportNodeSettings (file: string, text: string): FileReport {
  const node = parseNodeSettings(text)
  return createReport(file, node.ok ? { description: `platform settings of "${node.val.machine}"` } : { problems: [`${file}: ${node.val}`] })
}

function reportRoutingRules (file: string, text: string): FileReport {
  const rules = decodeRoutingRules(text, { hasOrganisations: true, hasAllowances: true })
  if (rules.err) return createReport(file, { problems: [`${file}: ${rules.val}`] })
  return createReport(file, { description: `routing rules of version ${rules.val.version}`, rules: rules.val, findings: checkRoutingRules(rules.val) })
}

function hasField (value: unknown, field: string): boolean {
  return typeof value === 'object' && value !== null && field in value
}
