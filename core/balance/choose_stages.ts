/**
 * The balance of the engines between prefill and decode.
 */
import { Stage, WorkerState } from '../fleet/mod.ts'
import type { WorkerEntry } from '../fleet/mod.ts'

/** Names the ways to decide how many engines read prompts. */
export enum StagePolicy {
  /** Leaves every engine as it is. */
  Keep = 'keep',
  /** A fixed share of the engines, one at least, so that the rest has memory for streams. */
  Share = 'share',
  /** No engine reads prompts only; each reads its own. */
  None = 'none'
}

/** Configures the balance. */
export interface ChooseStagesOptions {
  policy: StagePolicy
  /** Share of the engines that read prompts, for the policy `Share`. */
  prefillShare: number
}

const prefillCounts: { readonly [K in StagePolicy]: (engines: number, now: number, share: number) => number } = {
  [StagePolicy.Keep]: (_engines, now) => now,
  [StagePolicy.Share]: (engines, _now, share) => engines < 2 ? 0 : Math.min(engines - 1, Math.max(1, Math.round(engines * share))),
  [StagePolicy.None]: () => 0
}

/**
 * Chooses the stage of each engine of a service, so that as few as possible change.
 *
 * Every process that sees the same entries gets the same result, so the processes beside the engines need not agree.
 *
 * @param entries the entries of the service's engines
 * @param options the policy
 * @returns the stage that each engine is to have, by its identity; engines that leave are missing
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
  const ordered = [...ready].sort((a, b) => a.id < b.id ? -1 : 1)
  const readers = ordered.filter((entry) => entry.stage === Stage.Prefill)
  const others = ordered.filter((entry) => entry.stage === Stage.Decode)
  const wanted = prefillCounts[options.policy](ordered.length, readers.length, options.prefillShare)
  const chosen = new Set([...readers, ...others].slice(0, wanted).map((entry) => entry.id))
  return new Map(ordered.map((entry) => [entry.id, chosen.has(entry.id) ? Stage.Prefill : Stage.Decode]))
}
