/**
 * The sets of policies that the bench compares.
 */
import { AdmissionPolicy, ChoicePolicy, ReservePolicy } from '../core/records/mod.ts'

/** A named set of policies. */
export interface Variant {
  name: string
  reserve: ReservePolicy
  choice: ChoicePolicy
  admission: AdmissionPolicy
}

const chosen = {
  reserve: ReservePolicy.ReserveFirst, choice: ChoicePolicy.PowerOfTwo, admission: AdmissionPolicy.Tiered
}

/** Builds a variant that differs from the chosen policies in the given fields. */
function buildVariant (fields: Partial<Variant>): Variant {
  return { name: Object.values(fields).join(' '), ...chosen, ...fields }
}

/** The chosen policies first, then the baselines, each of which differs from them in one policy. */
export const variants: Variant[] = [
  { name: 'chosen', ...chosen },
  ...Object.values(ReservePolicy).filter((value) => value !== chosen.reserve).map((reserve) => buildVariant({ reserve })),
  ...Object.values(ChoicePolicy).filter((value) => value !== chosen.choice).map((choice) => buildVariant({ choice })),
  buildVariant({ admission: AdmissionPolicy.Fifo })
]
