#!/usr/bin/env node
/**
 * The step of the platform's build that checks and writes the policies.
 */
import { writePolicy } from './write_policy.ts'

const [from = '', to = ''] = process.argv.slice(2)
process.exit(writePolicy(from, to, { out: (line) => { console.log(line) }, err: (line) => { console.error(line) } }))
