/**
 * Reads files of configuration records, as operators keep them before they publish them.
 */
import { Err, Ok } from '../core/results/mod.ts'
import { decodeRecord, RecordKind } from '../core/records/mod.ts'
import type { ConfigRecord } from '../core/records/mod.ts'
import type { Result } from '../core/results/mod.ts'
import { parseJsonc } from './_parse_jsonc.ts'
import type { KeyPath, ParsedFile } from './_parse_jsonc.ts'
import type { SettingsProblem } from './_problem.ts'

/** Says where records come from. */
export interface LoadRecordsOptions {
  /** Name of the file, for the faults. */
  file: string
}

/** A record, the text to publish and its place in the file. */
export interface LoadedRecord {
  key: string
  /** The JSON text for the configuration service. */
  value: string
  record: ConfigRecord
  file: string
  line: number
}

/**
 * Reads configuration records from JSON with comments: `{ "records": { "tier/gratuit": { … } } }`.
 *
 * @param text the text of the file
 * @param options the name of the file
 * @returns the records, or every fault with its line, its path and what was expected
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
  const table = recordTable(parsed.value)
  if (table === undefined) return Err([{ file, line: 1, path: 'records', expected: 'an object of records by key' }])
  const loaded: LoadedRecord[] = []
  const problems: SettingsProblem[] = []
  for (const [key, value] of Object.entries(table)) {
    const result = decodeOne(key, value, parsed, file)
    if (result.err) problems.push(result.val)
    else loaded.push(result.val)
  }
  return problems.length > 0 ? Err(problems) : Ok(loaded)
}

function recordTable (value: unknown): Record<string, unknown> | undefined {
  const records = (value as { records?: unknown } | undefined | null)?.records
  return typeof records === 'object' && records !== null ? records as Record<string, unknown> : undefined
}

function decodeOne (key: string, value: unknown, parsed: ParsedFile, file: string): Result<LoadedRecord, SettingsProblem> {
  const text = JSON.stringify(value)
  const decoded = decodeRecord(key, text)
  if (decoded.ok) return Ok({ key, value: text, record: decoded.val, file, line: parsed.findLine(['records', key]) })
  const inside: KeyPath = decoded.val.path === '' ? [] : decoded.val.path.split('.').map(toKey)
  const path: KeyPath = ['records', key, ...inside]
  return Err({ file, line: parsed.findLine(path), path: path.join('.'), expected: decoded.val.expected })
}

/** Array indices of a path are numbers in the tree of the file. */
function toKey (part: string): string | number {
  return /^\d+$/.test(part) ? Number(part) : part
}

/** Names that one record takes from another. */
interface Reference {
  kind: RecordKind
  name: string
  path: string
}

type Finders = { [K in RecordKind]?: (record: Extract<ConfigRecord, { kind: K }>) => Reference[] }

const references: Finders = {
  [RecordKind.Tier]: ({ models }) => models.map(({ model }) => ({ kind: RecordKind.Model, name: model, path: 'models' })),
  [RecordKind.Caller]: ({ tier }) => [{ kind: RecordKind.Tier, name: tier, path: 'tier' }],
  [RecordKind.Backend]: ({ role, serves }) => {
    const kind = role === 'service' ? RecordKind.Service : RecordKind.Model
    return serves === '' ? [] : [{ kind, name: serves, path: 'serves' }]
  }
}

/**
 * Finds names that records take from other records and that none of them has. A kind of which no record is given is
 * taken to be in another file.
 *
 * @param loaded the records of all files that belong together
 * @returns the faults
 *
 * @example
 * ```ts
 * import { checkReferences } from 'briarloom/settings'
 *
 * console.assert(checkReferences([]).length === 0)
 * ```
 */
export function findDanglingReferences (loaded: LoadedRecord[]): SettingsProblem[] {
  const known = new Set(loaded.map(({ record }) => `${record.kind}/${record.name}`))
  const kinds = new Set(loaded.map(({ record }) => record.kind))
  return loaded.flatMap(({ key, record, file, line }) => {
    const find = references[record.kind] as ((record: ConfigRecord) => Reference[]) | undefined
    const missing = (find?.(record) ?? []).filter(({ kind, name }) => kinds.has(kind) && !known.has(`${kind}/${name}`))
    return missing.map(({ kind, name, path }) => ({
      file, line, path: `records.${key}.${path}`, expected: `the name of a ${kind} record; there is no "${kind}/${name}"`
    }))
  })
}
