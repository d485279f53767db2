/**
 * Steps for the memory of what began streams.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import { choosePoints, createOriginTable } from './mod.ts'
import type { OriginTable, PointCandidate } from './mod.ts'

interface World { originTable: OriginTable }

function splitNames (names: string): string[] { return names.split(', ').filter((name) => name !== '') }

Given('an origin table for {int} records and {int} ms', function (this: World, maxRecords: number, keepMs: number) {
  this.originTable = createOriginTable({ maxRecords, keepMs })
})

When('the origins of {string} are recorded at {int} ms', function (this: World, names: string, nowMs: number) {
  for (const requestId of splitNames(names)) this.originTable.record({ requestId, service: 's', softwareVersion: 'v1' }, nowMs)
})

Then('at {int} ms the origin table knows {string} and not {string}', function (this: World, nowMs: number, known: string, unknown: string) {
  for (const name of splitNames(unknown)) assert.equal(this.originTable.find(name, nowMs), undefined, name)
  for (const name of splitNames(known)) assert.equal(this.originTable.find(name, nowMs)?.softwareVersion, 'v1', name)
})

const keepMs = 1000
const actions = fc.array(fc.record({
  afterMs: fc.integer({ min: 0, max: 400 }),
  requestId: fc.constantFrom('a', 'b', 'c', 'd'),
  softwareVersion: fc.option(fc.constantFrom('v1', 'v2', 'v3'), { nil: undefined })
}), { maxLength: 40 })

Then('in {int} random histories of an origin table each origin that is found is the only one that was recorded within its time', function (numRuns: number) {
  fc.assert(fc.property(actions, (steps) => {
    const table = createOriginTable({ maxRecords: 3, keepMs })
    const recorded = new Map<string, Array<{ version: string, atMs: number }>>()
    let nowMs = 0
    for (const { afterMs, requestId, softwareVersion } of steps) {
      nowMs += afterMs
      if (softwareVersion === undefined) {
        const found = table.find(requestId, nowMs)
        const versions = new Set(recorded.get(requestId)?.filter(({ atMs }) => nowMs - atMs < keepMs).map(({ version }) => version))
        if (found !== undefined && versions.size > 0) assert.deepEqual([...versions], [found.softwareVersion])
        if (found !== undefined) assert.ok(recorded.get(requestId)?.some(({ version }) => version === found.softwareVersion))
      } else {
        table.record({ requestId, service: 's', softwareVersion }, nowMs)
        recorded.set(requestId, [...recorded.get(requestId) ?? [], { version: softwareVersion, atMs: nowMs }])
      }
      assert.ok(table.size() <= 3)
    }
  }), { numRuns, seed: 49 })
})

function buildCandidates (count: number, zones: number, regions: number): PointCandidate[] {
  return Array.from({ length: count }, (_, i) => ({ name: `10.0.0.${i}:7600`, zone: `z${i % zones}`, region: `r${i % zones % regions}`, isLeaving: false }))
}

function listKeys (count: number): string[] { return Array.from({ length: count }, (_, i) => String(i)) }

function choose (key: string, candidates: PointCandidate[]): PointCandidate[] {
  const byName = new Map(candidates.map((candidate) => [candidate.name, candidate]))
  return choosePoints({ key, candidates, count: 3 }).map((name) => byName.get(name) ?? assert.fail(name))
}

Then('of {int} keys the points among {int} candidates in {int} zones of {int} regions stand in {int} zones and {int} regions',
  function (keys: number, count: number, zones: number, regions: number, spreadZones: number, spreadRegions: number) {
    const candidates = buildCandidates(count, zones, regions)
    for (const key of listKeys(keys)) {
      const points = choose(key, candidates)
      assert.equal(new Set(points.map(({ zone }) => zone)).size, spreadZones)
      assert.equal(new Set(points.map(({ region }) => region)).size, spreadRegions)
    }
  })

Then('of {int} keys no point among {int} candidates in {int} zones of {int} regions leaves while {int} of them do',
  function (keys: number, count: number, zones: number, regions: number, leaving: number) {
    const candidates = buildCandidates(count, zones, regions).map((candidate, i) => ({ ...candidate, isLeaving: i < leaving }))
    for (const key of listKeys(keys)) assert.ok(choose(key, candidates).every(({ isLeaving }) => !isLeaving))
  })

Then('a candidate that joins {int} in {int} zones of {int} regions takes at most a sixth of the points of {int} keys, and no other point changes',
  function (count: number, zones: number, regions: number, keys: number) {
    const candidates = buildCandidates(count + 1, zones, regions)
    const newcomer = candidates.at(-1)?.name ?? ''
    let taken = 0
    for (const key of listKeys(keys)) {
      const before = choose(key, candidates.slice(0, count)).map(({ name }) => name)
      const after = choose(key, candidates).map(({ name }) => name)
      if (!after.includes(newcomer)) assert.deepEqual(new Set(after), new Set(before))
      else taken++
    }
    assert.ok(taken <= 3 * keys / 6, `${taken} of ${keys} keys`)
  })

Then('of {int} keys no candidate among {int} in {int} zones of {int} regions is a point of more than twice its part',
  function (keys: number, count: number, zones: number, regions: number) {
    const candidates = buildCandidates(count, zones, regions)
    const shares = new Map<string, number>()
    for (const key of listKeys(keys)) for (const { name } of choose(key, candidates)) shares.set(name, (shares.get(name) ?? 0) + 1)
    const most = Math.max(...shares.values())
    assert.ok(most <= 2 * 3 * keys / count, `${most} of ${keys} keys`)
  })
