/**
 * Steps for the token assembler and the event splitter.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import { divideProcess } from '../bounds/mod.ts'
import { createByteBudget, createByteBuffer, createEventSplitter, createPiecePool, createTokenAssembler } from './mod.ts'
import type { EventSplitter } from './mod.ts'

interface World {
  checked: number
}

interface SplitterWorld {
  splitter: EventSplitter
  passedOn: Buffer
  sent: Buffer
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

function encodeEvents (ids: readonly number[]): Buffer { return Buffer.from(ids.map((id) => `id: ${id}\ndata: piece ${id}\n\n`).join('')) }

Given('an event splitter that has passed on the events {int} to {int}', function (this: SplitterWorld, first: number, last: number) {
  this.splitter = createEventSplitter()
  for (let id = first; id <= last; id++) this.splitter.push(encodeEvents([id]))
})

When('the event splitter gets the events {int}, {int}, {int} in one chunk', function (this: SplitterWorld, first: number, second: number, third: number) {
  this.passedOn = this.splitter.push(encodeEvents([first, second, third]))
})

Then('the event splitter passes on nothing, has a repeated event, and its last event is {int}', function (this: SplitterWorld, last: number) {
  assert.equal(this.passedOn.length, 0)
  assert.equal(this.splitter.hasRepeatedEvent(), true)
  assert.equal(this.splitter.lastId(), String(last))
})

When('the event splitter gets an event of {int} MiB in {int} pieces within {int} ms',
  function (this: SplitterWorld, mebibytes: number, pieces: number, ms: number) {
    const pieceBytes = mebibytes * 1_048_576 / pieces
    this.sent = Buffer.concat([Buffer.from('id: 3\ndata: '), Buffer.alloc(mebibytes * 1_048_576, 'x'), Buffer.from('\n\n')])
    const startMs = performance.now()
    for (let at = 0; at < this.sent.length; at += pieceBytes) this.passedOn = this.splitter.push(this.sent.subarray(at, at + pieceBytes))
    const tookMs = performance.now() - startMs
    assert.ok(tookMs < ms, `it took ${Math.round(tookMs)} ms`)
  })

Then('the event splitter passes on the whole event', function (this: SplitterWorld) {
  assert.ok(this.passedOn.equals(this.sent))
  assert.equal(this.splitter.partialBytes(), 0)
})

/** Returns the bytes of a text in which line ends and marks are written as escapes. */
function decodeEscapes (text: string): Buffer {
  return Buffer.from(text.replace(/\\(r|n|u([0-9a-f]{4}))/g, (_, name: string, code: string) => ({ r: '\r', n: '\n' })[name] ?? String.fromCharCode(parseInt(code, 16))))
}

Then('an event splitter passes on {string} of {string} in any two pieces', function (whole: string, stream: string) {
  const bytes = decodeEscapes(stream)
  for (let at = 0; at <= bytes.length; at++) {
    const splitter = createEventSplitter()
    const passedOn = Buffer.concat([splitter.push(bytes.subarray(0, at)), splitter.push(bytes.subarray(at))])
    assert.equal(passedOn.toString(), decodeEscapes(whole).toString(), `split at ${at}`)
    assert.equal(splitter.partialBytes(), bytes.length - passedOn.length)
  }
})

Then('an event splitter has the last event {int} after {string}, and passes on {string} as {string}',
  function (last: number, first: string, second: string, passedOn: string) {
    const splitter = createEventSplitter()
    splitter.push(decodeEscapes(first))
    assert.equal(splitter.lastId(), String(last))
    splitter.reset()
    assert.equal(splitter.push(decodeEscapes(second)).toString(), decodeEscapes(passedOn).toString())
    assert.equal(splitter.lastId(), String(last + 1))
  })

Then('an event splitter passes on the same of a stream in any pieces, and holds the rest', function () {
  const text = fc.array(fc.constantFrom('id: 1\n', 'data: a', '\n', '\n\n', '\r\n', '\r', ': c', 'x'), { maxLength: 20 }).map((parts) => parts.join(''))
  fc.assert(fc.property(text, fc.array(fc.integer({ min: 1, max: 5 })), (stream, lengths) => {
    const splitter = createEventSplitter()
    const passedOn: Buffer[] = []
    let rest = Buffer.from(stream.replace(/id: 1/g, 'id: x'))
    const all = rest
    for (const length of [...lengths, all.length]) {
      passedOn.push(splitter.push(rest.subarray(0, length)))
      rest = rest.subarray(length)
    }
    const whole = Buffer.concat(passedOn)
    assert.ok(all.subarray(0, whole.length).equals(whole))
    assert.equal(splitter.partialBytes(), all.length - whole.length)
    assert.equal(all.subarray(whole.length).toString().replace(/\r\n?/g, '\n').includes('\n\n'), false)
  }), { seed: 5, numRuns: 500 })
})

Then('a byte budget of {int} bytes keeps to its bound whatever the accounts hold, and evicts the largest first', function (maxBytes: number) {
  fc.assert(fc.property(fc.array(fc.tuple(fc.nat(9), fc.nat(700))), (sets) => {
    const budget = createByteBudget({ maxBytes })
    const held = new Map<number, number>()
    const evicted = new Set<number>()
    const accounts = Array.from({ length: 10 }, (_, i) => budget.open(() => {
      assert.equal(held.get(i), Math.max(...held.values()), 'a smaller account was evicted')
      held.delete(i)
      evicted.add(i)
    }))
    for (const [i, bytes] of sets) {
      if (!evicted.has(i)) held.set(i, bytes)
      accounts[i]?.set(bytes)
      const total = [...held.values()].reduce((sum, value) => sum + value, 0)
      assert.equal(budget.heldBytes(), total)
      assert.ok(total <= maxBytes, `${total} bytes are held`)
    }
    for (const account of accounts) account.close()
    assert.equal(budget.heldBytes(), 0)
  }), { seed: 5, numRuns: 300 })
})

Then('byte budget accounts are evicted in the order of their ranks, and one without a rank never', function () {
  const budget = createByteBudget({ maxBytes: 100 })
  const evicted: string[] = []
  const open = (name: string, rank: number | undefined, floorBytes = 0) => budget.open(() => evicted.push(name), { rank: () => rank, floorBytes })
  open('kept', undefined).set(60)
  open('small', 9, 10).set(10)
  open('low', 1).set(15)
  open('high', 2).set(5)
  open('low too', 1).set(20)
  assert.deepEqual(evicted, ['high', 'low too'])
  open('small too', 9, 10).set(10)
  open('whole', undefined).set(30)
  assert.deepEqual(evicted, ['high', 'low too', 'low', 'small'])
  open('more', undefined).set(30)
  assert.deepEqual(evicted, ['high', 'low too', 'low', 'small', 'small too'])
  assert.equal(budget.heldBytes(), 120)
})

Then('a byte buffer with a pool of pieces returns {int} random series of chunks unchanged, and holds at most 64 KiB more than their bytes',
  function (numRuns: number) {
    const pieces = createPiecePool({ maxBytes: 1_048_576 })
    const returned: Array<[Buffer, Buffer]> = []
    fc.assert(fc.property(fc.array(fc.tuple(fc.nat(255), fc.oneof(fc.nat(9), fc.nat(100_000)))), (chunks) => {
      const buffer = createByteBuffer({ pieces })
      const all = Buffer.concat(chunks.map(([byte, length]) => Buffer.alloc(length, byte)))
      for (const [byte, length] of chunks) {
        buffer.append(Buffer.alloc(length, byte))
        assert.ok(buffer.capacity() <= buffer.length() + 65_536)
      }
      assert.equal(buffer.length(), all.length)
      returned.push([buffer.take(), all])
      assert.equal(buffer.capacity(), 0)
      for (const [got, wanted] of returned.splice(0, Math.max(0, returned.length - 2))) assert.ok(got.equals(wanted))
    }), { seed: 5, numRuns })
  })

Then('a process of 178, 200 and 602 MiB and 4100 descriptors may hold 33, 44 and 245 MiB and take 1950 clients', function () {
  const divided = [178, 200, 602].map((mebibytes) => divideProcess({ memoryBytes: mebibytes * 1_048_576, maxDescriptors: 4100 }))
  assert.deepEqual(divided.map(({ heldBytes }) => heldBytes / 1_048_576), [33, 44, 245])
  assert.deepEqual(divided.map(({ clients }) => clients), [1950, 1950, 1950])
})
