/**
 * Steps that run the program `embed.ts`, which embeds the library.
 */
import assert from 'node:assert/strict'
import { execFile } from 'node:child_process'
import { promisify } from 'node:util'
import { fileURLToPath } from 'node:url'
import { Then, When } from '@cucumber/cucumber'

interface World {
  embedOutput: string
}

When('the program that embeds the library runs', async function (this: World) {
  const program = fileURLToPath(new URL('embed.js', import.meta.url))
  const { stdout } = await promisify(execFile)(process.execPath, [program])
  this.embedOutput = stdout.trim()
})

Then('the embedding program printed {string}', function (this: World, output: string) {
  assert.equal(this.embedOutput, output)
})
