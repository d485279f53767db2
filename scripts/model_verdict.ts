/**
 * Parses the output of a verifier that spin generated.
 */

/** Describes the result of one search. */
export interface ModelVerdict {
  /** `holds` when a complete search found no error, `caught` when the search found one, `incomplete` when it was cut short. */
  verdict: 'holds' | 'caught' | 'incomplete'
  /** Number of states that were stored. */
  states: number
  /** Depth that the search reached, in steps. */
  depth: number
}

// A search that was cut short proves nothing, even when it reported errors.
const incompletePattern = /max search depth too small|out of memory|NFAIR|aborted|unconditional self-loop/

function parseNumber (output: string, pattern: RegExp): number {
  return Number(pattern.exec(output)?.[1] ?? 0)
}

/**
 * Reads the verdict of one search.
 *
 * @param output the standard output of the verifier
 * @returns the verdict, the number of states and the depth reached
 *
 * @example
 * ```ts
 * const verdict = readVerdict('State-vector 8 byte, depth reached 5, errors: 0\n 10 states, stored')
 * console.assert(verdict.verdict === 'holds' && verdict.states === 10)
 * ```
 */
export function readVerdict (output: string): ModelVerdict {
  const errors = /errors: (\d+)/.exec(output)
  const states = parseNumber(output, /(\d+) states, stored/)
  const depth = parseNumber(output, /depth reached (\d+)/)
  if (errors === null || states === 0 || incompletePattern.test(output)) return { verdict: 'incomplete', states, depth }
  if (Number(errors[1]) > 0) return { verdict: 'caught', states, depth }
  return { verdict: /Search not completed/.test(output) ? 'incomplete' : 'holds', states, depth }
}
