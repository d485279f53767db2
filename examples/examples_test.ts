/**
 * Steps that check the example settings and records as `check` does.
 */
import assert from 'node:assert/strict'
import { readdirSync, readFileSync } from 'node:fs'
import { Then, When } from '@cucumber/cucumber'
import { checkFiles } from '../cli/mod.ts'
import { RecordKind } from '../core/records/mod.ts'
import { loadRecords } from '../settings/mod.ts'
import type { LoadedRecord } from '../settings/mod.ts'

interface CheckResult {
  file: string
  exitCode: number
  lines: string[]
}

interface World {
  results: CheckResult[]
  records: LoadedRecord[]
}

function checkFolder (folder: string): CheckResult[] {
  const files = readdirSync(`examples/${folder}`).map((name) => `examples/${folder}/${name}`)
  return files.map((file) => {
    const lines: string[] = []
    const output = { out: () => {}, err: (line: string) => { lines.push(line) } }
    return { file, exitCode: checkFiles([file], output), lines }
  })
}

When(/^the examples of "(\w+)"(?: and "(\w+)")? are checked$/, function (this: World, first: string, second: string | null) {
  this.results = [first, second].filter((folder) => typeof folder === 'string').flatMap(checkFolder)
})

Then('the examples check exits with 0 for each of the {int} files', function (this: World, count: number) {
  for (const { file, exitCode, lines } of this.results) assert.equal(exitCode, 0, `${file}: ${lines.join('\n')}`)
  assert.equal(this.results.length, count)
})

Then('the examples check exits with 1 for each file and reports the path and the text from its first line', function (this: World) {
  assert.ok(this.results.length > 0)
  for (const { file, exitCode, lines } of this.results) {
    const [, path, text] = /^\/\/ fault: (\S+): (.*)\n/.exec(readFileSync(file, 'utf8')) ?? []
    assert.ok(path, `${file} names no fault in its first line`)
    assert.equal(exitCode, 1, file)
    const isReported = lines.some((line) =>
      line.startsWith(`${file}:`) && line.includes(`: ${path}: expected `) && line.includes(text ?? ''))
    assert.ok(isReported, `${file}: ${lines.join('\n')}`)
  }
})

Then('the examples check reports exactly the findings that each file names', function (this: World) {
  assert.ok(this.results.length > 0)
  for (const { file, exitCode, lines } of this.results) {
    const { expected } = JSON.parse(readFileSync(file, 'utf8')) as { expected: string[] }
    const reported = lines.map((line) => line.slice(`${file}: `.length)).map((line) => /^(error|warning): /.test(line) ? line : `problem: ${line}`)
    const missing = expected.filter((text) => !reported.some((line) => line.startsWith(text)))
    const unexpected = reported.filter((line) => !expected.some((text) => line.startsWith(text)))
    assert.deepEqual({ missing, unexpected }, { missing: [], unexpected: [] }, file)
    assert.equal(exitCode, expected.every((text) => text.startsWith('warning')) ? 2 : 1, file)
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
