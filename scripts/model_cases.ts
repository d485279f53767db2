/**
 * The searches of `npm run model`: each specification at its bounds, and each variant with one rule removed.
 */

/** Describes one search. */
export interface ModelCase {
  /** Name of the file in `spec/`, without its extension. */
  spec: string
  /** Rule that is removed; absent when the specification is to hold. */
  removedRule?: string
  /** Name of the liveness property; absent for the assertions. */
  ltl?: string
  /** Macro definitions that set the bounds. */
  defines: string[]
  /** True when the search is long enough to pay for an optimising compiler. */
  isLarge?: boolean
}

function holds (spec: string, ltl: string | undefined, bounds: string): ModelCase {
  return { spec, ltl, defines: bounds.split(' ').filter((name) => name !== '') }
}

function broken (spec: string, ltl: string | undefined, bounds: string, rules: string): ModelCase[] {
  return rules.split(' ').map((rule) => {
    const item = holds(spec, ltl, bounds)
    return { ...item, removedRule: rule, defines: [...item.defines, `BROKEN_${rule}`] }
  })
}

const oneAttempt = 'ATTEMPTS=1'
const twoAttempts = 'ATTEMPTS=2 REPEATS=0 LOSSES=0'

/** Every search, in the order in which they run. */
export const modelCases: ModelCase[] = [
  { ...holds('attempt', undefined, twoAttempts), isLarge: true },
  holds('attempt', undefined, 'ATTEMPTS=1 AGENT_CRASHES=2'),
  holds('attempt', 'released', oneAttempt),
  holds('attempt', 'released', `${twoAttempts} AGENT_CRASHES=0`),
  holds('attempt', 'ended', `${twoAttempts} AGENT_CRASHES=0`),
  ...broken('attempt', undefined, twoAttempts, 'NOT_RUN OFFSET END CANCEL_EARLY FREE_EARLY ADMIT_FIRST'),
  ...broken('attempt', 'released', oneAttempt, 'CANCEL_RETRY LIVE_LIST LEASE ADOPT_ONCE'),
  ...broken('attempt', 'ended', oneAttempt, 'TIMEOUT'),
  holds('ticket', undefined, ''),
  holds('ticket', 'answered', ''),
  ...broken('ticket', undefined, '', 'NOT_RUN LOCAL_NOT_RUN INCARNATION FORGET WAIT VOID'),
  { ...holds('config', undefined, ''), isLarge: true },
  holds('config', 'inForce', 'CRASHES=0'),
  ...broken('config', undefined, '', 'LOWER ASK'),
  ...broken('config', 'inForce', 'CRASHES=0', 'RELAY FALLBACK'),
  holds('orders', undefined, ''),
  holds('orders', 'served', ''),
  ...broken('orders', undefined, '', 'CONFIG READ_BACK'),
  ...broken('orders', 'served', '', 'RECHECK LOADING')
]
