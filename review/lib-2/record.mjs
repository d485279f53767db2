/**
 * The record of a case: what was sent, answered and run, with the time since the start of the case.
 */
import { writeFileSync } from 'node:fs'
import { join } from 'node:path'

/** Creates a record that is written to `record.txt` in a folder. */
export function createRecord (folder) {
  const startMs = performance.now()
  const lines = []
  return {
    now: () => performance.now() - startMs,
    add (text) { lines.push(`${(performance.now() - startMs).toFixed(0).padStart(7)} ms  ${text}`) },
    write () { writeFileSync(join(folder, 'record.txt'), lines.join('\n') + '\n') }
  }
}
