/**
 * Steps for settings files.
 */
import assert from 'node:assert/strict'
import { Then, When } from '@cucumber/cucumber'
import { applyEdits, modify } from 'jsonc-parser'
import { loadSettings } from './mod.ts'
import type { SettingsProblem, Settings } from './mod.ts'
import type { Result } from '../core/results/mod.ts'

interface World {
  loaded: Result<Settings, SettingsProblem[]>
}

/** The settings that only one kind of process has. */
const processFields: Record<string, string> = {
  entry: '"http": { "host": "127.0.0.1", "port": 0 },',
  agent: '"backend": { "kind": "engine", "adapter": "engine_http", "address": "127.0.0.1:9000" },'
}

function settingsText (process: string): string {
  return `{
  // The kind of process.
  "process": "${process}",
  "name": "levis-1",
  "availabilityZone": "levis",
  "region": "qc-est",
  ${processFields[process]}
  "peer": { "host": "127.0.0.1", "port": 0 },
  "platform": {
    "config": { "adapter": "config_http", "url": "http://127.0.0.1:1" },
    "hosts": { "adapter": "hosts_http", "url": "http://127.0.0.1:2" }
  },
  /* Log level
     and limits. */
  "log": { "level": "info" },
  "timings": {},
  "limits": {},
}
`
}

function load (source: string): Result<Settings, SettingsProblem[]> {
  return loadSettings(source, { file: 'test.jsonc' })
}

When('settings of an entry leave out limits and timings', function (this: World) {
  const source = settingsText('entry').replace('"timings": {},', '').replace('"limits": {},', '')
  this.loaded = load(source)
})

Then(
  'the settings are loaded with a lease of {int} ms, a heartbeat of {int} ms and a grace period of {int} ms',
  function (this: World, leaseMs: number, heartbeatMs: number, graceMs: number) {
    assert.ok(this.loaded.ok, JSON.stringify(this.loaded.val))
    assert.deepEqual(this.loaded.val.timings, { leaseMs, heartbeatMs, graceMs })
  }
)

When(/^settings of an (\w+) have "([\w.]+)" set to (.+)$/, function (this: World, process: string, path: string, json: string) {
  const source = settingsText(process)
  const edits = modify(source, path.split('.'), JSON.parse(json), { formattingOptions: { insertSpaces: true, tabSize: 2 } })
  this.loaded = load(applyEdits(source, edits))
})

When('settings have a syntax error in line 3', function (this: World) {
  this.loaded = load(settingsText('entry').replace('"entry",', '"entry" :'))
})

Then(
  'the settings are rejected at line {int} and path {string} with {string}',
  function (this: World, line: number, path: string, expected: string) {
    assert.ok(this.loaded.err, 'the settings were accepted')
    const allProblems = JSON.stringify(this.loaded.val)
    const found = this.loaded.val.find((problem) => problem.line === line &&
      problem.expected.replaceAll('"', '').includes(expected))
    assert.ok(found, allProblems)
    assert.ok(found.path.startsWith(path), allProblems)
  }
)
