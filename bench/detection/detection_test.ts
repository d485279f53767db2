/**
 * Steps for the figures of the detection bench.
 */
import assert from 'node:assert/strict'
import { Given, Then } from '@cucumber/cucumber'
import { findLastDecisionsMs, findLastReroutedMs, computeRecoveryMs } from './_figures.ts'
import type { MeasuredAnswer, RouteDecision } from './_figures.ts'

interface World {
  answers: MeasuredAnswer[]
  windowMs: number
  untilMs: number
  decisions: RouteDecision[]
}

Given(/^(\d+) detection answers in each window of (\d+) ms up to (\d+) ms, not good (.+)$/,
  function (this: World, count: string, windowMs: string, untilMs: string, bad: string) {
    this.windowMs = Number(windowMs)
    this.untilMs = Number(untilMs)
    const everyMs = this.windowMs / Number(count)
    const badAt = new Set(bad.split(', '))
    this.answers = Array.from({ length: this.untilMs / everyMs }, (_, i) => i * everyMs)
      .map((atMs) => ({ atMs, good: !badAt.has(String(atMs)) }))
  })

Given('the detection decisions {string}', function (this: World, script: string) {
  this.decisions = script.split('; ').map((line) => {
    const [entry = '', request = '', atMs, chosen = ''] = line.split(' ')
    return { entry, request, atMs: Number(atMs), chosen }
  })
})

Then('the detection run recovers after {int} ms', function (this: World, wantedMs: number) {
  assert.equal(computeRecoveryMs(this.answers, this.windowMs, this.untilMs), wantedMs)
})

Then('the last detection decisions for {string} of {string} are at {string}',
  function (this: World, backend: string, entries: string, wanted: string) {
    assert.equal(findLastDecisionsMs(this.decisions, backend, entries.split(', ')).join(', '), wanted)
  })

Then('the last detection request that {string} had is rerouted at {int} ms',
  function (this: World, backend: string, wantedMs: number) {
    assert.equal(findLastReroutedMs(this.decisions, backend), wantedMs)
  })
