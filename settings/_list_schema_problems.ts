/**
 * Converts the issues of a schema into problems with file, line and path.
 */
import type { z } from 'zod'
import type { KeyPath, ParsedFile } from './_parse_jsonc.ts'
import type { SettingsProblem } from './_problem.ts'
import { findNearestKey } from './find_nearest_key.ts'

type Issue = z.core.$ZodIssue

/** The parts of a zod schema definition that hold the known keys of an object. */
interface SchemaDef {
  type: string
  shape?: Record<string, { _zod: { def: SchemaDef } }>
  innerType?: { _zod: { def: SchemaDef } }
  options?: Array<{ _zod: { def: SchemaDef } }>
}

/**
 * Returns one problem for each issue, and one for each key when an issue lists several unknown keys. A required key that is
 * misspelled therefore gives two problems: the unknown key and the missing one.
 */
export function listSchemaProblems (issues: Issue[], schema: z.ZodType, parsed: ParsedFile, file: string): SettingsProblem[] {
  return issues.flatMap((issue) => {
    const path = issue.path as KeyPath
    if (issue.code === 'unrecognized_keys') return listUnknownKeys(issue.keys, path, schema, parsed, file)
    return [{ file, line: parsed.findLine(path), path: path.join('.'), expected: describeIssue(issue) }]
  })
}

function listUnknownKeys (
  keys: string[], path: KeyPath, schema: z.ZodType, parsed: ParsedFile, file: string
): SettingsProblem[] {
  const known = listKnownKeys(schema, path)
  return keys.map((key) => {
    const nearest = findNearestKey(key, known)
    const hint = nearest === undefined ? 'a known key' : `a known key; the nearest is "${nearest}"`
    return { file, line: parsed.findLine([...path, key]), path: [...path, key].join('.'), expected: hint }
  })
}

/** Returns the keys that the schema allows in the object at a path. */
function listKnownKeys (schema: z.ZodType, path: KeyPath): string[] {
  let defs = [schema._zod.def as SchemaDef]
  for (const key of path) {
    defs = defs.flatMap(listInnerSchemas).map((def) => def.shape?.[key]?._zod.def).filter((def) => def !== undefined)
  }
  return [...new Set(defs.flatMap(listInnerSchemas).flatMap((def) => Object.keys(def.shape ?? {})))]
}

/** Returns the schemas inside optional, default and union wrappers. */
function listInnerSchemas (def: SchemaDef): SchemaDef[] {
  if (def.innerType) return listInnerSchemas(def.innerType._zod.def)
  if (def.options) return def.options.flatMap((option) => listInnerSchemas(option._zod.def))
  return [def]
}

function describeIssue (issue: Issue): string {
  switch (issue.code) {
    case 'invalid_type': return addArticle(issue.expected)
    case 'invalid_value': return `one of ${issue.values.map((value) => JSON.stringify(value)).join(', ')}`
    case 'too_small': return `at least ${issue.minimum}${formatUnit(issue.origin)}`
    case 'too_big': return `at most ${issue.maximum}${formatUnit(issue.origin)}`
    case 'invalid_union': return issue.discriminator ? `a known "${issue.discriminator}"` : issue.message
    default: return issue.message
  }
}

function addArticle (type: string): string {
  return /^[aeiou]/.test(type) ? `an ${type}` : `a ${type}`
}

function formatUnit (origin: string): string {
  return origin === 'string' ? ' characters' : ''
}
