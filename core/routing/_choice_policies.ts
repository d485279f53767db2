/**
 * The policies for the choice among scored candidates.
 */
import { ChoicePolicy } from '../records/mod.ts'
import type { ScoredBackend } from './_score.ts'

/** Holds what a choice policy needs besides the candidates. */
export interface ChoiceContext {
  /** Returns a number from 0 up to but not including 1. */
  random: () => number
  /** Number of earlier choices for the same role, model and region; selects the candidate of round robin. */
  turn: number
}

/** Names the candidate that was chosen and the candidates that were compared. */
export interface PolicyChoice {
  best: ScoredBackend
  compared: ScoredBackend[]
}

function findLowestScore (candidates: ScoredBackend[]): ScoredBackend {
  return candidates.reduce((best, scored) => scored.score < best.score ? scored : best)
}

function candidateAt (candidates: ScoredBackend[], index: number): ScoredBackend {
  const scored = candidates[index]
  if (scored === undefined) throw new Error(`candidate index ${index} is out of range for ${candidates.length} candidates`)
  return scored
}

function sampleTwo (candidates: ScoredBackend[], random: () => number): ScoredBackend[] {
  if (candidates.length <= 2) return candidates
  const first = Math.floor(random() * candidates.length)
  const second = (first + 1 + Math.floor(random() * (candidates.length - 1))) % candidates.length
  return [candidateAt(candidates, first), candidateAt(candidates, second)]
}

function choosePowerOfTwo (candidates: ScoredBackend[], context: ChoiceContext): PolicyChoice {
  const compared = sampleTwo(candidates, context.random)
  // The candidate with the highest prefix affinity is always compared; otherwise affinity would count only when it is sampled.
  const holder = candidates.reduce((best, scored) => scored.affinity > best.affinity ? scored : best)
  if (holder.affinity > 0 && !compared.includes(holder)) compared.push(holder)
  return { best: findLowestScore(compared), compared }
}

/** Maps each policy to its choice; the candidates must not be empty. */
export const choicePolicies: { [K in ChoicePolicy]: (candidates: ScoredBackend[], context: ChoiceContext) => PolicyChoice } = {
  [ChoicePolicy.PowerOfTwo]: choosePowerOfTwo,
  [ChoicePolicy.LeastLoaded]: (candidates) => ({ best: findLowestScore(candidates), compared: candidates }),
  [ChoicePolicy.RoundRobin]: (candidates, context) => {
    const sorted = [...candidates].sort((a, b) => a.view.info.name < b.view.info.name ? -1 : 1)
    const best = candidateAt(sorted, context.turn % sorted.length)
    return { best, compared: [best] }
  },
  [ChoicePolicy.Random]: (candidates, context) => {
    const best = candidateAt(candidates, Math.floor(context.random() * candidates.length))
    return { best, compared: [best] }
  }
}
