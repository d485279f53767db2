/**
 * Problems in settings, policy and record files.
 */

/** Describes one problem in a file. */
export interface SettingsProblem {
  /** Name of the file. */
  file: string
  /** Line of the problem, counted from 1. */
  line: number
  /** Path of the value, its parts joined by dots, such as `limits.maxFrameBytes`; empty for the whole file. */
  path: string
  /** What was expected at the path. */
  expected: string
}

/**
 * Formats a problem as one line for the operator.
 *
 * @param problem the problem to format
 * @returns `FILE:LINE: PATH: expected …`, with `(file)` as PATH when the problem concerns the whole file
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
