/**
 * Steps for the bounded log stream.
 */
import assert from 'node:assert/strict'
import { PassThrough, Writable } from 'node:stream'
import { Given, Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import { createBoundedStream, createLog } from './mod.ts'
import type { BoundedStream, LogRecord } from './mod.ts'

interface World {
  bounded: BoundedStream
  out: Writable
  lines: LogRecord[]
  tookMs: number
}

/** Returns a stream that parses each line written to it into `world.lines`. */
function collectLines (world: World): Writable {
  world.lines = []
  return new Writable({
    write (chunk, _encoding, done) {
      world.lines.push(JSON.parse(String(chunk)))
      done()
    }
  })
}

Given('a bounded log that writes to a pipe without a reader', function (this: World) {
  this.out = new PassThrough({ highWaterMark: 1024 })
  this.bounded = createBoundedStream({ maxBytesPerS: 1e9, now: () => 0, out: this.out })
})

Given('a bounded log of {int} bytes per second', function (this: World, maxBytesPerS: number) {
  this.bounded = createBoundedStream({ maxBytesPerS, now: () => 0, out: collectLines(this) })
})

When('{int} lines are written to the bounded log', function (this: World, count: number) {
  const startedMs = performance.now()
  for (let i = 0; i < count; i++) this.bounded.write({ level: 30, msg: 'ended', request: `r-${i}`, detail: 'x'.repeat(100) })
  this.tookMs = performance.now() - startedMs
})

When('{int} lines about success and then {int} lines about failures are written to the bounded log',
  function (this: World, successes: number, failures: number) {
    for (let i = 0; i < successes; i++) this.bounded.write({ level: 30, msg: 'ended', i })
    for (let i = 0; i < failures; i++) this.bounded.write({ level: 40, msg: 'refused', i })
  })

Then('the writes took under {int} ms and at most {int} bytes are buffered', function (this: World, ms: number, bytes: number) {
  assert.ok(this.tookMs < ms, `the writes took ${this.tookMs} ms`)
  assert.ok(this.out.writableLength <= bytes, `${this.out.writableLength} bytes are buffered`)
})

Then('the bounded log counts more than 10000 dropped lines', function (this: World) { assert.ok(this.bounded.droppedLines() > 10_000) })

Then('the bounded log wrote all {int} lines about failures and fewer than {int} about success', function (this: World, failures: number, successes: number) {
  assert.equal(this.lines.filter((line) => line.level === 40).length, failures)
  assert.ok(this.lines.filter((line) => line.level === 30).length < successes)
})

Then('the first line about a failure has the number of dropped lines', function (this: World) {
  assert.equal(this.lines.find((line) => line.level === 40)?.droppedLines, this.bounded.droppedLines())
})

Then('the bounded log writes {int} records with random text from requests as one line each', function (this: World, numRuns: number) {
  const bounded = createBoundedStream({ maxBytesPerS: 1e9, now: () => 0, out: collectLines(this) })
  const log = createLog({ name: 'edge-1', level: 'info', boundedOutput: { stream: bounded, now: () => 7 } })
  fc.assert(fc.property(fc.string({ unit: 'binary' }), fc.string(), (request, reason) => {
    const countBefore = this.lines.length
    log.info({ request, reason }, 'ended')
    assert.equal(this.lines.length, countBefore + 1)
    assert.equal(this.lines.at(-1)?.request, JSON.parse(JSON.stringify(request)))
    assert.equal(this.lines.at(-1)?.steadyMs, 7)
  }), { seed: 23, numRuns })
})
