/**
 * The command `write-policy`: validates the operator's policies once, when the platform builds, and writes them without comments.
 */
import { writeFileSync } from 'node:fs'
import { formatProblem, loadPolicy } from '../settings/mod.ts'
import type { Output } from './check_files.ts'
import { ExitCode } from './_exit_code.ts'
import { readText } from './_read_file.ts'

/**
 * Validates a policy file and writes its content as JSON, so that processes start without loading the validator.
 *
 * @param from the operator's file, JSON with comments
 * @param to the file that processes read
 * @param output receives the problems of the file
 * @returns 0, or 1 when the file cannot be read or is invalid
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
