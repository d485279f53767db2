/**
 * Steps for the index of API keys.
 */
import assert from 'node:assert/strict'
import { Given, Then } from '@cucumber/cucumber'
import fc from 'fast-check'
import { createKeyIndex, digestKey, getKeyLabel } from './mod.ts'
import type { KeyIndex } from './mod.ts'

interface World { keyIndex: KeyIndex<string> }

const key = fc.string({ minLength: 1, maxLength: 40 })

Then('in {int} random sets of keys the key index finds the same holders as a plain list', function (numRuns: number) {
  const holders = fc.uniqueArray(fc.record({ key, holder: fc.string() }), { selector: (entry) => entry.key, maxLength: 200 })
  fc.assert(fc.property(holders, fc.array(key), (list, others) => {
    const index = createKeyIndex(list.map((entry) => ({ digest: digestKey(entry.key), holder: entry.holder })))
    for (const sought of [...others, ...list.map((entry) => entry.key)]) {
      assert.equal(index.find(sought), list.find((entry) => entry.key === sought)?.holder)
    }
  }), { seed: 42, numRuns })
})

Given('a key index in which {string} and {int} digests that begin like its own have holders', function (this: World, known: string, count: number) {
  const digest = digestKey(known)
  const alike = Array.from({ length: count }, (_, i) => ({ digest: digest.slice(0, 8) + digestKey(`other-${i}`).slice(8), holder: `other-${i}` }))
  this.keyIndex = createKeyIndex([...alike, { digest, holder: known }])
})

Given('a key index of the digests {string}, {string} and {string}', function (this: World, a: string, b: string, c: string) {
  this.keyIndex = createKeyIndex([a, b, c].map((digest) => ({ digest, holder: digest })))
})

Then('the key index finds the holder of {string} and nobody for {string}', function (this: World, known: string, unknown: string) {
  assert.equal(this.keyIndex.find(known), known)
  assert.equal(this.keyIndex.find(unknown), undefined)
})

Then('the key index finds nobody for {string}', function (this: World, unknown: string) { assert.equal(this.keyIndex.find(unknown), undefined) })

Then('the label of {int} random keys has {int} hexadecimal digits of the digest, and is the same each time', function (numRuns: number, digits: number) {
  fc.assert(fc.property(key, (text) => {
    assert.equal(getKeyLabel(text), digestKey(text).slice(0, digits))
    assert.match(getKeyLabel(text), /^[0-9a-f]+$/)
  }), { seed: 42, numRuns })
})
