/**
 * Steps for the token assembler.
 */
import assert from 'node:assert/strict'
import { Given, Then } from '@cucumber/cucumber'
import fc from 'fast-check'
import { createTokenAssembler } from './mod.ts'

interface World {
  checked: number
}

interface Batch {
  offset: number
  length: number
}

Given('the token assembler gets the batches of an answer of {int} tokens repeated and shuffled {int} times',
  function (this: World, length: number, runs: number) {
    this.checked = 0
    const answer = Array.from({ length }, (_, i) => ` w${i}`)
    const whole: Batch[] = answer.map((_, offset) => ({ offset, length: 1 }))
    const batch = fc.record({ offset: fc.nat(length - 1), length: fc.integer({ min: 1, max: 6 }) })
    const plan = fc.tuple(fc.array(batch), fc.shuffledSubarray(whole, { minLength: length }))
    fc.assert(fc.property(plan, ([extra, all]) => {
      const assembler = createTokenAssembler()
      const written = [...extra, ...all].flatMap(({ offset, length }) => assembler.addBatch(offset, answer.slice(offset, offset + length)))
      assert.deepEqual(written, answer)
      this.checked += 1
    }), { seed: 11, numRuns: runs })
  })

Then('the token assembler returned each answer complete and once', function (this: World) {
  assert.equal(this.checked, 500)
})
