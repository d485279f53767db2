/**
 * Steps for the choice of engine stages.
 */
import assert from 'node:assert/strict'
import { Then } from '@cucumber/cucumber'
import fc from 'fast-check'
import { Stage, WorkerState } from '../fleet/mod.ts'
import { chooseStages, StagePolicy } from './mod.ts'
import type { WorkerEntry } from '../fleet/mod.ts'

const options = { policy: StagePolicy.Share, prefillShare: 0.2 }

function entry (id: string, stage: Stage): WorkerEntry {
  return { id, service: 'llm', address: '10.0.0.1:80', zone: 'levis', slots: 64, state: WorkerState.Ready, softwareVersion: 'v1', stage, bornMs: 1 }
}

const engines = fc.uniqueArray(fc.record({ id: fc.string({ minLength: 1, maxLength: 6 }), isPrefill: fc.boolean() }), {
  selector: ({ id }) => id, maxLength: 30
}).map((list) => list.map(({ id, isPrefill }) => entry(id, isPrefill ? Stage.Prefill : Stage.Decode)))

function prefillIds (stages: Map<string, Stage>): string[] {
  return [...stages].filter(([, stage]) => stage === Stage.Prefill).map(([id]) => id).sort()
}

Then('the stages of {int} random sets of engines do not depend on their order and change for as few engines as possible',
  function (numRuns: number) {
    fc.assert(fc.property(engines, (entries) => {
      const stages = chooseStages(entries, options)
      assert.deepEqual(prefillIds(chooseStages([...entries].reverse(), options)), prefillIds(stages))
      const before = entries.filter(({ stage }) => stage === Stage.Prefill).length
      const changed = entries.filter(({ id, stage }) => stages.get(id) !== stage).length
      assert.equal(changed, Math.abs(before - prefillIds(stages).length))
    }), { seed: 51, numRuns })
  })

Then('the stages of {int} random sets of engines include at least one decode engine', function (numRuns: number) {
  fc.assert(fc.property(engines, fc.double({ min: 0, max: 0.9, noNaN: true }), (entries, prefillShare) => {
    const stages = chooseStages(entries, { ...options, prefillShare })
    assert.ok(entries.length === 0 || prefillIds(stages).length < entries.length)
  }), { seed: 52, numRuns })
})

Then('the stage policy {string} with {int} engines, {int} of them prefill, chooses {int} prefill engines',
  function (policy: StagePolicy, count: number, prefillCount: number, wanted: number) {
    const entries = Array.from({ length: count }, (_, i) => entry(`i-${i}`, i < prefillCount ? Stage.Prefill : Stage.Decode))
    assert.equal(prefillIds(chooseStages(entries, { ...options, policy })).length, wanted)
  })

Then('the decode engines {string}, oldest first, have the same prefill engine chosen after {string} has started',
  function (ids: string, newcomer: string) {
    // An engine is published with its old stage until it has switched.
    const before = ids.split(', ').map((id, i) => ({ ...entry(id, Stage.Decode), bornMs: i + 1 }))
    const after = [...before, { ...entry(newcomer, Stage.Decode), bornMs: before.length + 1 }]
    assert.deepEqual(prefillIds(chooseStages(after, options)), prefillIds(chooseStages(before, options)))
  })
