/**
 * Loads files of configuration records, which operators edit before they publish the records.
 */
import { Err, Ok } from '../core/results/mod.ts'
import { decodeRecord, RecordKind } from '../core/records/mod.ts'
import type { ConfigRecord } from '../core/records/mod.ts'
import type { Result } from '../core/results/mod.ts'
import { parseJsonc } from './_parse_jsonc.ts'
import type { KeyPath, ParsedFile } from './_parse_jsonc.ts'
import type { SettingsProblem } from './_problem.ts'

/** Configures `loadRecords`. */
export interface LoadRecordsOptions {
  /** Name of the file, for the problems. */
  file: string
}

/** A decoded record with the text to publish and its position in the file. */
export interface LoadedRecord {
  /** Key in the configuration service, `KIND/NAME`. */
  key: string
  /** JSON text to publish to the configuration service. */
  value: string
  record: ConfigRecord
  /** Name of the file. */
  file: string
  /** Line of the record, counted from 1. */
  line: number
}

/**
 * Loads configuration records from JSON with comments: `{ "records": { "tier/gratuit": { … } } }`.
 *
 * @param text the text of the file
 * @param options the name of the file
 * @returns the records, or every problem, at most one for each record, with its line, its path and what was expected
 *
 * @example
 * ```ts
 * import { loadRecords } from 'briarloom/settings'
 *
 * const records = loadRecords('{ "records": { "tier/gratuit": { "schema": 9 } } }', { file: 'records.jsonc' })
 * console.assert(records.err)
 * ```
 */
export function loadRecords (text: string, options: LoadRecordsOptions): Result<LoadedRecord[], SettingsProblem[]> {
  const { file } = options
  const parsed = parseJsonc(text, file)
  if (parsed.problems.length > 0) return Err(parsed.problems)
  const recordsByKey = getRecordsByKey(parsed.value)
  if (recordsByKey === undefined) return Err([{ file, line: 1, path: 'records', expected: 'an object of records by key' }])
  const loaded: LoadedRecord[] = []
  const problems: SettingsProblem[] = []
  for (const [key, value] of Object.entries(recordsByKey)) {
    const result = decodeFileRecord(key, value, parsed, file)
    if (result.err) problems.push(result.val)
    else loaded.push(result.val)
  }
  return problems.length > 0 ? Err(problems) : Ok(loaded)
}

/** Returns the value of the key `records`, or undefined when it is not an object. */
function getRecordsByKey (value: unknown): Record<string, unknown> | undefined {
  const records = (value as { records?: unknown } | undefined | null)?.records
  return typeof records === 'object' && records !== null ? records as Record<string, unknown> : undefined
}

/** Decodes one record of a file; a problem gets the line of the invalid field. */
function decodeFileRecord (key: string, value: unknown, parsed: ParsedFile, file: string): Result<LoadedRecord, SettingsProblem> {
  const text = JSON.stringify(value)
  const decoded = decodeRecord(key, text)
  if (decoded.ok) return Ok({ key, value: text, record: decoded.val, file, line: parsed.findLine(['records', key]) })
  const fieldPath: KeyPath = decoded.val.path === '' ? [] : decoded.val.path.split('.').map(toPathKey)
  const path: KeyPath = ['records', key, ...fieldPath]
  return Err({ file, line: parsed.findLine(path), path: path.join('.'), expected: decoded.val.expected })
}

/** Converts a part of a path to a key of the syntax tree, where array indices are numbers. */
function toPathKey (part: string): string | number {
  return /^\d+$/.test(part) ? Number(part) : part
}

/** A reference from one record to another. */
interface Reference {
  /** Kind and name of the record that is referred to. */
  kind: RecordKind
  name: string
  /** Path of the field that refers to it. */
  path: string
}

type ReferenceFinders = { [K in RecordKind]?: (record: Extract<ConfigRecord, { kind: K }>) => Reference[] }

/** For each kind of record, the references that a record of this kind contains. */
const referenceFinders: ReferenceFinders = {
  [RecordKind.Tier]: ({ models }) => models.map(({ model }) => ({ kind: RecordKind.Model, name: model, path: 'models' })),
  [RecordKind.Caller]: ({ tier }) => [{ kind: RecordKind.Tier, name: tier, path: 'tier' }],
  [RecordKind.Backend]: ({ role, serves }) => {
    const kind = role === 'service' ? RecordKind.Service : RecordKind.Model
    return serves === '' ? [] : [{ kind, name: serves, path: 'serves' }]
  }
}

/**
 * Finds references to records that do not exist. References to a kind of which no record is given are accepted, since those
 * records may be in a file that was not loaded.
 *
 * @param loaded the records of all files that belong together
 * @returns one problem for each reference to a missing record
 *
 * @example
 * ```ts
 * import { findDanglingReferences } from 'briarloom/settings'
 *
 * console.assert(findDanglingReferences([]).length === 0)
 * ```
 */
export function findDanglingReferences (loaded: LoadedRecord[]): SettingsProblem[] {
  const known = new Set(loaded.map(({ record }) => `${record.kind}/${record.name}`))
  const kinds = new Set(loaded.map(({ record }) => record.kind))
  return loaded.flatMap(({ key, record, file, line }) => {
    const findReferences = referenceFinders[record.kind] as ((record: ConfigRecord) => Reference[]) | undefined
    const missing = (findReferences?.(record) ?? []).filter(({ kind, name }) => kinds.has(kind) && !known.has(`${kind}/${name}`))
    return missing.map(({ kind, name, path }) => ({
      file, line, path: `records.${key}.${path}`, expected: `the name of a ${kind} record; there is no "${kind}/${name}"`
    }))
  })
}
