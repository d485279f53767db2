/**
 * Steps for the reservation table.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { attemptKey } from '../types/mod.ts'
import type { AttemptRef } from '../types/mod.ts'
import { createReservationTable } from './mod.ts'
import type { ReservationTable } from './mod.ts'

interface World {
  table: ReservationTable
  answers: string[]
}

type Step = (table: ReservationTable, ref: AttemptRef, args: string[]) => string

function parseRef (text: string): AttemptRef {
  const [requestId = '', attempt] = text.split('/')
  return { requestId, attempt: Number(attempt) }
}

function verdict (result: { ok: boolean, val: unknown }): string {
  return result.ok && result.val === undefined ? 'ok' : String(result.val)
}

function adopt (table: ReservationTable, ref: AttemptRef, pieces: number): string {
  table.adopt([{ ...ref, pieces }])
  const unclaimed = table.listUnclaimed().map((other) => `unclaimed ${attemptKey(other)}`)
  const cancelling = table.listCancelling().map((other) => `cancelling ${attemptKey(other)}`)
  return [...unclaimed, ...cancelling].join(', ')
}

const steps: Record<string, Step> = {
  reserve: (table, ref, [owner = '', pieces]) => verdict(table.reserve({ ref, owner, pieces: Number(pieces) }, 0)),
  start: (table, ref) => verdict(table.start(ref)),
  release: (table, ref) => table.release(ref),
  confirmed: (table, ref) => String(table.confirmCancel(ref)),
  finished: (table, ref) => String(table.finish(ref)),
  claim: (table, ref, [owner = '']) => verdict(table.claim(ref, owner)),
  adopt: (table, ref, [pieces]) => adopt(table, ref, Number(pieces)),
  owner: (table, ref) => table.releaseOwner(ref.requestId)
    .map((release) => `${attemptKey(release.ref)} ${release.effect}`).join(', ')
}

Given('a reservation table of {int} seats and {int} pieces', function (this: World, seats: number, pieces: number) {
  this.table = createReservationTable({ seats, pieces })
})

Given('a reservation table of {int} seats and {int} pieces that remembers {int} requests',
  function (this: World, seats: number, pieces: number, maxRemembered: number) {
    this.table = createReservationTable({ seats, pieces, maxRemembered })
  })

When('the reservation steps {string} run', function (this: World, text: string) {
  this.answers = text.split('; ').map((line) => {
    const [name = '', ref = '', ...args] = line.split(' ')
    const step = steps[name]
    assert.ok(step, `unknown step "${name}"`)
    return step(this.table, parseRef(ref), args)
  })
})

Then('the reservation answers are {string}', function (this: World, expected: string) {
  assert.equal(this.answers.join('; '), expected)
})

Then('the reservation table has {int} seats and {int} pieces free',
  function (this: World, seats: number, pieces: number) {
    assert.deepEqual(this.table.free(), { seats, pieces })
  })
