/**
 * Runs the model checker on the specifications of `spec/` and on their variants with one rule removed, prints a table and
 * the line `N passed, N failed`, and exits with 1 when a case failed or 2 when spin or a C compiler is missing.
 */
import { spawnSync } from 'node:child_process'
import { copyFileSync, mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { modelCases } from './model_cases.ts'
import type { ModelCase } from './model_cases.ts'
import { readVerdict } from './model_verdict.ts'
import type { ModelVerdict } from './model_verdict.ts'

const maxSearchDepth = 1_000_000
const checkTimeoutMs = 120_000
const missingToolExitCode = 2

interface Row extends ModelVerdict {
  modelCase: ModelCase
  ms: number
}

function isToolInstalled (name: string, flag: string): boolean {
  return spawnSync(name, [flag], { stdio: 'ignore' }).error === undefined
}

function runCommand (dir: string, command: string, args: string[]): string {
  const result = spawnSync(command, args, { cwd: dir, encoding: 'utf8', timeout: checkTimeoutMs })
  return `${result.stdout ?? ''}${result.stderr ?? ''}`
}

function runCase (dir: string, modelCase: ModelCase): ModelVerdict {
  const defines = modelCase.defines.map((name) => `-D${name}`)
  const isLiveness = modelCase.ltl !== undefined
  copyFileSync(join('spec', `${modelCase.spec}.pml`), join(dir, 'model.pml'))
  for (const file of ['pan', 'pan.c']) rmSync(join(dir, file), { force: true })
  runCommand(dir, 'spin', ['-a', ...defines, ...(isLiveness ? ['-DLIVENESS'] : []), 'model.pml'])
  runCommand(dir, 'cc', ['-w', modelCase.isLarge ? '-O2' : '-O0', ...(isLiveness ? ['-DNFAIR=3'] : ['-DSAFETY', '-DNOCLAIM']), '-o', 'pan', 'pan.c'])
  const search = isLiveness ? ['-a', '-f', '-N', modelCase.ltl ?? ''] : []
  return readVerdict(runCommand(dir, './pan', [`-m${maxSearchDepth}`, ...search]))
}

function isPassed (row: Row): boolean {
  return row.verdict === (row.modelCase.removedRule === undefined ? 'holds' : 'caught')
}

function printRow (row: Row): void {
  const cells = [
    row.modelCase.spec.padEnd(8),
    (row.modelCase.removedRule ?? '-').padEnd(14),
    (row.modelCase.ltl ?? 'safety').padEnd(9),
    (isPassed(row) ? row.verdict : `FAILED: ${row.verdict}`).padEnd(7),
    String(row.states).padStart(9),
    String(row.depth).padStart(6),
    `${(row.ms / 1000).toFixed(1)} s`.padStart(7),
    row.modelCase.defines.filter((name) => !name.startsWith('BROKEN')).join(' ')
  ]
  console.log(cells.join('  ').trimEnd())
}

function runAllCases (dir: string): Row[] {
  return modelCases.map((modelCase) => {
    const startMs = performance.now()
    const verdict = runCase(dir, modelCase)
    const row = { ...verdict, modelCase, ms: performance.now() - startMs }
    printRow(row)
    return row
  })
}

function main (): number {
  if (!isToolInstalled('spin', '-V') || !isToolInstalled('cc', '--version')) {
    console.error('the model check was not run: spin or a C compiler is missing (Debian: apt-get install spin gcc)')
    return missingToolExitCode
  }
  const dir = mkdtempSync(join(tmpdir(), 'briarloom-model-'))
  console.log('spec      variant         property   verdict     states   depth     time  bounds')
  const rows = runAllCases(dir)
  rmSync(dir, { recursive: true })
  const passed = rows.filter(isPassed).length
  const failed = rows.length - passed
  mkdirSync('out', { recursive: true })
  writeFileSync('out/model.json', JSON.stringify({ passed, failed }))
  console.log(`${passed} passed, ${failed} failed`)
  return failed > 0 ? 1 : 0
}

process.exit(main())
