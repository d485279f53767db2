/**
 * Steps for the readers of the store and the processes that follow them.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import { chooseStoreReaders, createRecordSet, createViewTracker } from './mod.ts'
import type { ViewTracker } from './mod.ts'

interface World {
  tracker: ViewTracker
  nowMs: number
  lacksChanges: boolean
  histories: History[]
}

const maxAgeMs = 2_000
const readerCount = 3

const member = fc.record({ name: fc.stringMatching(/^[a-z]{1,3}$/), zone: fc.integer({ min: 0, max: 3 }) })
const memberList = fc.uniqueArray(member, { selector: ({ name }) => name, minLength: 1, maxLength: 14 })
  .map((list) => list.map(({ name, zone }) => ({ name, availabilityZone: `zone-${zone}`, region: 'qc-est' })))

Then('{int} random lists of members have the same readers in any order, in as many zones as possible, and one member that leaves changes at most one of them',
  function (numRuns: number) {
    fc.assert(fc.property(memberList, (members) => {
      const options = { region: 'qc-est', count: readerCount }
      const readers = chooseStoreReaders({ ...options, members })
      assert.deepEqual(chooseStoreReaders({ ...options, members: [...members].reverse() }), readers)
      assert.equal(readers.length, Math.min(readerCount, members.length))
      const zonesOf = (names: string[]): number => new Set(members.filter(({ name }) => names.includes(name)).map((m) => m.availabilityZone)).size
      assert.equal(zonesOf(readers), Math.min(readerCount, zonesOf(members.map(({ name }) => name))))
      const [gone] = readers
      const after = chooseStoreReaders({ ...options, members: members.filter(({ name }) => name !== gone) })
      assert.ok(readers.slice(1).every((name) => after.includes(name)) || zonesOf([gone as string]) === 1)
    }), { seed: 71, numRuns })
  })

Given('a view tracker that has read up to revision {int}', function (this: World, revision: number) {
  this.tracker = createViewTracker({ prefixes: 1, maxAgeMs })
  this.tracker.recordRead(0, revision, 0)
  this.nowMs = 0
})

When('the tracker is told of revision {int}, {int} ms old', function (this: World, revision: number, ageMs: number) {
  this.lacksChanges = this.tracker.recordState({ revisions: [revision], agesMs: [ageMs] }, this.nowMs)
})

Then('the tracker is not covered', function (this: World) { assert.equal(this.tracker.isCovered(0, this.nowMs), false) })

Then('the tracker is covered for {int} ms and not for {int} ms', function (this: World, forMs: number, notForMs: number) {
  assert.equal(this.tracker.isCovered(0, forMs), true)
  assert.equal(this.tracker.isCovered(0, notForMs), false)
})

Then('the tracker lacks changes', function (this: World) { assert.equal(this.lacksChanges, true) })

Then('the tracker is not covered after {int} ms', function (this: World, ms: number) { assert.equal(this.tracker.isCovered(0, ms), false) })

Then('changes after revision {int} cannot be added, changes after revision {int} can', function (this: World, above: number, below: number) {
  assert.equal(this.tracker.canAdd([above]), false)
  assert.equal(this.tracker.canAdd([below]), true)
})

const stepMs = 20
const readerWatchMs = 1_500
const messageMs = 40
const historyMs = 12_000

/** Numbers that stand for the follower and for all readers. */
const followerNumber = readerCount
const allReaders = readerCount + 1

/** A fault of a reader, of all of them, or of the follower's own path to the store. */
interface Fault {
  who: number
  kind: 'cut' | 'frozen' | 'replaced'
  atMs: number
  forMs: number
}

const fault: fc.Arbitrary<Fault> = fc.record({
  who: fc.integer({ min: 0, max: allReaders }),
  kind: fc.constantFrom('cut' as const, 'frozen' as const, 'replaced' as const),
  atMs: fc.integer({ min: 0, max: 8_000 }),
  forMs: fc.integer({ min: 100, max: 5_000 })
})
const plan = fc.record({ faults: fc.array(fault, { maxLength: 9 }), changesMs: fc.array(fc.integer({ min: 0, max: 9_000 }), { maxLength: 25 }) })

interface History {
  /** Age in milliseconds of the oldest change that the process lacked while it was covered. */
  worstLagMs: number
  wentBack: boolean
  /** At the end: time in milliseconds since the last change, whether the process reaches the store, and whether it lacks changes. */
  quietMs: number
  reachesStore: boolean
  lacksChanges: boolean
}

interface Reader { tracker: ViewTracker, nextReadMs: number }

function createReader (nowMs: number): Reader {
  return { tracker: createViewTracker({ prefixes: 1, maxAgeMs }), nextReadMs: nowMs }
}

/** Plays a history: the store, readers that watch it, and one process that follows them and reads only when it is not covered. */
function playHistory ({ faults, changesMs }: { faults: Fault[], changesMs: number[] }): History {
  const changes = [...changesMs].sort((a, b) => a - b)
  const revisionAt = (ms: number): number => 1 + changes.filter((atMs) => atMs <= ms).length
  const isHit = (who: number, kind: Fault['kind'], ms: number): boolean =>
    faults.some((one) => (one.who === who || (one.who === allReaders && who < readerCount)) && one.kind === kind && ms >= one.atMs && ms < one.atMs + one.forMs)
  const readers = Array.from({ length: readerCount }, () => createReader(0))
  const follower = createViewTracker({ prefixes: 1, maxAgeMs })
  follower.recordRead(0, 1, 0)
  const messages: Array<{ atMs: number, reader: number, revision: number, ageMs: number }> = []
  const result: History = {
    worstLagMs: 0,
    wentBack: false,
    quietMs: historyMs - (changes.at(-1) ?? 0),
    reachesStore: !isHit(followerNumber, 'cut', historyMs),
    lacksChanges: false
  }
  let lastRevision = 1
  for (let nowMs = 0; nowMs <= historyMs; nowMs += stepMs) {
    readers.forEach((reader, who) => {
      if (isHit(who, 'replaced', nowMs)) readers[who] = createReader(nowMs)
      if (isHit(who, 'frozen', nowMs) || isHit(who, 'cut', nowMs)) return
      const revision = revisionAt(nowMs)
      if (revision === reader.tracker.revision(0) && nowMs < reader.nextReadMs) return
      reader.tracker.recordRead(0, revision, nowMs)
      reader.nextReadMs = nowMs + readerWatchMs
      const state = reader.tracker.state(nowMs)
      messages.push({ atMs: nowMs + messageMs, reader: who, revision, ageMs: state?.agesMs[0] ?? Infinity })
    })
    for (const message of messages.splice(0)) {
      if (message.atMs > nowMs) {
        messages.push(message)
        continue
      }
      const state = { revisions: [message.revision], agesMs: [message.ageMs] }
      if (follower.recordState(state, nowMs) && follower.canAdd([follower.revision(0) as number])) follower.recordChanges(state, nowMs)
    }
    const isCovered = follower.isCovered(0, nowMs)
    if (!isCovered && !isHit(followerNumber, 'cut', nowMs)) follower.recordRead(0, revisionAt(nowMs), nowMs)
    const revision = follower.revision(0) as number
    result.wentBack ||= revision < lastRevision
    lastRevision = revision
    const missing = changes[revision - 1]
    if (isCovered && missing !== undefined && missing <= nowMs) result.worstLagMs = Math.max(result.worstLagMs, nowMs - missing)
  }
  result.lacksChanges = lastRevision !== 1 + changes.length
  return result
}

Then('in {int} random histories of 3 readers that are cut off, frozen and replaced, no covered process lacks a change older than {int} ms plus the time of a message',
  function (this: World, numRuns: number, ms: number) {
    this.histories = []
    fc.assert(fc.property(plan, (one) => {
      const history = playHistory(one)
      this.histories.push(history)
      assert.ok(history.worstLagMs <= ms + messageMs, `a change is missing for ${history.worstLagMs} ms`)
    }), { seed: 72, numRuns })
  })

Then('no process goes back, and each that reaches the store has every change {int} ms after the last one', function (this: World, ms: number) {
  assert.equal(this.histories.filter(({ wentBack }) => wentBack).length, 0)
  const settled = this.histories.filter(({ quietMs, reachesStore }) => reachesStore && quietMs >= ms)
  assert.ok(settled.length > 0)
  assert.equal(settled.filter(({ lacksChanges }) => lacksChanges).length, 0)
})

When('the tracker is told of revision {int} of era {int}, {int} ms old', function (this: World, revision: number, era: number, ageMs: number) {
  this.lacksChanges = this.tracker.recordState({ era, revisions: [revision], agesMs: [ageMs] }, this.nowMs)
})

function canGoOn (tracker: ViewTracker, after: number, afterEra: number, revision: number, era: number): boolean {
  return tracker.canAdd([after], afterEra, { era, revisions: [revision], agesMs: [0] })
}

Then('the tracker can go on from revision {int} of era {int} to revision {int} of era {int}',
  function (this: World, after: number, afterEra: number, revision: number, era: number) { assert.ok(canGoOn(this.tracker, after, afterEra, revision, era)) })

Then('the tracker cannot go on from revision {int} of era {int} to revision {int} of era {int}',
  function (this: World, after: number, afterEra: number, revision: number, era: number) { assert.ok(!canGoOn(this.tracker, after, afterEra, revision, era)) })

Then('the tracker cannot go on from no revision to revision {int} of era {int}', function (this: World, revision: number, era: number) {
  assert.ok(!this.tracker.canAdd([], 0, { era, revisions: [revision], agesMs: [0] }))
})

When('the tracker goes on to revision {int} of era {int}, {int} ms old', function (this: World, revision: number, era: number, ageMs: number) {
  this.tracker.recordChanges({ era, revisions: [revision], agesMs: [ageMs] }, this.nowMs)
  assert.equal(this.tracker.era(), era)
})

Then('a record of era {int} and revision {int} gives way to one of era {int} and revision {int}, which stays when the first one comes again',
  function (era: number, revision: number, laterEra: number, laterRevision: number) {
    const records = createRecordSet()
    const [first, later] = [{ key: 'a', era, revision, value: 'first' }, { key: 'a', era: laterEra, revision: laterRevision, value: 'later' }]
    assert.deepEqual(records.apply([first, later, first]), { later: [first, later], passedOver: [first] })
    assert.equal(records.get('a'), later)
    assert.deepEqual(records.position(), { era: laterEra, revision: laterRevision })
  })

Then('a deletion at era {int} and revision {int} leaves a record of era {int} and revision {int}, and a deletion at era {int} and revision {int} leaves nothing',
  function (era: number, revision: number, laterEra: number, laterRevision: number, lastEra: number, lastRevision: number) {
    const records = createRecordSet()
    records.apply([{ key: 'a', era: laterEra, revision: laterRevision, value: 'there' }, { key: 'a', era, revision, value: null }])
    assert.equal(records.get('a')?.value, 'there')
    records.apply([{ key: 'a', era: lastEra, revision: lastRevision, value: null }])
    assert.equal(records.get('a')?.value, null)
  })

Then('a complete read at era {int} and revision {int} deletes a record of era {int} and revision {int} that it lacks, and none of era {int} and revision {int}',
  function (era: number, revision: number, earlierEra: number, earlierRevision: number, laterEra: number, laterRevision: number) {
    const records = createRecordSet()
    records.apply([{ key: 'a', era: earlierEra, revision: earlierRevision, value: 'a' }, { key: 'b', era: laterEra, revision: laterRevision, value: 'b' }])
    records.applyAll('', [], { era, revision })
    assert.equal(records.get('a')?.value, null)
    assert.equal(records.get('b')?.value, 'b')
  })
