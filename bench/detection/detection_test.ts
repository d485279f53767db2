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
    const intervalMs = this.windowMs / Number(count)
    const badTimes = new Set(bad.split(', '))
    this.answers = Array.from({ length: this.untilMs / intervalMs }, (_, i) => i * intervalMs)
      .map((atMs) => ({ atMs, isGood: !badTimes.has(String(atMs)) }))
  })

Given('the detection decisions {string}', function (this: World, text: string) {
  this.decisions = text.split('; ').map((line) => {
    const [entry = '', request = '', atMs, chosen = ''] = line.split(' ')
    return { entry, request, atMs: Number(atMs), chosen }
  })
})

Then('the detection run recovers after {int} ms', function (this: World, expectedMs: number) {
  assert.equal(computeRecoveryMs(this.answers, this.windowMs, this.untilMs), expectedMs)
})

Then('the last detection decisions for {string} of {string} are at {string}',
  function (this: World, backend: string, entries: string, expected: string) {
    assert.equal(findLastDecisionsMs(this.decisions, backend, entries.split(', ')).join(', '), expected)
  })

Then('the last detection request that {string} had is rerouted at {int} ms',
  function (this: World, backend: string, expectedMs: number) {
    assert.equal(findLastReroutedMs(this.decisions, backend), expectedMs)
  })
