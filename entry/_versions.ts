/**
 * The choice of a model version for a request.
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

/** Maps a text evenly to a number from 0 up to but not including 1. */
function fraction (text: string): number {
  let hash = fnvOffset
  for (let i = 0; i < text.length; i++) hash = Math.imul(hash ^ text.charCodeAt(i), fnvPrime)
  return (hash >>> 0) / 2 ** 32
}

/**
 * Chooses the version that serves a request: the one that was asked for, or one of those that the tier may reach, in
 * proportion to their weights.
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
  let left = fraction(requestId) * total
  for (const item of candidates) {
    left -= item.weight
    if (left < 0) return Ok(item.version)
  }
  const last = candidates[0]
  if (last !== undefined) return Ok(last.version)
  const name = wanted === undefined ? model : `${model}@${wanted}`
  return Err(createClientError(404, 'model_not_found', `model "${name}" does not exist for tier "${tier.name}"`, 'model'))
}
