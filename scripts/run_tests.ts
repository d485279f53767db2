/**
 * Runs every cucumber scenario from the compiled tree, passes over the scenarios listed in KNOWN-RED.txt, and ends
 * with the line `N passed, N failed`.
 */
import { mkdirSync, writeFileSync } from 'node:fs'
import { loadConfiguration, loadSources, runCucumber } from '@cucumber/cucumber/api'
import { readKnownFailures } from './read_known_failures.ts'
import { countScenarios } from './count_scenarios.ts'
import type { Envelope } from './count_scenarios.ts'

async function main (): Promise<number> {
  const names = process.argv.slice(2)
  const { runConfiguration } = await loadConfiguration({ provided: { name: names, format: ['progress'] } })
  const sources = await loadSources(runConfiguration.sources)
  if (sources.errors.length > 0) {
    for (const err of sources.errors) console.error(err.message)
    return 1
  }
  const envelopes: Envelope[] = []
  await runCucumber(runConfiguration, {}, (envelope) => { envelopes.push(envelope as Envelope) })
  const result = countScenarios(envelopes, readKnownFailures())
  for (const name of result.knownFailures) console.log(`known red, passed over: ${name}`)
  for (const name of result.failed) console.log(`failed: ${name}`)
  mkdirSync('out', { recursive: true })
  writeFileSync('out/tests.json', JSON.stringify({ passed: result.passed, failed: result.failed.length }))
  console.log(`${result.passed} passed, ${result.failed.length} failed`)
  return result.failed.length > 0 || result.passed === 0 ? 1 : 0
}

process.exit(await main())
