/**
 * The policies that the bench compares.
 */
import { AdmissionPolicy, ChoicePolicy, ReservePolicy } from '../core/records/mod.ts'

/** Names a set of policies. */
export interface Variant {
  name: string
  reserve: ReservePolicy
  choice: ChoicePolicy
  admission: AdmissionPolicy
}

const chosen = {
  reserve: ReservePolicy.ReserveFirst, choice: ChoicePolicy.PowerOfTwo, admission: AdmissionPolicy.Tiered
}

function differing (fields: Partial<Variant>): Variant {
  return { name: Object.values(fields).join(' '), ...chosen, ...fields }
}

/** The chosen policies first, then each baseline, which differs from them in one policy. */
export const variants: Variant[] = [
  { name: 'chosen', ...chosen },
  ...Object.values(ReservePolicy).filter((value) => value !== chosen.reserve).map((reserve) => differing({ reserve })),
  ...Object.values(ChoicePolicy).filter((value) => value !== chosen.choice).map((choice) => differing({ choice })),
  differing({ admission: AdmissionPolicy.Fifo })
]
