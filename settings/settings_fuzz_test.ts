/**
 * Steps that pass hostile content to the loaders of settings and records.
 */
import assert from 'node:assert/strict'
import { readFileSync } from 'node:fs'
import { Then } from '@cucumber/cucumber'
import fc from 'fast-check'
import { decodeRecord } from '../core/records/mod.ts'
import { loadRecords, loadSettings } from './mod.ts'
import type { SettingsProblem } from './mod.ts'
import type { Result } from '../core/results/mod.ts'

const file = 'fuzz.jsonc'
const examples = ['entry', 'agent_engine', 'agent_service', 'records']
  .map((name) => readFileSync(`examples/fleuve/${name}.jsonc`, 'utf8'))
const exampleRecords = loadRecords(examples[3] ?? '', { file }).unwrap()

/** Example files in which one to three short pieces are replaced by other text. */
const changed = fc.tuple(
  fc.constantFrom(...examples),
  fc.array(fc.tuple(fc.nat(), fc.nat(6), fc.oneof(fc.string({ maxLength: 4 }), fc.constantFrom('{', '}', '"', ':', '//', '/*', 'null'))), {
    minLength: 1, maxLength: 3
  })
).map(([text, edits]) => edits.reduce((current, [at, length, insert]) => {
  const start = at % current.length
  return current.slice(0, start) + insert + current.slice(start + length)
}, text))

const texts: Record<string, fc.Arbitrary<string>> = {
  random: fc.string({ maxLength: 200, unit: 'binary' }),
  json: fc.json({ maxDepth: 5 }),
  changed
}

/** Checks that a result is a value, or problems with a line of the text and an expectation. */
function assertValueOrProblems (result: Result<unknown, SettingsProblem[]>, lines: number): void {
  if (result.ok) return
  assert.ok(result.val.length > 0)
  for (const { line, expected } of result.val) {
    assert.ok(line >= 1 && line <= lines, `line ${line} of ${lines}`)
    assert.notEqual(expected, '')
  }
}

Then(
  'the settings and records loaders return a value or problems for {int} texts of the kind {string} with seed {int}',
  { timeout: 20_000 },
  function (numRuns: number, kind: string, seed: number) {
    fc.assert(fc.property(texts[kind] as fc.Arbitrary<string>, (text) => {
      const lines = text.split('\n').length
      assertValueOrProblems(loadSettings(text, { file }), lines)
      assertValueOrProblems(loadRecords(text, { file }), lines)
    }), { seed, numRuns })
  }
)

Then('the settings and records loaders reject {int} nested brackets', function (depth: number) {
  // Behind a closing bracket in a string, a comment or of another kind the parser goes deeper all the same.
  for (const bracket of ['[', '{"a":', '["]",', '{"}":', '[/*]*/', '[//]\n', '[},', '{"a":],"b":', '{"a":[},', '[{],']) {
    assert.ok(loadSettings(bracket.repeat(depth), { file }).err)
    assert.ok(loadRecords(bracket.repeat(depth), { file }).err)
  }
})

Then('the settings record decoder returns a record or an error with its key for {int} changed records with seed {int}', function (numRuns: number, seed: number) {
  const key = fc.oneof(fc.constantFrom(...exampleRecords.map((item) => item.key)), fc.string())
  const value = fc.oneof(fc.json(), fc.string(), fc.constantFrom(...exampleRecords.map((item) => item.value)))
  const replaced = fc.tuple(fc.constantFrom(...exampleRecords), fc.nat(), fc.jsonValue()).map(([item, pick, replacement]) => {
    const fields = JSON.parse(item.value)
    const names = Object.keys(fields)
    return { key: item.key, text: JSON.stringify({ ...fields, [names[pick % names.length] as string]: replacement }) }
  })
  const anyRecord = fc.oneof(replaced, fc.record({ key, text: value }))
  fc.assert(fc.property(anyRecord, (input) => {
    const result = decodeRecord(input.key, input.text)
    if (result.err) assert.equal(result.val.key, input.key)
    else assert.equal(`${result.val.kind}/${result.val.name}`, input.key)
  }), { seed, numRuns })
})
