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

function entry (id: string, stage: Stage, softwareVersion = 'v1', bornMs = 1): WorkerEntry {
  return { id, service: 'llm', address: '10.0.0.1:80', zone: 'levis', slots: 64, state: WorkerState.Ready, softwareVersion, stage, bornMs }
}

const engines = fc.uniqueArray(fc.record({ id: fc.string({ minLength: 1, maxLength: 6 }), isPrefill: fc.boolean() }), {
  selector: ({ id }) => id, maxLength: 30
}).map((list) => list.map(({ id, isPrefill }) => entry(id, isPrefill ? Stage.Prefill : Stage.Decode)))

/** Engines of up to three software versions, of any age. */
const versionedEngines = fc.uniqueArray(fc.record({
  id: fc.string({ minLength: 1, maxLength: 6 }), isPrefill: fc.boolean(), version: fc.constantFrom('v1', 'v2', 'v3'), bornMs: fc.nat({ max: 9 })
}), { selector: ({ id }) => id, maxLength: 30 })
  .map((list) => list.map(({ id, isPrefill, version, bornMs }) => entry(id, isPrefill ? Stage.Prefill : Stage.Decode, version, bornMs)))
const prefillShares = fc.double({ min: 0, max: 0.9, noNaN: true })
/** Fewest engines of a version of which the loss of one has to leave a decode engine. */
const minForLoss = 3

/** Returns the entries with the chosen stages of those that `hasChanged`. */
function applyStages (entries: WorkerEntry[], stages: Map<string, Stage>, hasChanged: (index: number) => boolean = () => true): WorkerEntry[] {
  return entries.map((before, i) => hasChanged(i) ? { ...before, stage: stages.get(before.id) as Stage } : before)
}

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

Then('of {int} random sets of engines of three software versions, each version that has an engine has a decode engine, also when one engine of at least three is lost',
  function (numRuns: number) {
    fc.assert(fc.property(versionedEngines, prefillShares, (entries, prefillShare) => {
      const settled = applyStages(entries, chooseStages(entries, { ...options, prefillShare }))
      for (const version of new Set(entries.map(({ softwareVersion }) => softwareVersion))) {
        const ofVersion = settled.filter(({ softwareVersion }) => softwareVersion === version)
        const decodeCount = ofVersion.filter(({ stage }) => stage === Stage.Decode).length
        assert.ok(decodeCount >= (ofVersion.length < minForLoss ? 1 : 2), `${decodeCount} of ${ofVersion.length} engines of ${version} decode`)
      }
    }), { seed: 53, numRuns })
  })

Then('the stages of {int} random sets of engines of three software versions stay the same while any of the engines have changed', function (numRuns: number) {
  fc.assert(fc.property(versionedEngines, prefillShares, fc.infiniteStream(fc.boolean()), (entries, prefillShare, changes) => {
    const stages = chooseStages(entries, { ...options, prefillShare })
    const changed = entries.map(() => changes.next().value as boolean)
    const between = applyStages(entries, stages, (i) => changed[i] === true)
    assert.deepEqual(prefillIds(chooseStages(between, { ...options, prefillShare })), prefillIds(stages))
  }), { seed: 54, numRuns })
})

Then('the stages of {int} random sets of engines of three software versions do not change when an engine starts that changes neither their number nor its version',
  function (numRuns: number) {
    const newcomer = fc.record({ id: fc.string({ minLength: 7, maxLength: 8 }), version: fc.constantFrom('v1', 'v2', 'v3') })
    fc.assert(fc.property(versionedEngines, prefillShares, newcomer, (entries, prefillShare, { id, version }) => {
      const sameVersion = entries.filter(({ softwareVersion }) => softwareVersion === version).length
      const before = prefillIds(chooseStages(entries, { ...options, prefillShare }))
      const after = prefillIds(chooseStages([...entries, entry(id, Stage.Decode, version, 10)], { ...options, prefillShare }))
      fc.pre(sameVersion >= minForLoss && after.length === before.length)
      assert.deepEqual(after, before)
    }), { seed: 55, numRuns })
  })

Then('the engines {string} keep {int} prefill engines of {string} and have {int} of {string}',
  function (list: string, firstCount: number, first: string, secondCount: number, second: string) {
    const entries = list.split(', ').map((text, i) => {
      const [version, stage] = text.split(' ') as [string, Stage]
      return entry(`i-${i}`, stage, version, i)
    })
    const stages = chooseStages(entries, options)
    const count = (version: string): number =>
      entries.filter(({ id, softwareVersion }) => softwareVersion === version && stages.get(id) === Stage.Prefill).length
    assert.deepEqual([count(first), count(second)], [firstCount, secondCount])
  })
