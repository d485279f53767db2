/**
 * Steps for the pacing of requests.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import { createPacer } from './mod.ts'
import type { Pacer } from './mod.ts'

interface World {
  pacer: Pacer
}

const stepMs = 20
const windowMs = 4_000
const durationMs = 20_000

/** Sends whenever a request waits and the pacer allows it, and returns the times of the sends in milliseconds. */
function simulate (learnedMs: number, arrivalShare: number, limitPerS: number, memberCount: number, random: () => number): number[] {
  const pacer = createPacer(limitPerS, learnedMs, { memberCount: () => memberCount, random })
  const sends: number[] = []
  for (let nowMs = learnedMs; nowMs < durationMs; nowMs += stepMs) {
    if (random() >= arrivalShare || pacer.delayMs(nowMs) > 0) continue
    pacer.take(nowMs)
    sends.push(nowMs)
  }
  return sends
}

function createRandom (seed: number): () => number {
  let state = seed
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 4_294_967_296
    return state / 4_294_967_296
  }
}

const schedule = fc.record({
  seed: fc.nat(), memberCount: fc.integer({ min: 1, max: 30 }), limitPerS: fc.double({ min: 2, max: 60, noNaN: true })
})

Then('pacers of 1 to 30 processes send at most {float} times the limit and {int} requests in any {int} s, in {int} random schedules',
  function (factor: number, slack: number, _seconds: number, count: number) {
    fc.assert(fc.property(schedule, ({ seed, memberCount, limitPerS }) => {
      const random = createRandom(seed)
      const sends = Array.from({ length: memberCount }, () => simulate(random() * 3_000, random(), limitPerS, memberCount, random)).flat()
      const most = factor * limitPerS * windowMs / 1000 + slack
      for (const startMs of sends) {
        const sent = sends.filter((ms) => ms >= startMs && ms < startMs + windowMs).length
        assert.ok(sent <= most, `${sent} requests from ${startMs} ms on, ${most} allowed`)
      }
    }), { numRuns: count, seed: 19 })
  })

Then('pacers of {int} processes with a limit of {int} a second and steady requests send at least {int} a second together',
  function (memberCount: number, limitPerS: number, least: number) {
    const random = createRandom(5)
    const sends = Array.from({ length: memberCount }, () => simulate(0, 1, limitPerS, memberCount, random)).flat()
    assert.ok(sends.length >= least * durationMs / 1000, `${sends.length} requests`)
  })

Given('a pacer with a limit of {int} a second for {int} processes that has just sent', function (this: World, limitPerS: number, memberCount: number) {
  this.pacer = createPacer(limitPerS, 0, { memberCount: () => memberCount, random: () => 0 })
  this.pacer.take(0)
})

When('the pacer gets a limit of {int} a second', function (this: World, limitPerS: number) { this.pacer.setLimit(limitPerS) })

Then('the pacer waits {int} ms', function (this: World, ms: number) { assert.equal(this.pacer.delayMs(0), ms) })

Then('a pacer with a limit of {int} a second and a burst of {int} ms lets {int} requests through at once, and {int} in the next {int} s',
  function (limitPerS: number, burstMs: number, atOnce: number, later: number, seconds: number) {
    const pacer = createPacer(limitPerS, 0, { memberCount: () => 1, random: () => 0, burstMs })
    const countFrom = (startMs: number, endMs: number): number => {
      let count = 0
      for (let nowMs = startMs; nowMs <= endMs; nowMs += 5) {
        while (pacer.delayMs(nowMs) === 0) {
          pacer.take(nowMs)
          count++
        }
      }
      return count
    }
    assert.equal(countFrom(5_000, 5_000), atOnce)
    const most = countFrom(5_005, 5_000 + seconds * 1000)
    assert.ok(most >= later - 6 && most <= later, `${most} requests`)
  })
