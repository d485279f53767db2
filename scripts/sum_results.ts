/**
 * Adds up the results that the runners wrote and prints one line `N passed, N failed`.
 */
import { existsSync, readFileSync } from 'node:fs'

interface Counts {
  passed: number
  failed: number
}

function readCounts (file: string): Counts {
  // A runner that wrote no file did not finish; that counts as one failure.
  if (!existsSync(file)) return { passed: 0, failed: 1 }
  return JSON.parse(readFileSync(file, 'utf8')) as Counts
}

const results = process.argv.slice(2).map(readCounts)
const passed = results.reduce((sum, counts) => sum + counts.passed, 0)
const failed = results.reduce((sum, counts) => sum + counts.failed, 0)
console.log(`${passed} passed, ${failed} failed`)
process.exit(failed > 0 || passed === 0 ? 1 : 0)
