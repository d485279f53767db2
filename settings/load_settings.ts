/**
 * Reads the settings of a process.
 */
import { z } from 'zod'
import { Err, Ok } from '../core/results/mod.ts'
import type { Result } from '../core/results/mod.ts'
import { parseJsonc } from './_parse_jsonc.ts'
import type { SettingsProblem } from './_problem.ts'
import { agentSchema, entrySchema } from './_schemas.ts'
import type { Settings } from './_schemas.ts'
import { listSchemaProblems } from './_list_schema_problems.ts'

/** Says where settings come from. */
export interface LoadSettingsOptions {
  /** Name of the file, for the faults. */
  file: string
}

const schemas = { entry: entrySchema, agent: agentSchema }

const processSchema = z.looseObject({ process: z.enum(['entry', 'agent']) })

/**
 * Reads settings from JSON with comments.
 *
 * @param text the text of the file
 * @param options the name of the file
 * @returns the settings with their defaults, or every fault with its line, its path and what was expected
 *
 * @example
 * ```ts
 * import { loadSettings } from 'briarloom/settings'
 *
 * const settings = loadSettings('{ "process": "entri" }', { file: 'entry.jsonc' })
 * console.assert(settings.err && settings.val[0]?.path === 'process')
 * ```
 */
export function loadSettings (text: string, options: LoadSettingsOptions): Result<Settings, SettingsProblem[]> {
  const { file } = options
  const parsed = parseJsonc(text, file)
  if (parsed.problems.length > 0) return Err(parsed.problems)
  const head = processSchema.safeParse(parsed.value)
  if (!head.success) return Err(listSchemaProblems(head.error.issues, processSchema, parsed, file))
  const schema: z.ZodType<Settings> = schemas[head.data.process]
  const result = schema.safeParse(parsed.value)
  if (!result.success) return Err(listSchemaProblems(result.error.issues, schema, parsed, file))
  const crossed = crossProblems(result.data).map(({ path, expected }) => ({
    file, line: parsed.findLine(path.split('.')), path, expected
  }))
  return crossed.length > 0 ? Err(crossed) : Ok(result.data)
}

/** Finds values that are valid alone and contradict each other. */
function crossProblems (settings: Settings): Array<{ path: string, expected: string }> {
  const { leaseMs, heartbeatMs } = settings.timings
  const problems = []
  if (heartbeatMs * 2 > leaseMs) {
    const expected = `at most half of timings.leaseMs (${leaseMs}), so that one lost heartbeat ends no lease`
    problems.push({ path: 'timings.heartbeatMs', expected })
  }
  if (settings.process === 'agent' && settings.engine && settings.backend.kind !== 'engine') {
    problems.push({ path: 'engine', expected: 'no engine settings beside a backend of kind "service"' })
  }
  return problems
}
