/**
 * Steps for the drain state machine.
 */
import assert from 'node:assert/strict'
import { Then, When } from '@cucumber/cucumber'
import { createDrain } from './mod.ts'
import type { Drain, DrainEffect } from './mod.ts'

interface World {
  drain: Drain
  effects: string[]
}

const describeEffects = (effects: DrainEffect[]) => effects.join(' ') || 'nothing'

const steps: Record<string, (drain: Drain) => string> = {
  admit: (drain) => drain.admit() ? 'admitted' : 'refused',
  finish: (drain) => describeEffects(drain.finish()),
  signal: (drain) => describeEffects(drain.handleSignal())
}

When('a drain gets {string}', function (this: World, text: string) {
  this.drain = createDrain()
  this.effects = text.split(', ').map((name) => steps[name]?.(this.drain) ?? `unknown step "${name}"`)
})

Then('the drain did {string} and is {string}', function (this: World, effects: string, state: string) {
  assert.equal(this.effects.join(', '), effects)
  assert.equal(this.drain.state(), state)
})
