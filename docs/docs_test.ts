/**
 * Steps that compare pages with the sources.
 */
import assert from 'node:assert/strict'
import { readdirSync, readFileSync } from 'node:fs'
import { Then, When } from '@cucumber/cucumber'
import { Outcome, RefusalCode } from '../core/types/mod.ts'
import { createRefusal } from '../entry/_refusals.ts'

interface World {
  page: string
}

/** Codes that no caller sees: whoever cancelled is gone. */
const unseenCodes = new Set([RefusalCode.Cancelled])
const sourceFolders = ['agent', 'cli', 'daemon', 'directory', 'entry', 'gateway', 'peer', 'platform', 'relay', 'sidecar']
const commands = new Set(['entry', 'agent', 'gateway', 'sidecar', 'write', 'check', 'status', 'explain', 'load'])

When('the page {string} is read', function (this: World, name: string) {
  this.page = readFileSync(`docs/${name}`, 'utf8')
})

Then('the page has every refusal code in the row of its HTTP status', function (this: World) {
  for (const code of Object.values(RefusalCode)) {
    if (unseenCodes.has(code)) continue
    const { status } = createRefusal(code, Outcome.NotRun)
    const rows = this.page.split('\n').filter((line) => line.startsWith(`| ${status} |`))
    assert.ok(rows.some((row) => row.includes(`\`${code}\``)), `${code} is not in a row of status ${status}`)
  }
})

Then('every command "briarloom" on the page is one that the program knows', function (this: World) {
  const used = [...this.page.matchAll(/briarloom ([a-z]+)/g)].map((match) => match[1] ?? '')
  assert.ok(used.length > 0)
  for (const command of used) assert.ok(commands.has(command), command)
})

function loggedTexts (): string[] {
  const files = sourceFolders.flatMap((folder) => {
    return readdirSync(folder).filter((name) => name.endsWith('.ts') && !name.endsWith('_test.ts')).map((name) => `${folder}/${name}`)
  })
  const pattern = /log\.(?:info|warn|error)\(\{[^)]*?\}, (?:'([^']+)'|`([^`$]+))/g
  return files.flatMap((file) => [...readFileSync(file, 'utf8').matchAll(pattern)].map((match) => (match[1] ?? match[2] ?? '').trim()))
}

Then('the page has a row for each text that the daemons log', function (this: World) {
  const texts = loggedTexts()
  assert.ok(texts.includes('ready'), texts.join(', '))
  for (const text of texts) assert.ok(this.page.includes(`| \`${text}`), text)
})
