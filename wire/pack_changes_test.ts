/**
 * Steps for packed changes of the store.
 */
import assert from 'node:assert/strict'
import { gzipSync } from 'node:zlib'
import { Then } from '@cucumber/cucumber'
import fc from 'fast-check'
import { packChanges, unpackChanges } from './mod.ts'

const change = { key: 'servers/i-1', revision: 7, value: 'x'.repeat(5_000) }
const overLimitBytes = 17 * 1_048_576

function pack (value: unknown): Buffer { return gzipSync(JSON.stringify(value)) }

const badPackings: { readonly [what: string]: () => Uint8Array } = {
  'no gzip': () => Buffer.from('no gzip'),
  'no JSON': () => gzipSync('{'),
  'cut off': () => packChanges([change]).subarray(0, -9),
  'larger than 16 MiB': () => pack([{ ...change, value: 'x'.repeat(overLimitBytes) }]),
  'without a revision': () => pack([{ key: 'servers/i-1', value: null }]),
  'with a nested value': () => pack([{ ...change, value: { text: 'x' } }])
}

Then(/^the wire refuses packed changes that are (.+)$/, function (what: string) {
  const build = badPackings[what] ?? assert.fail(what)
  assert.ok(unpackChanges(build()).err)
})

const changes = fc.array(fc.record({
  key: fc.string({ maxLength: 100 }),
  revision: fc.nat(),
  value: fc.option(fc.string({ maxLength: 200 }), { nil: null })
}, { noNullPrototype: true }), { maxLength: 20 })

Then('in {int} random lists of changes the wire unpacks what it has packed', function (numRuns: number) {
  fc.assert(fc.property(changes, (list) => { assert.deepEqual(unpackChanges(packChanges(list)).unwrap(), list) }), { numRuns, seed: 49 })
})
