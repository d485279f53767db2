/**
 * Runs the model checker over the specifications of `spec/` and over their broken variants, prints a table, and ends with
 * the line `N passed, N failed`; exits with 2 when spin is missing.
 */
import { spawnSync } from 'node:child_process'
import { copyFileSync, mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { modelCases } from './model_cases.ts'
import type { ModelCase } from './model_cases.ts'
import { readVerdict } from './model_verdict.ts'
import type { ModelVerdict } from './model_verdict.ts'

const maxDepth = 1_000_000
const checkTimeoutMs = 120_000
const missingExitCode = 2

interface Row extends ModelVerdict {
  check: ModelCase
  ms: number
}

function hasTool (name: string, flag: string): boolean {
  return spawnSync(name, [flag], { stdio: 'ignore' }).error === undefined
}

function run (dir: string, command: string, args: string[]): string {
  const done = spawnSync(command, args, { cwd: dir, encoding: 'utf8', timeout: checkTimeoutMs })
  return `${done.stdout ?? ''}${done.stderr ?? ''}`
}

function check (dir: string, item: ModelCase): ModelVerdict {
  const defines = item.defines.map((name) => `-D${name}`)
  const isLiveness = item.ltl !== undefined
  copyFileSync(join('spec', `${item.spec}.pml`), join(dir, 'model.pml'))
  for (const file of ['pan', 'pan.c']) rmSync(join(dir, file), { force: true })
  run(dir, 'spin', ['-a', ...defines, ...(isLiveness ? ['-DLIVENESS'] : []), 'model.pml'])
  run(dir, 'cc', ['-w', item.isLarge ? '-O2' : '-O0', ...(isLiveness ? ['-DNFAIR=3'] : ['-DSAFETY', '-DNOCLAIM']), '-o', 'pan', 'pan.c'])
  const search = isLiveness ? ['-a', '-f', '-N', item.ltl ?? ''] : []
  return readVerdict(run(dir, './pan', [`-m${maxDepth}`, ...search]))
}

function isPassed (row: Row): boolean {
  return row.verdict === (row.check.removedRule === undefined ? 'holds' : 'caught')
}

function print (row: Row): void {
  const cells = [
    row.check.spec.padEnd(8),
    (row.check.removedRule ?? '-').padEnd(14),
    (row.check.ltl ?? 'safety').padEnd(9),
    (isPassed(row) ? row.verdict : `FAILED: ${row.verdict}`).padEnd(7),
    String(row.states).padStart(9),
    String(row.depth).padStart(6),
    `${(row.ms / 1000).toFixed(1)} s`.padStart(7),
    row.check.defines.filter((name) => !name.startsWith('BROKEN')).join(' ')
  ]
  console.log(cells.join('  ').trimEnd())
}

function runAll (dir: string): Row[] {
  return modelCases.map((item) => {
    const startMs = performance.now()
    const verdict = check(dir, item)
    const row = { ...verdict, check: item, ms: performance.now() - startMs }
    print(row)
    return row
  })
}

function main (): number {
  if (!hasTool('spin', '-V') || !hasTool('cc', '--version')) {
    console.error('the model check was not run: spin or a C compiler is missing (Debian: apt-get install spin gcc)')
    return missingExitCode
  }
  const dir = mkdtempSync(join(tmpdir(), 'briarloom-model-'))
  console.log('spec      variant         property   verdict     states   depth     time  bounds')
  const rows = runAll(dir)
  rmSync(dir, { recursive: true })
  const passed = rows.filter(isPassed).length
  const failed = rows.length - passed
  mkdirSync('out', { recursive: true })
  writeFileSync('out/model.json', JSON.stringify({ passed, failed }))
  console.log(`${passed} passed, ${failed} failed`)
  return failed > 0 ? 1 : 0
}

process.exit(main())
