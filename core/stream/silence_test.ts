/**
 * Steps for the silence detector.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { createManualTimer } from '../../timer/mod.ts'
import { createSilenceDetector } from './mod.ts'
import type { ManualTimer } from '../../timer/mod.ts'
import type { SilenceDetector } from './mod.ts'

interface World {
  detector: SilenceDetector
  silenceTimer: ManualTimer
  firstSilentMs?: number
}

/** Records when the stream is first found silent. */
function watch (world: World): void {
  const { silenceTimer: timer, detector } = world
  timer.every(1, () => { if (detector.isSilent(timer.now())) world.firstSilentMs ??= timer.now() })
}

Given('a silence detector with the timeouts {int} ms for data and {int} ms for events',
  function (this: World, dataTimeoutMs: number, eventTimeoutMs: number) {
    this.silenceTimer = createManualTimer()
    this.detector = createSilenceDetector({ startedMs: 0, dataTimeoutMs, eventTimeoutMs })
  })

When('the silence detector gets an event at {int} ms and {word} every {int} ms until {int} ms',
  function (this: World, firstMs: number, what: string, everyMs: number, lastMs: number) {
    const { silenceTimer: timer, detector } = this
    for (let atMs = firstMs; atMs <= lastMs; atMs += everyMs) {
      timer.after(atMs, () => detector.recordData(timer.now(), atMs === firstMs || what === 'events'))
    }
    watch(this)
    timer.advance(20_000)
  })

When('the silence detector is suspended from {int} ms to {int} ms', function (this: World, fromMs: number, toMs: number) {
  const { silenceTimer: timer, detector } = this
  timer.after(fromMs, () => detector.suspend())
  timer.after(toMs, () => detector.resume(timer.now()))
  watch(this)
  timer.advance(20_000)
})

Then('the silence detector finds the stream silent at {int} ms, and not {int} ms before', function (this: World, silentMs: number, _before: number) {
  assert.equal(this.firstSilentMs, silentMs)
})
