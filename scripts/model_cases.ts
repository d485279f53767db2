/**
 * Lists the searches of `npm run model`: each specification within its bounds, and each variant with one rule removed.
 */

/** Describes one search of the model checker. */
export interface ModelCase {
  /** Name of the file in `spec/`, without its extension. */
  spec: string
  /** Rule that is removed, so that the search must find an error; absent when the specification is expected to hold. */
  removedRule?: string
  /** Name of the liveness property that is checked; absent when the assertions are checked. */
  ltl?: string
  /** Macro definitions that set the bounds. */
  defines: string[]
  /** True when the search takes so long that compiling the verifier with optimisation pays off. */
  isLarge?: boolean
}

/** Creates the search of a specification without a removed rule; `bounds` holds macro definitions, separated by spaces. */
function createCase (spec: string, ltl: string | undefined, bounds: string): ModelCase {
  return { spec, ltl, defines: bounds.split(' ').filter((name) => name !== '') }
}

/** Creates one search for each rule in `rules`, separated by spaces, with that rule removed. */
function createBrokenCases (spec: string, ltl: string | undefined, bounds: string, rules: string): ModelCase[] {
  return rules.split(' ').map((rule) => {
    const intactCase = createCase(spec, ltl, bounds)
    return { ...intactCase, removedRule: rule, defines: [...intactCase.defines, `BROKEN_${rule}`] }
  })
}

const oneAttempt = 'ATTEMPTS=1'
const twoAttempts = 'ATTEMPTS=2 REPEATS=0 LOSSES=0'

/** Every search, in the order in which they run. */
export const modelCases: ModelCase[] = [
  { ...createCase('attempt', undefined, twoAttempts), isLarge: true },
  createCase('attempt', undefined, 'ATTEMPTS=1 AGENT_CRASHES=2'),
  createCase('attempt', 'released', oneAttempt),
  createCase('attempt', 'released', `${twoAttempts} AGENT_CRASHES=0`),
  createCase('attempt', 'ended', `${twoAttempts} AGENT_CRASHES=0`),
  ...createBrokenCases('attempt', undefined, twoAttempts, 'NOT_RUN OFFSET END CANCEL_EARLY FREE_EARLY ADMIT_FIRST'),
  ...createBrokenCases('attempt', 'released', oneAttempt, 'CANCEL_RETRY LIVE_LIST LEASE ADOPT_ONCE'),
  ...createBrokenCases('attempt', 'ended', oneAttempt, 'TIMEOUT'),
  createCase('ticket', undefined, ''),
  createCase('ticket', 'answered', ''),
  ...createBrokenCases('ticket', undefined, '', 'NOT_RUN LOCAL_NOT_RUN INCARNATION FORGET WAIT VOID'),
  { ...createCase('config', undefined, ''), isLarge: true },
  createCase('config', 'inForce', 'CRASHES=0'),
  ...createBrokenCases('config', undefined, '', 'LOWER ASK'),
  ...createBrokenCases('config', 'inForce', 'CRASHES=0', 'RELAY FALLBACK'),
  createCase('orders', undefined, ''),
  createCase('orders', 'served', ''),
  ...createBrokenCases('orders', undefined, '', 'CONFIG READ_BACK'),
  ...createBrokenCases('orders', 'served', '', 'RECHECK LOADING')
]
