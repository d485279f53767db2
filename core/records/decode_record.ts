/**
 * Decodes a configuration record of any known schema version into the internal form.
 */
import type { ZodError } from 'zod'
import { Err, Ok } from '../results/mod.ts'
import type { Result } from '../results/mod.ts'
import { RecordErrorKind } from './_error.ts'
import type { RecordError } from './_error.ts'
import { schemaV1 } from './_schema_v1.ts'
import { schemaV2 } from './_schema_v2.ts'
import type { SchemaTable } from './_schema_table.ts'
import { RecordKind } from './_types.ts'
import type { ConfigRecord } from './_types.ts'

/** Maximum length of the value of a record, in bytes. */
export const maxRecordBytes = 1_048_576

const schemas = new Map<unknown, SchemaTable>([[1, schemaV1], [2, schemaV2]])
const kinds = new Set<string>(Object.values(RecordKind))
const namePattern = /^[A-Za-z0-9][A-Za-z0-9._-]{0,199}$/

/**
 * Decodes a configuration record of any known schema version.
 *
 * @param key the kind, a slash and the name of the record, such as `tier/gratuit`
 * @param jsonText the value as JSON, at most `maxRecordBytes` bytes long
 * @returns the record in its internal form, or an error with the path of the field and what was expected there
 *
 * @example
 * ```ts
 * import { decodeRecord } from 'briarloom/core/records'
 *
 * const result = decodeRecord('service/registre', '{"schema":1,"calls":[],"timeoutMs":5000}')
 * console.assert(result.ok && result.val.name === 'registre')
 * ```
 */
export function decodeRecord (key: string, jsonText: string): Result<ConfigRecord, RecordError> {
  const slash = key.indexOf('/')
  const kind = key.slice(0, slash)
  const name = key.slice(slash + 1)
  if (!kinds.has(kind) || !namePattern.test(name)) {
    return createFailure(RecordErrorKind.UnknownKey, key, '', `one of the kinds ${[...kinds].join(', ')}, a slash and a name`)
  }
  if (exceedsMaxBytes(jsonText)) return createFailure(RecordErrorKind.TooLarge, key, '', `at most ${maxRecordBytes} bytes`)
  const value = parseObject(jsonText)
  if (value === undefined) return createFailure(RecordErrorKind.NotJson, key, '', 'a JSON object')
  const table = schemas.get(value.schema)
  if (table === undefined) {
    return createFailure(RecordErrorKind.UnknownSchema, key, 'schema', `one of the versions ${[...schemas.keys()].join(', ')}`)
  }
  const parsed = table[kind as RecordKind].safeParse(value)
  if (!parsed.success) return createFailure(RecordErrorKind.WrongField, key, ...describeFirstIssue(parsed.error))
  return Ok({ kind, name, ...parsed.data } as ConfigRecord)
}

function createFailure (kind: RecordErrorKind, key: string, path: string, expected: string): Result<ConfigRecord, RecordError> {
  const where = path === '' ? '' : ` field "${path}"`
  return Err({ kind, key, path, expected, message: `record "${key}"${where}: expected ${expected}` })
}

/** Returns whether a text is too long; encodes it only when its number of code units does not decide that. */
function exceedsMaxBytes (text: string): boolean {
  if (text.length > maxRecordBytes) return true
  const maxUtf8BytesPerCodeUnit = 3
  if (text.length * maxUtf8BytesPerCodeUnit <= maxRecordBytes) return false
  return new TextEncoder().encode(text).length > maxRecordBytes
}

function parseObject (text: string): Record<string, unknown> | undefined {
  try {
    const value: unknown = JSON.parse(text)
    const isObject = typeof value === 'object' && value !== null && !Array.isArray(value)
    return isObject ? value as Record<string, unknown> : undefined
  } catch {
    return undefined
  }
}

function describeFirstIssue (err: ZodError): [path: string, expected: string] {
  const issue = err.issues[0]
  if (issue === undefined) return ['', 'a valid record']
  const path = issue.code === 'unrecognized_keys' ? [...issue.path, issue.keys[0] ?? ''] : issue.path
  const expected = issue.code === 'unrecognized_keys' ? 'no field of this name' : issue.message
  return [path.map(String).join('.'), expected.replace(/^.*?expected /, '')]
}
