/**
 * Turns the issues of a schema into faults that an operator can find.
 */
import type { z } from 'zod'
import type { KeyPath, ParsedFile } from './_parse_jsonc.ts'
import type { SettingsProblem } from './_problem.ts'
import { findNearestKey } from './find_nearest_key.ts'

type Issue = z.core.$ZodIssue

interface SchemaDef {
  type: string
  shape?: Record<string, { _zod: { def: SchemaDef } }>
  innerType?: { _zod: { def: SchemaDef } }
  options?: Array<{ _zod: { def: SchemaDef } }>
}

/** Returns one fault for each issue, two for a key that is both unknown and missing elsewhere. */
export function listSchemaProblems (issues: Issue[], schema: z.ZodType, parsed: ParsedFile, file: string): SettingsProblem[] {
  return issues.flatMap((issue) => {
    const path = issue.path as KeyPath
    if (issue.code === 'unrecognized_keys') return unknownKeys(issue.keys, path, schema, parsed, file)
    return [{ file, line: parsed.findLine(path), path: path.join('.'), expected: describe(issue) }]
  })
}

function unknownKeys (
  keys: string[], path: KeyPath, schema: z.ZodType, parsed: ParsedFile, file: string
): SettingsProblem[] {
  const known = knownKeys(schema, path)
  return keys.map((key) => {
    const nearest = findNearestKey(key, known)
    const hint = nearest === undefined ? 'a known key' : `a known key; the nearest is "${nearest}"`
    return { file, line: parsed.findLine([...path, key]), path: [...path, key].join('.'), expected: hint }
  })
}

/** Returns the keys that the schema knows in the object at a path. */
function knownKeys (schema: z.ZodType, path: KeyPath): string[] {
  let defs = [schema._zod.def as SchemaDef]
  for (const key of path) {
    defs = defs.flatMap(objects).map((def) => def.shape?.[key]?._zod.def).filter((def) => def !== undefined)
  }
  return [...new Set(defs.flatMap(objects).flatMap((def) => Object.keys(def.shape ?? {})))]
}

/** Returns the object schemas behind optional, default and union wrappers. */
function objects (def: SchemaDef): SchemaDef[] {
  if (def.innerType) return objects(def.innerType._zod.def)
  if (def.options) return def.options.flatMap((option) => objects(option._zod.def))
  return [def]
}

function describe (issue: Issue): string {
  switch (issue.code) {
    case 'invalid_type': return article(issue.expected)
    case 'invalid_value': return `one of ${issue.values.map((value) => JSON.stringify(value)).join(', ')}`
    case 'too_small': return `at least ${issue.minimum}${unit(issue.origin)}`
    case 'too_big': return `at most ${issue.maximum}${unit(issue.origin)}`
    case 'invalid_union': return issue.discriminator ? `a known "${issue.discriminator}"` : issue.message
    default: return issue.message
  }
}

function article (type: string): string {
  return /^[aeiou]/.test(type) ? `an ${type}` : `a ${type}`
}

function unit (origin: string): string {
  return origin === 'string' ? ' characters' : ''
}
