/**
 * Steps for the story of a request from log files, and for the check of platform files.
 */
import assert from 'node:assert/strict'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { After, Given, Then } from '@cucumber/cucumber'
import { checkFiles } from './check_files.ts'
import { explainRequestFromLogs } from './explain_request_from_logs.ts'
import type { DataTable } from '@cucumber/cucumber'

interface World {
  logFolder?: string
  logFiles: string[]
}

function writeFile (world: World, name: string, text: string): void {
  world.logFolder ??= mkdtempSync(join(tmpdir(), 'briarloom-'))
  const file = join(world.logFolder, name)
  writeFileSync(file, text)
  world.logFiles = [...world.logFiles ?? [], file]
}

After(function (this: World) {
  if (this.logFolder !== undefined) rmSync(this.logFolder, { recursive: true })
})

Given('a log file {string} with the lines', function (this: World, name: string, table: DataTable) {
  const lines = table.hashes().map(({ time, request, ...rest }) => JSON.stringify({
    ...rest, time: `2026-12-04T10:00:${time}00Z`, ...(request === '' ? {} : { request })
  }))
  // The bench puts time and machine before each line, and a process that ends may cut its last one.
  writeFile(this, name, lines.map((line) => `   1.0 edge ${line.replace(/^\{(.*)"name":"([^"]*)",?/, '{"name":"$2",$1')}`).join('\n') + '\n{"name":"cu')
})

Given('a file {string} with the text {string}', function (this: World, name: string, text: string) { writeFile(this, name, text) })

Then('the log story of {string} has the lines {string}', function (this: World, requestId: string, wanted: string) {
  const out: string[] = []
  assert.equal(explainRequestFromLogs(requestId, this.logFiles, { out: (line) => out.push(line), err: assert.fail }), 0)
  assert.deepEqual(out.map((line) => line.replace(/^\S+ /, '').replace(/:.*$/, '')), wanted.split(', '))
})

Then('the log story of {string} says that none of {int} lines names it', function (this: World, requestId: string, count: number) {
  const err: string[] = []
  assert.equal(explainRequestFromLogs(requestId, this.logFiles, { out: assert.fail, err: (line) => err.push(line) }), 1)
  assert.match(err.join(), new RegExp(`none of ${count} log lines`))
})

Then('the command check of {string} ends with {int} and says {string}', function (this: World, name: string, code: number, says: string) {
  const lines: string[] = []
  const output = { out: (line: string) => lines.push(line), err: (line: string) => lines.push(line) }
  assert.equal(checkFiles([join(this.logFolder as string, name)], output), code)
  assert.ok(lines.join('\n').includes(says), lines.join('\n'))
})
