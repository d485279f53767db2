/**
 * Steps for the packing of streams.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import { createPacker, estimateRemainingTokens, predictPeak } from './mod.ts'
import type { StreamMemory, Packer, PackPolicy } from './mod.ts'

interface World {
  packer: Packer
}

const tokensPerEvent = 10
const startMs = 2000

function simulatePeak (streams: readonly StreamMemory[]): number {
  let peak = 0
  const longest = Math.max(0, ...streams.map((stream) => stream.remainingTokens))
  for (let grown = 0; grown <= longest; grown++) {
    const live = streams.filter((stream) => stream.remainingTokens >= grown)
    peak = Math.max(peak, live.reduce((sum, stream) => sum + stream.usedTokens + grown, 0))
  }
  return peak
}

Then('the packing peak equals that of a simulation, token by token, for {int} random sets of streams', function (numRuns: number) {
  const stream = fc.record({ usedTokens: fc.nat(200), remainingTokens: fc.nat(60) })
  fc.assert(fc.property(fc.array(stream, { maxLength: 9 }), (streams) => {
    assert.equal(predictPeak(streams), simulatePeak(streams))
  }), { seed: 41, numRuns })
})

Then('the packing expectation of the whole output is at least what is made and grows with it, for {int} random outputs', function (numRuns: number) {
  const inputs = [fc.integer({ min: 50, max: 9000 }), fc.integer({ min: 1, max: 20_000 }), fc.integer({ min: 1, max: 2000 })] as const
  fc.assert(fc.property(...inputs, (median, made, more) => {
    const left = estimateRemainingTokens(median, 0.35, made)
    assert.ok(left >= 0)
    assert.ok(made + more + estimateRemainingTokens(median, 0.35, made + more) >= made + left - 1)
  }), { seed: 42, numRuns })
})

Then('a packing by the policy {string} keeps {int} random loads within the memory', function (policy: PackPolicy, numRuns: number) {
  const ask = fc.record({ promptTokens: fc.integer({ min: 10, max: 300 }), events: fc.integer({ min: 1, max: 20 }), gap: fc.nat(3) })
  fc.assert(fc.property(fc.array(ask, { minLength: 5, maxLength: 40 }), (asks) => {
    const packer = createPacker({ policy, marginShare: 0, startMs })
    packer.setCapacity(1000, tokensPerEvent)
    const runs = new Map<string, { requestId: string, tokensInMemory: number, events: number, ends: number }>()
    let nowMs = 0
    asks.forEach(({ promptTokens, events, gap }, i) => {
      const requestId = `r-${i}`
      if (packer.admit({ requestId, promptTokens, maxTokens: 20 * tokensPerEvent }, nowMs)) {
        runs.set(requestId, { requestId, tokensInMemory: promptTokens, events: 0, ends: events })
      }
      for (let step = 0; step < gap; step++) {
        nowMs += 10
        for (const run of runs.values()) {
          run.events++
          run.tokensInMemory += tokensPerEvent
        }
        const used = [...runs.values()].reduce((sum, run) => sum + run.tokensInMemory, 0)
        assert.ok(used <= 1000, `${used} tokens are in use`)
        packer.observe([...runs.values()], nowMs)
        for (const run of [...runs.values()]) {
          if (run.events < run.ends) continue
          runs.delete(run.requestId)
          packer.recordEnd(run.requestId, true)
        }
      }
    })
  }), { seed: 43, numRuns })
})

Given('a packing of {int} tokens with the policy {string}', function (this: World, tokens: number, policy: PackPolicy) {
  this.packer = createPacker({ policy, marginShare: 0, startMs })
  this.packer.setCapacity(tokens, tokensPerEvent)
})

Then('the packing {word} {string} with a prompt of {int} and at most {int} tokens at {int} ms',
  function (this: World, verdict: string, requestId: string, promptTokens: number, maxTokens: number, nowMs: number) {
    assert.equal(this.packer.admit({ requestId, promptTokens, maxTokens }, nowMs), verdict === 'admits')
  })

When('the packing drops {string}', function (this: World, requestId: string) { this.packer.releaseUnstarted(requestId) })

When('the packing sees the run {string} with {int} tokens in memory after {int} events',
  function (this: World, requestId: string, tokensInMemory: number, events: number) {
    this.packer.observe([{ requestId, tokensInMemory, events }], 0)
  })

Then('the packing has from {int} to {int} tokens free', function (this: World, least: number, most: number) {
  const room = this.packer.freeTokens(0)
  assert.ok(room >= least && room <= most, `${room} tokens are free`)
})

When('the packing sees no run', function (this: World) { this.packer.observe([], 0) })

When(/^the packing hears that "(.*)" has ended, (whole|cut off)$/, function (this: World, requestId: string, how: string) {
  this.packer.recordEnd(requestId, how === 'whole')
})

When(/^(\d+) streams of the packing end after (\d+) events, (whole|cut off)$/, function (this: World, count: string, events: string, how: string) {
  for (let i = 0; i < Number(count); i++) {
    const requestId = `ended-${i}`
    this.packer.admit({ requestId, promptTokens: 300, likelyTokens: 300, maxTokens: 600 }, 0)
    this.packer.observe([{ requestId, tokensInMemory: 300, events: Number(events) }], 0)
    this.packer.observe([], 0)
    this.packer.recordEnd(requestId, how === 'whole')
  }
})

Then('the packing {word} {string} with a prompt of {int}, at most {int} and likely {int} tokens',
  function (this: World, verdict: string, requestId: string, promptTokens: number, maxTokens: number, likelyTokens: number) {
    assert.equal(this.packer.admit({ requestId, promptTokens, maxTokens, likelyTokens }, 0), verdict === 'admits')
  })
