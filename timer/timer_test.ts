/**
 * Steps for the timers.
 */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import { Given, Then, When } from '@cucumber/cucumber'
import { createManualTimer, createSystemTimer } from './mod.ts'
import type { AddressInfo, Socket } from 'node:net'
import type { ManualTimer } from './mod.ts'

interface World {
  timer: ManualTimer
  calls: string[]
}

/** Schedules the callbacks b and c after 10 ms and a after 20 ms, and listens to pauses. */
function scheduleCallbacks (world: World): void {
  world.calls = []
  world.timer.onPause(100, () => world.calls.push('pause'))
  world.timer.after(20, () => world.calls.push('a'))
  world.timer.after(10, () => world.calls.push('b'))
  world.timer.after(10, () => world.calls.push('c'))
}

Given('a manual timer', function (this: World) {
  this.timer = createManualTimer()
})

When('callbacks are scheduled after 20, 10 and 10 ms and the timer advances by 20 ms', function (this: World) {
  scheduleCallbacks(this)
  this.timer.advance(20)
})

When('callbacks are scheduled after 20, 10 and 10 ms and the timer simulates a pause of 500 ms', function (this: World) {
  scheduleCallbacks(this)
  this.timer.simulatePause(500)
})

Then('the timer called them in the order {string}', function (this: World, order: string) {
  assert.equal(this.calls.join(' '), order)
})

Then('a system timer with the delays {float}, 1e300 and Infinity does not fire within {int} ms', async function (delayMs: number, ms: number) {
  const timer = createSystemTimer()
  let fired = 0
  for (const each of [delayMs, 1e300, Infinity]) {
    timer.after(each, () => { fired++ })
    timer.every(each, () => { fired++ })
  }
  await new Promise((resolve) => setTimeout(resolve, ms))
  timer.close()
  assert.equal(fired, 0)
})

Then('a system timer of {int} ms fires after input that arrived while the process was held up for {int} ms', async function (delayMs: number, ms: number) {
  const server = createServer()
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
  const [peer] = await once(server, 'connection') as [Socket]
  await once(socket, 'connect')
  const order: string[] = []
  socket.on('data', () => order.push('input'))
  const timer = createSystemTimer()
  timer.after(delayMs, () => order.push('after'))
  const ticks = timer.every(delayMs, () => order.push('every'))
  await new Promise((resolve) => setTimeout(resolve, delayMs / 2))
  peer.write('input')
  const endMs = performance.now() + ms
  while (performance.now() < endMs); // Holds up the process.
  await new Promise((resolve) => setTimeout(resolve, delayMs / 5))
  ticks.cancel()
  timer.close()
  socket.destroy()
  server.close()
  assert.deepEqual(order, ['input', 'after', 'every'])
})

Then('system timers of {int} and {int} ms fire in this order after the process was held up for {int} ms',
  async function (firstMs: number, secondMs: number, heldMs: number) {
    const timer = createSystemTimer()
    const fired: number[] = []
    const delaysMs = [firstMs, secondMs]
    for (const delayMs of delaysMs) timer.after(delayMs, () => fired.push(delayMs))
    const endMs = performance.now() + heldMs
    while (performance.now() < endMs);
    await new Promise((resolve) => setTimeout(resolve, 50))
    timer.close()
    assert.deepEqual(fired, delaysMs)
  })
