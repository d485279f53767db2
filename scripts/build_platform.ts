/**
 * The platform's build: one bundle for the programs, and the operator's policies, checked and without comments.
 */
import { writePolicy } from '../cli/write_policy.ts'
import { bundleProgram } from './bundle_program.ts'

await bundleProgram('cli/platform_main.ts', 'target/briarloom.js')
process.exitCode = writePolicy('deploy/policy.jsonc', 'target/policy.json', {
  out: (line) => { console.log(line) }, err: (line) => { console.error(line) }
})
