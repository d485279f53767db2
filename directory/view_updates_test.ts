/**
 * Steps for updates between processes, on a model of the store and without sockets.
 */
import assert from 'node:assert/strict'
import { PassThrough } from 'node:stream'
import { Then } from '@cucumber/cucumber'
import fc from 'fast-check'
import { createRecordSet, createViewTracker } from '../core/view/mod.ts'
import { createLog } from '../log/mod.ts'
import { createViewUpdates } from './_view_updates.ts'
import type { RecordSet, StoreChange, ViewTracker } from '../core/view/mod.ts'
import type { ViewUpdates } from './_view_updates.ts'

const prefix = 'servers/'

interface Process {
  records: RecordSet
  tracker: ViewTracker
  updates: ViewUpdates
}

function createProcess (hasUnusable = false): Process {
  const records = createRecordSet()
  const tracker = createViewTracker({ prefixes: 1, maxAgeMs: 2000 })
  const updates = createViewUpdates({
    prefixes: [prefix],
    tracker,
    records,
    log: createLog({ name: 'p', level: 'info', stream: new PassThrough().resume() }),
    now: () => 0,
    hasUnusable: () => hasUnusable,
    rulesRecord: () => undefined,
    failureAgeMs: () => undefined,
    onSenderFailure () {},
    onNewEra () {},
    blankUnreadable: (changes) => [...changes],
    takeEffect () {}
  })
  return { records, tracker, updates }
}

/** A store that keeps all of its history; `revision` is its latest one. */
function createStore () {
  const history: StoreChange[] = []
  const itemsAt = (revision: number): Map<string, StoreChange> => {
    const items = new Map<string, StoreChange>()
    for (const change of history) {
      if (change.revision > revision) break
      if (change.value === null) items.delete(change.key)
      else items.set(change.key, change)
    }
    return items
  }
  return {
    write (key: string, value: string | null) { history.push({ key: prefix + key, revision: history.length + 1, value }) },
    itemsAt,
    readAll ({ records, tracker }: Process) {
      records.applyAll(prefix, [...itemsAt(history.length).values()], { revision: history.length })
      tracker.recordRead(0, history.length, 0, true)
    },
    watch ({ records, tracker }: Process) {
      const after = tracker.revision(0) as number
      records.apply(history.filter(({ revision }) => revision > after))
      tracker.recordRead(0, history.length, 0)
    }
  }
}

/** Passes on what a reader knows to a follower, which asks for the changes after its revision; returns whether they had an effect. */
function pass (reader: Process, follower: Process): boolean {
  const after = [follower.tracker.revision(0) as number]
  const update = reader.updates.changesAfter(after, 0)
  return update !== undefined && follower.updates.apply(after, update) !== undefined
}

const step = fc.oneof(
  fc.record({ kind: fc.constant('write'), key: fc.constantFrom('a', 'b', 'c'), value: fc.option(fc.constantFrom('x', 'y'), { nil: null }) }),
  fc.record({ kind: fc.constantFrom('watch', 'restart', 'forget', 'pass'), reader: fc.nat(1) })
)

Then('in {int} random histories of a store a follower of 2 readers that restart and lose the history never lacks or keeps an item',
  function (runs: number) {
    let passes = 0
    fc.assert(fc.property(fc.array(step, { minLength: 10, maxLength: 60 }), (steps) => {
      const store = createStore()
      const follower = createProcess()
      const readers = [createProcess(), createProcess()]
      for (const process of [follower, ...readers]) store.readAll(process)
      for (const one of steps) {
        if ('key' in one) store.write(one.key, one.value)
        else {
          const reader = readers[one.reader] as Process
          if (one.kind === 'watch') store.watch(reader)
          else if (one.kind === 'pass') passes += pass(reader, follower) ? 1 : 0
          else if (one.kind === 'restart') {
            readers[one.reader] = createProcess()
            store.readAll(readers[one.reader] as Process)
          } else {
            reader.tracker.forget(0)
            store.readAll(reader)
          }
        }
        const known = follower.records.listItems(prefix).map(({ key, value }) => `${key}=${value}`).sort()
        const held = [...store.itemsAt(follower.tracker.revision(0) as number).values()].map(({ key, value }) => `${key}=${value}`).sort()
        assert.deepEqual(known, held)
      }
    }), { seed: 3, numRuns: runs })
    assert.ok(passes > runs, `${passes} updates had an effect`)
  })

Then('a follower takes no changes without the word that they are complete, and a reader that could not use an item gives no list', function () {
  const store = createStore()
  const follower = createProcess()
  store.write('a', 'x')
  store.readAll(follower)
  store.write('a', null)
  const reader = createProcess()
  store.readAll(reader)
  const update = reader.updates.changesAfter([1], 0)
  assert.ok(update)
  const { complete, ...older } = update
  assert.deepEqual(complete, [true])
  assert.equal(follower.updates.apply([1], older), undefined)
  assert.equal(follower.records.listItems(prefix).length, 1)
  const unsure = createProcess(true)
  store.readAll(unsure)
  assert.equal(unsure.updates.changesAfter([1], 0), undefined)
  assert.ok(unsure.updates.changesAfter([2], 0))
})
