#!/usr/bin/env node
/**
 * Entry point of the processes on the platform. It imports no module that only other commands need, because start-up is
 * charged there.
 */
import './_early_signals.ts'

// Imported only now, so that a signal that comes while the modules load has a receiver.
const { PlatformProcess, runPlatformProcess } = await import('./run_platform_process.ts')

const kinds = new Map(Object.values(PlatformProcess).map((kind) => [kind as string, kind]))
const [name = '', policyFile] = process.argv.slice(2)
const kind = kinds.get(name)
if (kind === undefined || policyFile === undefined) {
  console.error(`expected ${[...kinds.keys()].join(' or ')} and a policy file, got "${name}" and "${policyFile ?? ''}"`)
  process.exit(1)
}
process.exit(await runPlatformProcess(kind, policyFile))
