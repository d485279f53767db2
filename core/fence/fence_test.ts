/**
 * Steps for fencing numbers and the order sequencer.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import type { EngineState } from '../../engine/mod.ts'
import type { Role } from '../types/mod.ts'
import { createFence, createOrderSequencer, OrderEffectKind } from './mod.ts'
import type { OrderEffect, OrderSequencer } from './mod.ts'

interface World {
  orders: OrderSequencer
  effects: OrderEffect[]
  fences: number[]
  readId: number
}

function parseState (text: string): EngineState {
  const [role, model = '', version = '', loading] = text.split(' ')
  return { role: role as Role, model, version, adapter: '', fence: 0, loading: loading !== undefined, tokensPerPiece: 1 }
}

function recordEffects (world: World, effects: OrderEffect[]): void {
  world.effects = effects
  for (const effect of effects) {
    if (effect.kind === OrderEffectKind.SendOrder) world.fences.push(effect.order.fence)
    if ('readId' in effect) world.readId = effect.readId
  }
}

Then('a fence of revision {int}, engine number {int} and incarnation {int} is above one of {int}, {int} and {int}',
  function (revision: number, engineFence: number, incarnation: number, otherRevision: number, otherFence: number,
    otherIncarnation: number) {
    const fence = createFence({ revision, engineFence, incarnation })
    const other = createFence({ revision: otherRevision, engineFence: otherFence, incarnation: otherIncarnation })
    const number = fence.next()
    assert.ok(number > other.next())
    assert.ok(fence.next() > number)
  })

Then('a fence of era {int}, revision {int} and incarnation {int} is above one of era {int}, revision {int} and incarnation {int}, and a safe integer',
  function (era: number, revision: number, incarnation: number, otherEra: number, otherRevision: number, otherIncarnation: number) {
    const number = createFence({ era, revision, engineFence: 0, incarnation }).next()
    assert.ok(number > createFence({ era: otherEra, revision: otherRevision, engineFence: 0, incarnation: otherIncarnation }).next())
    assert.ok(Number.isSafeInteger(number))
  })

Given('an order sequencer for {string}', function (this: World, target: string) {
  this.fences = []
  this.orders = createOrderSequencer({ fence: createFence({ revision: 1, engineFence: 0 }) })
  recordEffects(this, this.orders.setTarget(parseState(target)))
})

When('the engine\'s state reads {string}', function (this: World, state: string) {
  recordEffects(this, this.orders.onState(this.readId, parseState(state)))
})

When('the engine\'s state from before the pause reads {string}', function (this: World, state: string) {
  recordEffects(this, this.orders.onState(this.readId - 1, parseState(state)))
})

When('the order is answered', function (this: World) {
  recordEffects(this, this.orders.onOrderAnswered())
})

When('the agent pauses', function (this: World) {
  recordEffects(this, this.orders.onPause())
})

Then('the order sequencer does {string}', function (this: World, kinds: string) {
  assert.equal(this.effects.map((effect) => effect.kind).join(' '), kinds)
})

Then('the second order has a higher fencing number', function (this: World) {
  const [first = 0, second = 0] = this.fences
  assert.ok(second > first)
})
