#!/usr/bin/env node
/**
 * The start of a process on the platform; it loads nothing that only other commands need, because starting is charged there.
 */
import { PlatformProcess, runPlatformProcess } from './run_platform_process.ts'

const kinds = new Map<string, PlatformProcess>(Object.values(PlatformProcess).map((kind) => [kind, kind]))
const [name = '', policyFile] = process.argv.slice(2)
const kind = kinds.get(name)
if (kind === undefined || policyFile === undefined) {
  console.error(`expected ${[...kinds.keys()].join(' or ')} and a file of policies, got "${name}" and "${policyFile ?? ''}"`)
  process.exit(1)
}
process.exit(await runPlatformProcess(kind, policyFile))
