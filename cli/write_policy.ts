/**
 * The command `write-policy`: checks the operator's policies once, when the platform builds, and writes them without comments.
 */
import { writeFileSync } from 'node:fs'
import { formatProblem, loadPolicy } from '../settings/mod.ts'
import type { Output } from './check_files.ts'
import { ExitCode } from './_exit_code.ts'
import { readText } from './_read_file.ts'

/**
 * Checks a file of policies and writes what it holds as JSON, so that processes start without the checker.
 *
 * @param from the operator's file, JSON with comments
 * @param to the file that processes read
 * @param output where faults go
 * @returns 0, or 1 when the file cannot be read or has a fault
 *
 * @example
 * ```ts
 * process.exitCode = writePolicy('deploy/policy.jsonc', 'target/policy.json', { out: console.log, err: console.error })
 * ```
 */
export function writePolicy (from: string, to: string, output: Output): ExitCode {
  const text = readText(from)
  if (text.err) {
    output.err(text.val)
    return ExitCode.Failed
  }
  const policy = loadPolicy(text.val, { file: from })
  if (policy.err) {
    for (const problem of policy.val) output.err(formatProblem(problem))
    return ExitCode.Failed
  }
  writeFileSync(to, JSON.stringify(policy.val))
  return ExitCode.Ok
}
