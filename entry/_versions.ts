/**
 * Chooses the model version for a request.
 */
import { Err, Ok } from '../core/results/mod.ts'
import { RecordKind } from '../core/records/mod.ts'
import { createClientError } from './_refusals.ts'
import type { Configuration } from '../core/configuration/mod.ts'
import type { TierRecord } from '../core/records/mod.ts'
import type { Result } from '../core/results/mod.ts'
import type { HttpRefusal } from './_refusals.ts'

const fnvOffset = 0x811c9dc5
const fnvPrime = 0x01000193

/** Hashes a text with 32-bit FNV-1a to a number from 0 up to but not including 1, evenly distributed. */
function hashToFraction (text: string): number {
  let hash = fnvOffset
  for (let i = 0; i < text.length; i++) hash = Math.imul(hash ^ text.charCodeAt(i), fnvPrime)
  return (hash >>> 0) / 2 ** 32
}

/**
 * Chooses the version that serves a request: the wanted version, or else one of those that the tier may use, with a probability
 * in proportion to their weights. The choice depends only on the request id.
 *
 * @returns the version, or a refusal with status 404 when the model or version does not exist for this tier
 */
export function chooseVersion (
  config: Configuration, tier: TierRecord, model: string, wanted: string | undefined, requestId: string
): Result<string, HttpRefusal> {
  const record = config.get(RecordKind.Model, model)
  const allowed = tier.models.filter((item) => item.model === model).map((item) => item.version)
  const reachable = (record?.versions ?? []).filter((item) => {
    return allowed.includes('*') || allowed.includes(item.version)
  })
  const candidates = reachable.filter((item) => wanted === undefined ? item.weight > 0 : item.version === wanted)
  const total = candidates.reduce((sum, item) => sum + item.weight, 0)
  let remaining = hashToFraction(requestId) * total
  for (const item of candidates) {
    remaining -= item.weight
    if (remaining < 0) return Ok(item.version)
  }
  const fallback = candidates[0]
  if (fallback !== undefined) return Ok(fallback.version)
  const name = wanted === undefined ? model : `${model}@${wanted}`
  return Err(createClientError(404, 'model_not_found', `model "${name}" does not exist for tier "${tier.name}"`, 'model'))
}
