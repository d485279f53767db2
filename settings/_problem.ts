/**
 * Faults in settings and record files.
 */

/** Describes one fault in a file. */
export interface SettingsProblem {
  file: string
  /** Line of the fault, counted from 1. */
  line: number
  /** Path of the value, such as `limits.maxFrameBytes`; empty for the whole file. */
  path: string
  /** What was expected there. */
  expected: string
}

/**
 * Formats a fault as one line for the operator.
 *
 * @param problem the fault
 * @returns `FILE:LINE: PATH: expected …`
 *
 * @example
 * ```ts
 * import { formatProblem } from 'briarloom/settings'
 *
 * console.log(formatProblem({ file: 'entry.jsonc', line: 3, path: 'http.port', expected: 'a number' }))
 * ```
 */
export function formatProblem (problem: SettingsProblem): string {
  const path = problem.path === '' ? '(file)' : problem.path
  return `${problem.file}:${problem.line}: ${path}: expected ${problem.expected}`
}
