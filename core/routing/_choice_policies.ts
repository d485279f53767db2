/**
 * The table of policies for the choice among scored candidates.
 */
import { ChoicePolicy } from '../records/mod.ts'
import type { ScoredBackend } from './_score.ts'

/** Holds what a choice policy needs beside the candidates. */
export interface ChoiceContext {
  random: () => number
  /** Counter of choices. */
  turn: number
}

/** Names the candidate that was chosen and the candidates that were compared. */
export interface PolicyChoice {
  best: ScoredBackend
  compared: ScoredBackend[]
}

function lowest (candidates: ScoredBackend[]): ScoredBackend {
  return candidates.reduce((best, scored) => scored.score < best.score ? scored : best)
}

function at (candidates: ScoredBackend[], index: number): ScoredBackend {
  const scored = candidates[index]
  if (scored === undefined) throw new Error(`candidate ${index} of ${candidates.length} does not exist`)
  return scored
}

function sampleTwo (candidates: ScoredBackend[], random: () => number): ScoredBackend[] {
  if (candidates.length <= 2) return candidates
  const first = Math.floor(random() * candidates.length)
  const second = (first + 1 + Math.floor(random() * (candidates.length - 1))) % candidates.length
  return [at(candidates, first), at(candidates, second)]
}

function powerOfTwo (candidates: ScoredBackend[], ctx: ChoiceContext): PolicyChoice {
  const compared = sampleTwo(candidates, ctx.random)
  // The holder of the longest prefix always takes part; otherwise affinity would work only when it is sampled.
  const holder = candidates.reduce((best, scored) => scored.affinity > best.affinity ? scored : best)
  if (holder.affinity > 0 && !compared.includes(holder)) compared.push(holder)
  return { best: lowest(compared), compared }
}

/** Maps each policy to its handler; the candidates are never empty. */
export const choicePolicies: { [K in ChoicePolicy]: (candidates: ScoredBackend[], ctx: ChoiceContext) => PolicyChoice } = {
  [ChoicePolicy.PowerOfTwo]: powerOfTwo,
  [ChoicePolicy.LeastLoaded]: (candidates) => ({ best: lowest(candidates), compared: candidates }),
  [ChoicePolicy.RoundRobin]: (candidates, ctx) => {
    const sorted = [...candidates].sort((a, b) => a.view.info.name < b.view.info.name ? -1 : 1)
    const best = at(sorted, ctx.turn % sorted.length)
    return { best, compared: [best] }
  },
  [ChoicePolicy.Random]: (candidates, ctx) => {
    const best = at(candidates, Math.floor(ctx.random() * candidates.length))
    return { best, compared: [best] }
  }
}
