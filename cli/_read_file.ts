/**
 * Reads the files that the command line names.
 */
import { readFileSync, statSync } from 'node:fs'
import { Err, Ok } from '../core/results/mod.ts'
import type { Result } from '../core/results/mod.ts'

/** Size of the largest file that is read, in bytes. */
const maxFileBytes = 64 * 1024 * 1024

/** Returns the content of a text file; the error names the file and says why it cannot be read. */
export function readText (file: string): Result<string, string> {
  try {
    const { size } = statSync(file)
    if (size > maxFileBytes) return Err(`file "${file}" has ${size} bytes; at most ${maxFileBytes} are read`)
    return Ok(readFileSync(file, 'utf8'))
  } catch (err) {
    return Err(`file "${file}" cannot be read: ${err instanceof Error ? err.message : String(err)}`)
  }
}
