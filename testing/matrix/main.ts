/**
 * Runs the whole fault matrix, prints a table with the result of each cell and writes it to out/matrix.md.
 * The exit code is 1 when a scenario fails that is not known to fail, or when none passes.
 */
import { mkdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { loadConfiguration, loadSources, runCucumber } from '@cucumber/cucumber/api'
import { readKnownFailures } from '../../scripts/read_known_failures.ts'
import { countScenarios } from '../../scripts/count_scenarios.ts'
import type { Envelope } from '../../scripts/count_scenarios.ts'
import { createSystemTimer } from '../../timer/mod.ts'
import { Fault, findExclusionReason, Step } from './_cells.ts'

/** The result of a cell as out/matrix.jsonl holds it. */
interface Verdict {
  fault: Fault
  step: Step
  /** Message of the check that failed. */
  failed?: string
  /** How each request ended; only when all checks passed. */
  ended?: string[]
  /** Time in milliseconds from the undoing of the fault to the release of all work. */
  freeMs?: number
}

const parallelProcesses = 5
const resultFile = 'out/matrix.jsonl'

function readVerdicts (): Verdict[] {
  const lines = readFileSync(resultFile, 'utf8').split('\n').filter((line) => line !== '')
  return lines.map((line) => JSON.parse(line) as Verdict)
}

function formatCell (verdicts: Verdict[], fault: Fault, step: Step): string {
  if (findExclusionReason(fault, step) !== undefined) return '–'
  const verdict = verdicts.find((item) => item.fault === fault && item.step === step)
  if (!verdict) return 'not run'
  return verdict.failed === undefined ? verdict.ended?.[0] ?? '' : 'RED'
}

function formatTable (verdicts: Verdict[]): string {
  const steps = Object.values(Step)
  const rows = Object.values(Fault).map((fault) => {
    return `| ${fault} | ${steps.map((step) => formatCell(verdicts, fault, step)).join(' | ')} |`
  })
  return [`| fault | ${steps.join(' | ')} |`, `|${'---|'.repeat(steps.length + 1)}`, ...rows].join('\n')
}

function listExcludedCells (): string[] {
  const lines: string[] = []
  for (const fault of Object.values(Fault)) {
    for (const step of Object.values(Step)) {
      const reason = findExclusionReason(fault, step)
      if (reason !== undefined) lines.push(`- ${fault} at ${step}: ${reason}`)
    }
  }
  return lines
}

function listFailures (verdicts: Verdict[]): string[] {
  const failed = verdicts.filter((verdict) => verdict.failed !== undefined)
  return failed.map((verdict) => `- ${verdict.fault} at ${verdict.step}: ${verdict.failed?.split('\n')[0]}`)
}

async function runScenarios (): Promise<ReturnType<typeof countScenarios>> {
  const { runConfiguration } = await loadConfiguration({
    file: false,
    provided: {
      paths: ['testing/matrix/*.feature', 'testing/deployment/*.feature'],
      import: ['dist/testing/matrix/*_test.js'],
      tags: '@matrix',
      parallel: parallelProcesses,
      format: ['progress']
    }
  })
  await loadSources(runConfiguration.sources)
  const envelopes: Envelope[] = []
  await runCucumber(runConfiguration, {}, (envelope) => { envelopes.push(envelope as Envelope) })
  return countScenarios(envelopes, readKnownFailures())
}

async function main (): Promise<number> {
  const timer = createSystemTimer()
  const startMs = timer.now()
  mkdirSync('out', { recursive: true })
  rmSync(resultFile, { force: true })
  const result = await runScenarios()
  const verdicts = readVerdicts()
  const slowest = Math.max(...verdicts.map((verdict) => verdict.freeMs ?? 0))
  const report = [
    formatTable(verdicts), '', ...listFailures(verdicts), '', 'Cells that are left out:', '', ...listExcludedCells(), '',
    `Slowest release of all work after the fault was undone: ${slowest} ms.`
  ].join('\n')
  writeFileSync('out/matrix.md', report + '\n')
  console.log(report)
  for (const name of result.knownFailures) console.log(`known red, passed over: ${name}`)
  for (const name of result.failed) console.log(`failed: ${name}`)
  const seconds = Math.round((timer.now() - startMs) / 1000)
  console.log(
    `${verdicts.length} cells in ${seconds} s: ${result.passed} passed, ${result.failed.length} failed, ${result.knownFailures.length} known red`
  )
  timer.close()
  return result.failed.length > 0 || result.passed === 0 ? 1 : 0
}

process.exit(await main())
