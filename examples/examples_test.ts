/**
 * Steps for the examples.
 */
import assert from 'node:assert/strict'
import { readdirSync, readFileSync } from 'node:fs'
import { Then, When } from '@cucumber/cucumber'
import { checkFiles } from '../cli/mod.ts'
import { RecordKind } from '../core/records/mod.ts'
import { loadRecords } from '../settings/mod.ts'
import type { LoadedRecord } from '../settings/mod.ts'

interface Checked {
  file: string
  code: number
  lines: string[]
}

interface World {
  checked: Checked[]
  records: LoadedRecord[]
}

function checkFolder (folder: string): Checked[] {
  const files = readdirSync(`examples/${folder}`).map((name) => `examples/${folder}/${name}`)
  return files.map((file) => {
    const lines: string[] = []
    const output = { out: () => {}, err: (line: string) => { lines.push(line) } }
    return { file, code: checkFiles([file], output), lines }
  })
}

When(/^the examples of "(\w+)"(?: and "(\w+)")? are checked$/, function (this: World, first: string, second: string | null) {
  this.checked = [first, second].filter((folder) => typeof folder === 'string').flatMap(checkFolder)
})

Then('the examples check ends with 0 for each of the {int} files', function (this: World, count: number) {
  for (const { file, code, lines } of this.checked) assert.equal(code, 0, `${file}: ${lines.join('\n')}`)
  assert.equal(this.checked.length, count)
})

Then('the examples check ends with 1 for each file and names the path and the text of its first line', function (this: World) {
  assert.ok(this.checked.length > 0)
  for (const { file, code, lines } of this.checked) {
    const [, path, text] = /^\/\/ fault: (\S+): (.*)\n/.exec(readFileSync(file, 'utf8')) ?? []
    assert.ok(path, `${file} names no fault in its first line`)
    assert.equal(code, 1, file)
    const named = lines.some((line) => line.startsWith(`${file}:`) && line.includes(`: ${path}: expected `) && line.includes(text ?? ''))
    assert.ok(named, `${file}: ${lines.join('\n')}`)
  }
})

When('the example records of {string} are read', function (this: World, deployment: string) {
  const file = `examples/${deployment}/records.jsonc`
  this.records = loadRecords(readFileSync(file, 'utf8'), { file }).unwrap()
})

Then('the example records have {int} workers that serve {string}', function (this: World, count: number, service: string) {
  const workers = this.records.filter(({ record }) => record.kind === RecordKind.Backend && record.serves === service)
  assert.equal(workers.length, count)
})
