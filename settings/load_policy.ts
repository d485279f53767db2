/**
 * Loads the policy file: what the operator sets for gateways and sidecars on the platform.
 */
import { z } from 'zod'
import { StagePolicy } from '../core/balance/mod.ts'
import { PlacementPolicy } from '../core/cost/mod.ts'
import { PackPolicy } from '../core/packing/mod.ts'
import { Err, Ok } from '../core/results/mod.ts'
import type { Result } from '../core/results/mod.ts'
import { parseJsonc } from './_parse_jsonc.ts'
import type { SettingsProblem } from './_problem.ts'
import { listSchemaProblems } from './_list_schema_problems.ts'

const maxPort = 65_535
const fraction = z.number().min(0).max(0.9)

const policySchema = z.strictObject({
  stages: z.strictObject({ policy: z.enum(StagePolicy), prefillShare: fraction }),
  packing: z.strictObject({ policy: z.enum(PackPolicy), marginShare: fraction }),
  placement: z.strictObject({ policy: z.enum(PlacementPolicy) }).default({ policy: PlacementPolicy.Latency }),
  log: z.strictObject({ level: z.enum(['debug', 'info', 'warn', 'error']), maxBytesPerS: z.int().min(1_000) }),
  metrics: z.strictObject({ gatewayPort: z.int().min(1).max(maxPort), sidecarPort: z.int().min(1).max(maxPort) })
})

/** Policy of the operator: prefill share, memory margin, placement of plain requests, log and metrics ports of gateways and sidecars. */
export type PolicySettings = z.output<typeof policySchema>

/**
 * Loads the operator's policy from JSON with comments.
 *
 * @param text the text of the file
 * @param options the name of the file
 * @returns the policy, or every problem with its line, its path and what was expected
 *
 * @example
 * ```ts
 * import { loadPolicy } from 'briarloom/settings'
 *
 * console.assert(loadPolicy('{}', { file: 'policy.jsonc' }).err)
 * ```
 */
export function loadPolicy (text: string, options: { file: string }): Result<PolicySettings, SettingsProblem[]> {
  const parsed = parseJsonc(text, options.file)
  if (parsed.problems.length > 0) return Err(parsed.problems)
  const result = policySchema.safeParse(parsed.value)
  return result.success ? Ok(result.data) : Err(listSchemaProblems(result.error.issues, policySchema, parsed, options.file))
}
