/**
 * Loads the settings of a process.
 */
import { z } from 'zod'
import { Err, Ok } from '../core/results/mod.ts'
import type { Result } from '../core/results/mod.ts'
import { parseJsonc } from './_parse_jsonc.ts'
import type { SettingsProblem } from './_problem.ts'
import { agentSchema, entrySchema } from './_schemas.ts'
import type { Settings } from './_schemas.ts'
import { listSchemaProblems } from './_list_schema_problems.ts'

/** Configures `loadSettings`. */
export interface LoadSettingsOptions {
  /** Name of the file, for the problems. */
  file: string
}

const schemas = { entry: entrySchema, agent: agentSchema }

const processSchema = z.looseObject({ process: z.enum(['entry', 'agent']) })

/**
 * Loads settings from JSON with comments.
 *
 * @param text the text of the file
 * @param options the name of the file
 * @returns the settings with their defaults, or every problem with its line, its path and what was expected
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
  const processType = processSchema.safeParse(parsed.value)
  if (!processType.success) return Err(listSchemaProblems(processType.error.issues, processSchema, parsed, file))
  const schema: z.ZodType<Settings> = schemas[processType.data.process]
  const result = schema.safeParse(parsed.value)
  if (!result.success) return Err(listSchemaProblems(result.error.issues, schema, parsed, file))
  const conflicts = findConflicts(result.data).map(({ path, expected }) => ({
    file, line: parsed.findLine(path.split('.')), path, expected
  }))
  return conflicts.length > 0 ? Err(conflicts) : Ok(result.data)
}

/** Finds values that are valid on their own but contradict each other. */
function findConflicts (settings: Settings): Array<{ path: string, expected: string }> {
  const { leaseMs, heartbeatMs } = settings.timings
  const problems = []
  if (heartbeatMs * 2 > leaseMs) {
    const expected = `at most half of timings.leaseMs (${leaseMs}), so that a lease survives one lost heartbeat`
    problems.push({ path: 'timings.heartbeatMs', expected })
  }
  if (settings.process === 'agent' && settings.engine && settings.backend.kind !== 'engine') {
    problems.push({ path: 'engine', expected: 'no engine settings beside a backend of kind "service"' })
  }
  return problems
}
