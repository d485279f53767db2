/**
 * Runs the whole fault matrix and prints its table of verdicts; writes the table to out/matrix.md.
 */
import { mkdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { loadConfiguration, loadSources, runCucumber } from '@cucumber/cucumber/api'
import { readKnownFailures } from '../../scripts/read_known_failures.ts'
import { countScenarios } from '../../scripts/count_scenarios.ts'
import type { Envelope } from '../../scripts/count_scenarios.ts'
import { createSystemTimer } from '../../timer/mod.ts'
import { Fault, findExclusionReason, Step } from './_cells.ts'

interface Verdict {
  fault: Fault
  step: Step
  failed?: string
  ended?: string[]
  freeMs?: number
}

const lanes = 5
const resultFile = 'out/matrix.jsonl'

function readVerdicts (): Verdict[] {
  const lines = readFileSync(resultFile, 'utf8').split('\n').filter((line) => line !== '')
  return lines.map((line) => JSON.parse(line) as Verdict)
}

function cellText (verdicts: Verdict[], fault: Fault, step: Step): string {
  if (findExclusionReason(fault, step) !== undefined) return '–'
  const verdict = verdicts.find((item) => item.fault === fault && item.step === step)
  if (!verdict) return 'not run'
  return verdict.failed === undefined ? verdict.ended?.[0] ?? '' : 'RED'
}

function table (verdicts: Verdict[]): string {
  const steps = Object.values(Step)
  const rows = Object.values(Fault).map((fault) => {
    return `| ${fault} | ${steps.map((step) => cellText(verdicts, fault, step)).join(' | ')} |`
  })
  return [`| fault | ${steps.join(' | ')} |`, `|${'---|'.repeat(steps.length + 1)}`, ...rows].join('\n')
}

function notApplicable (): string[] {
  const lines: string[] = []
  for (const fault of Object.values(Fault)) {
    for (const step of Object.values(Step)) {
      const reason = findExclusionReason(fault, step)
      if (reason !== undefined) lines.push(`- ${fault} at ${step}: ${reason}`)
    }
  }
  return lines
}

function failures (verdicts: Verdict[]): string[] {
  const failed = verdicts.filter((verdict) => verdict.failed !== undefined)
  return failed.map((verdict) => `- ${verdict.fault} at ${verdict.step}: ${verdict.failed?.split('\n')[0]}`)
}

async function run (): Promise<ReturnType<typeof countScenarios>> {
  const { runConfiguration } = await loadConfiguration({
    file: false,
    provided: {
      paths: ['testing/matrix/*.feature', 'testing/deployment/*.feature'],
      import: ['dist/testing/matrix/*_test.js'],
      tags: '@matrix',
      parallel: lanes,
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
  const result = await run()
  const verdicts = readVerdicts()
  const slowest = Math.max(...verdicts.map((verdict) => verdict.freeMs ?? 0))
  const report = [
    table(verdicts), '', ...failures(verdicts), '', 'Cells that make no sense:', '', ...notApplicable(), '',
    `Slowest release of engine memory after the heal: ${slowest} ms.`
  ].join('\n')
  writeFileSync('out/matrix.md', report + '\n')
  console.log(report)
  for (const name of result.knownFailures) console.log(`known red, passed over: ${name}`)
  for (const name of result.failed) console.log(`failed: ${name}`)
  const seconds = Math.round((timer.now() - startMs) / 1000)
  console.log(`${verdicts.length} cells in ${seconds} s: ${result.passed} passed, ${result.failed.length} failed, ${result.knownFailures.length} known red`)
  timer.close()
  return result.failed.length > 0 || result.passed === 0 ? 1 : 0
}

process.exit(await main())
