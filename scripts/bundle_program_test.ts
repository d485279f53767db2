/**
 * Steps for the bundle.
 */
import assert from 'node:assert/strict'
import { spawnSync } from 'node:child_process'
import { mkdirSync, mkdtempSync, rmSync } from 'node:fs'
import { isBuiltin } from 'node:module'
import { join } from 'node:path'
import { After, Then, When } from '@cucumber/cucumber'
import { bundleProgram } from './bundle_program.ts'

interface World {
  bundleFolder?: string
  loaded: string[]
}

After(function (this: World) {
  if (this.bundleFolder !== undefined) rmSync(this.bundleFolder, { recursive: true, force: true })
})

When("the platform's programs are bundled", async function (this: World) {
  // The folder lies inside the repository, so that the bundle finds the packages that it loads.
  mkdirSync('out', { recursive: true })
  this.bundleFolder = mkdtempSync(join('out', 'bundle-'))
  this.loaded = await bundleProgram('cli/platform_main.ts', join(this.bundleFolder, 'briarloom.js'))
})

Then('the bundle imports only Node modules and {string}', function (this: World, packageName: string) {
  assert.deepEqual(this.loaded.filter((name) => !name.startsWith('node:') && !isBuiltin(name)), [packageName])
})

Then('the bundle imports none of {string}', function (this: World, names: string) {
  assert.deepEqual(this.loaded.filter((name) => names.split(', ').includes(name)), [])
})

Then('the bundle names the missing environment variable on standard error and exits with {int}', function (this: World, code: number) {
  const result = spawnSync(process.execPath, [join(this.bundleFolder as string, 'briarloom.js'), 'gateway', 'policy.json'], { encoding: 'utf8', env: {} })
  assert.match(result.stderr, /BRIARLOOM_NODE_FILE/)
  assert.equal(result.status, code)
})
