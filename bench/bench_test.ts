/**
 * Steps for the bench.
 */
import assert from 'node:assert/strict'
import { Then } from '@cucumber/cucumber'
import { loadScenario } from './load_scenario.ts'
import { planLoad } from './plan_load.ts'
import { isGood } from './summarise_run.ts'

Then('the bench plans the scenario {string} twice alike with the seed {int}, and differently with the seed {int}',
  async function (name: string, seed: number, otherSeed: number) {
    const { classes } = await loadScenario(name)
    const plan = (planSeed: number): string => JSON.stringify(planLoad(classes, { ratePerS: 30, durationMs: 1000, seed: planSeed }))
    assert.equal(plan(seed), plan(seed))
    assert.notEqual(plan(seed), plan(otherSeed))
  })

Then('the bench plan over {int} s has the rate {float} and the free share {float} within {int} percent',
  async function (seconds: number, ratePerS: number, freeShare: number, percent: number) {
    const { classes } = await loadScenario('fleuve')
    const plan = planLoad(classes, { ratePerS, durationMs: seconds * 1000, seed: 7 })
    const actualFreeShare = plan.filter((planned) => planned.tier === 'free').length / plan.length
    const isNear = (actual: number, expected: number): boolean => Math.abs(actual - expected) <= expected * percent / 100
    assert.ok(isNear(plan.length / seconds, ratePerS), `rate is ${plan.length / seconds}`)
    assert.ok(isNear(actualFreeShare, freeShare), `free share is ${actualFreeShare}`)
    assert.ok(plan.every((planned) => planned.prompt.split(' ').length === planned.promptTokens))
  })

Then('the bench counts an answer with first token {int} ms, between tokens {int} ms, exact {string} as {string}',
  function (firstMs: number, betweenMs: number, exact: string, verdict: string) {
    const answer = {
      atMs: 0, caller: 'notaires', tier: 'paid' as const, promptTokens: 9, id: 'r1', status: 200, code: undefined, outcome: 'done', endMs: 9
    }
    const good = isGood({ ...answer, firstMs, betweenMs, isExact: exact === 'yes' }, { firstTokenMs: 800, betweenTokensMs: 45 })
    assert.equal(good ? 'good' : 'bad', verdict)
  })
