/**
 * Reads the list of scenarios that are known to fail.
 */
import { existsSync, readFileSync } from 'node:fs'

/**
 * Returns the names of the scenarios that KNOWN-RED.txt lists.
 *
 * Each entry of the file is one line `test: NAME` followed by indented lines with the command, the seed, what was seen
 * and the issue.
 *
 * @returns the names
 *
 * @example
 * ```ts
 * console.log(knownRed().size)
 * ```
 */
export function readKnownFailures (): Set<string> {
  if (!existsSync('KNOWN-RED.txt')) return new Set()
  const lines = readFileSync('KNOWN-RED.txt', 'utf8').split('\n')
  const names = lines.filter((line) => line.startsWith('test: ')).map((line) => line.slice('test: '.length).trim())
  return new Set(names)
}
