#!/usr/bin/env node
/**
 * The start of a process on the platform; it loads nothing that only other commands need, because starting is charged there.
 */
import { PlatformProcess, runOnPlatform } from './run_on_platform.ts'

const kinds = new Map<string, PlatformProcess>(Object.values(PlatformProcess).map((kind) => [kind, kind]))
const kind = kinds.get(process.argv[2] ?? '')
if (kind === undefined) {
  console.error(`process "${process.argv[2] ?? ''}" does not exist; expected ${[...kinds.keys()].join(' or ')}`)
  process.exit(1)
}
process.exit(await runOnPlatform(kind, undefined))
