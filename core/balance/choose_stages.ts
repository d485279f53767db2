/**
 * The division of the engines of a service between prefill and decode.
 */
import { Stage, WorkerState } from '../fleet/mod.ts'
import type { WorkerEntry } from '../fleet/mod.ts'

/** Names the ways to decide how many engines run prefill only. */
export enum StagePolicy {
  /** Keeps the stage of every engine. */
  Keep = 'keep',
  /** Assigns a fixed share of the engines to prefill, at least one of two or more; the memory of the others serves streams. */
  Share = 'share',
  /** Assigns no engine to prefill; each decode engine prefills its own prompts. */
  None = 'none'
}

/** Configures the choice of stages. */
export interface ChooseStagesOptions {
  policy: StagePolicy
  /** Share of the engines that run prefill, from 0 to 1, for the policy `Share`. */
  prefillShare: number
}

const prefillCounts: { readonly [K in StagePolicy]: (engineCount: number, currentCount: number, share: number) => number } = {
  [StagePolicy.Keep]: (_engineCount, currentCount) => currentCount,
  [StagePolicy.Share]: (engineCount, _currentCount, share) =>
    engineCount < 2 ? 0 : Math.min(engineCount - 1, Math.max(1, Math.round(engineCount * share))),
  [StagePolicy.None]: () => 0
}

/** Numbers of decode engines of one software version that are to remain when one of them is lost: only they can go on with its streams. */
function countKeptForDecode (engineCount: number): number {
  return engineCount < 3 ? 1 : 2
}

/** Returns how many engines of each software version may run prefill only. */
function countPrefillPlaces (engines: readonly WorkerEntry[]): Map<string, number> {
  const counts = new Map<string, number>()
  for (const { softwareVersion } of engines) counts.set(softwareVersion, (counts.get(softwareVersion) ?? 0) + 1)
  return new Map([...counts].map(([version, count]) => [version, Math.max(0, count - countKeptForDecode(count))]))
}

/**
 * Chooses the stage of each engine of a service so that as few engines as possible change.
 *
 * A stream goes on only at the software version that began it. So unless the stages are kept as they are, each version has a decode engine,
 * and a second one if it has three or more engines, even when fewer engines than wanted run prefill then.
 *
 * The result depends only on the set of entries, so sidecars that see the same entries choose alike without coordination. It stays the
 * same while some of the engines have changed and others have not.
 *
 * @param entries the published entries of the service's engines, in any order
 * @param options the policy and its share
 * @returns the chosen stage of each engine, by its identity; draining engines are missing
 *
 * @example
 * ```ts
 * import { chooseStages, StagePolicy } from 'briarloom/core/balance'
 *
 * console.assert(chooseStages([], { policy: StagePolicy.Share, prefillShare: 0.2 }).size === 0)
 * ```
 */
export function chooseStages (entries: readonly WorkerEntry[], options: ChooseStagesOptions): Map<string, Stage> {
  const ready = entries.filter((entry) => entry.state === WorkerState.Ready && entry.stage !== undefined)
  const byId = [...ready].sort((a, b) => a.id < b.id ? -1 : 1)
  const prefillEngines = byId.filter((entry) => entry.stage === Stage.Prefill)
  const decodeEngines = byId.filter((entry) => entry.stage === Stage.Decode)
  const wantedCount = prefillCounts[options.policy](byId.length, prefillEngines.length, options.prefillShare)
  const places = countPrefillPlaces(byId)
  const chosen = new Set<string>()
  for (const { id, softwareVersion } of [...prefillEngines, ...decodeEngines]) {
    const placesLeft = places.get(softwareVersion) ?? 0
    const isKept = options.policy === StagePolicy.Keep
    if (chosen.size >= wantedCount || (placesLeft === 0 && !isKept)) continue
    places.set(softwareVersion, placesLeft - 1)
    chosen.add(id)
  }
  return new Map(byId.map((entry) => [entry.id, chosen.has(entry.id) ? Stage.Prefill : Stage.Decode]))
}
