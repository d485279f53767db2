/**
 * Steps for the prompt guard of a gateway, with a manual timer and engines that exist only as entries.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { createManualTimer } from '../timer/mod.ts'
import { createPromptGuard } from './_prompt_guard.ts'
import type { Worker } from '../core/fleet/mod.ts'
import type { ManualTimer } from '../timer/mod.ts'
import type { PromptGuard, PromptGuardOptions } from './_prompt_guard.ts'

interface World {
  guard: PromptGuard
  guardTimer: ManualTimer
  guardEngines: Worker[]
  viewAgeMs: number
  droppedEnds: number
}

const stepMs = 100

Given('a prompt guard over {int} engines', function (this: World, count: number) {
  this.guardTimer = createManualTimer()
  this.guardEngines = Array.from({ length: count }, (_, i) => ({ entry: { id: `d${i}`, service: 'llm', bornMs: 1 } }) as unknown as Worker)
  this.viewAgeMs = 0
  this.droppedEnds = 0
  const log = { info () {}, warn () {}, error () {} }
  const directory = { ageMs: () => this.viewAgeMs, fleet: { get: (id: string) => this.guardEngines.find(({ entry }) => entry.id === id) } }
  const metrics = { count: (name: string, _labels: object, by = 1) => { if (name === 'prompt_evidence_dropped_total') this.droppedEnds += by } }
  const options = { directory, timer: this.guardTimer, log, metrics, sendEvidence () {} }
  this.guard = createPromptGuard(options as unknown as PromptGuardOptions)
})

Given("the guard's gateway has not heard the store for {int} ms", function (this: World, ms: number) { this.viewAgeMs = ms })

/** Starts an engine again, as its next incarnation. */
function restart (world: World, index: number): void {
  const { entry } = world.guardEngines[index] as Worker
  world.guardEngines[index] = { entry: { ...entry, bornMs: entry.bornMs + 1 } } as unknown as Worker
}

function endWhole (world: World, index: number, parts: string): void {
  world.guard.recordPossibleCrash(world.guardEngines[index] as Worker, parts.split(' '), { isWhole: true })
}

function crash (world: World, index: number, parts: string): void {
  world.guard.recordCrash(world.guardEngines[index] as Worker, parts.split(' '))
  restart(world, index)
}

When('the guard sees whole answers without a length to {string} every {int} ms, and one engine crash under {string} every {int} ms, for {int} ms',
  function (this: World, sound: string, soundMs: number, bad: string, crashMs: number, forMs: number) {
    const calmMs = 8_000
    for (let ms = 0; ms < calmMs + forMs; ms += stepMs) {
      this.guardTimer.advance(stepMs)
      if (ms % soundMs === 0 && this.guard.find(sound.split(' ')) === undefined) endWhole(this, (ms / soundMs) % this.guardEngines.length, sound)
      if (ms > calmMs && (ms - calmMs) % crashMs === 0 && this.guard.find(bad.split(' ')) === undefined) crash(this, (ms / crashMs | 0) % this.guardEngines.length, bad)
    }
  })

When('the guard sees one whole answer without a length to {string}, and {int} ms pass', function (this: World, parts: string, ms: number) {
  endWhole(this, 0, parts)
  this.guardTimer.advance(ms)
})

When('the guard sees engines crash under {string} {int} times, {int} ms apart', function (this: World, parts: string, times: number, gapMs: number) {
  for (let i = 0; i < times; i++) {
    crash(this, i, parts)
    this.guardTimer.advance(gapMs)
  }
})

When(/^the guard sees one whole answer without a length to "([^"]*)" at each of (\d+) engines that are gone (\d+) ms later(?:, beside (\d+) whole answers to "([^"]*)")?$/,
  function (this: World, parts: string, engines: string, goneMs: string, others: string | null, otherParts: string | null) {
    for (let i = 0; i < Number(engines); i++) {
      endWhole(this, i, parts)
      for (let n = 0; n < Number(others ?? 0); n++) endWhole(this, 3, otherParts as string)
      this.guardTimer.advance(Number(goneMs))
      restart(this, i)
      this.guardTimer.advance(stepMs * 3)
    }
  })

When('the guard sees {int} whole answers without a length to {string} at once', function (this: World, count: number, parts: string) {
  for (let n = 0; n < count; n++) endWhole(this, 3, parts)
})

Then(/^the guard (does not hold|holds) back "([^"]*)"$/, function (this: World, how: string, parts: string) {
  assert.equal(this.guard.find(parts.split(' ')) !== undefined, how === 'holds')
})

Then('the guard has counted at least {int} dropped ends', function (this: World, count: number) {
  assert.ok(this.droppedEnds >= count, `${this.droppedEnds} dropped`)
})
