/**
 * Steps for the bounded log.
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

/** Collects the lines that go through a stream. */
function collect (world: World): Writable {
  world.lines = []
  return new Writable({
    write (chunk, _encoding, done) {
      world.lines.push(JSON.parse(String(chunk)))
      done()
    }
  })
}

Given('a bounded log into a pipe that nobody reads', function (this: World) {
  this.out = new PassThrough({ highWaterMark: 1024 })
  this.bounded = createBoundedStream({ maxBytesPerS: 1e9, now: () => 0, out: this.out })
})

Given('a bounded log of {int} bytes a second', function (this: World, maxBytesPerS: number) {
  this.bounded = createBoundedStream({ maxBytesPerS, now: () => 0, out: collect(this) })
})

When('{int} lines are written to the bounded log', function (this: World, count: number) {
  const startedMs = performance.now()
  for (let i = 0; i < count; i++) this.bounded.write({ level: 30, msg: 'ended', request: `r-${i}`, detail: 'x'.repeat(100) })
  this.tookMs = performance.now() - startedMs
})

When('{int} lines about success and then {int} lines about failures are written to the bounded log',
  function (this: World, good: number, bad: number) {
    for (let i = 0; i < good; i++) this.bounded.write({ level: 30, msg: 'ended', i })
    for (let i = 0; i < bad; i++) this.bounded.write({ level: 40, msg: 'refused', i })
  })

Then('the bounded log took under {int} ms and waits with at most {int} bytes', function (this: World, ms: number, bytes: number) {
  assert.ok(this.tookMs < ms, `it took ${this.tookMs} ms`)
  assert.ok(this.out.writableLength <= bytes, `${this.out.writableLength} bytes wait`)
})

Then('the bounded log dropped lines and counts them', function (this: World) { assert.ok(this.bounded.droppedLines() > 10_000) })

Then('the bounded log holds all {int} lines about failures and fewer than {int} about success', function (this: World, bad: number, good: number) {
  assert.equal(this.lines.filter((line) => line.level === 40).length, bad)
  assert.ok(this.lines.filter((line) => line.level === 30).length < good)
})

Then('the bounded log says with the next line how many were dropped', function (this: World) {
  assert.equal(this.lines.find((line) => line.level === 40)?.droppedLines, this.bounded.droppedLines())
})

Then('{int} lines with random texts of requests go through the bounded log as one line each', function (this: World, numRuns: number) {
  const bounded = createBoundedStream({ maxBytesPerS: 1e9, now: () => 0, out: collect(this) })
  const log = createLog({ name: 'edge-1', level: 'info', boundedOutput: { stream: bounded, now: () => 7 } })
  fc.assert(fc.property(fc.string({ unit: 'binary' }), fc.string(), (request, reason) => {
    const before = this.lines.length
    log.info({ request, reason }, 'ended')
    assert.equal(this.lines.length, before + 1)
    assert.equal(this.lines.at(-1)?.request, JSON.parse(JSON.stringify(request)))
    assert.equal(this.lines.at(-1)?.steadyMs, 7)
  }), { seed: 23, numRuns })
})
