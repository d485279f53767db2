/**
 * Steps for the manual timer.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { createManualTimer } from './mod.ts'
import type { ManualTimer } from './mod.ts'

interface World {
  timer: ManualTimer
  ran: string[]
}

function schedule (world: World): void {
  world.ran = []
  world.timer.onPause(100, () => world.ran.push('pause'))
  world.timer.after(20, () => world.ran.push('a'))
  world.timer.after(10, () => world.ran.push('b'))
  world.timer.after(10, () => world.ran.push('c'))
}

Given('a manual timer', function (this: World) {
  this.timer = createManualTimer()
})

When('the timer holds work at 20, 10 and 10 ms and advances by 20 ms', function (this: World) {
  schedule(this)
  this.timer.advance(20)
})

When('the timer holds work at 20, 10 and 10 ms and pauses for 500 ms', function (this: World) {
  schedule(this)
  this.timer.simulatePause(500)
})

Then('the timer ran the work in the order {string}', function (this: World, order: string) {
  assert.equal(this.ran.join(' '), order)
})
