/**
 * Steps for the configuration store.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import type { ConfigChange } from '../../source/mod.ts'
import { RecordKind } from '../records/mod.ts'
import { createConfiguration } from './mod.ts'
import type { Configuration, ConfigurationPage } from './mod.ts'

interface World {
  store: Configuration
}

function createValue (revision: number): string {
  return JSON.stringify({ schema: 1, calls: [], timeoutMs: revision })
}

function change (name: string, revision: number): ConfigChange {
  return { key: `service/${name}`, revision, value: createValue(revision) }
}

function push (store: Configuration, ...changes: ConfigChange[]): void {
  store.apply({ revision: 0, complete: false, changes })
}

Given('a configuration store', function (this: World) {
  this.store = createConfiguration()
})

When('the configuration gets {string} at {int}, then {string} at {int}',
  function (this: World, a: string, first: number, b: string, second: number) {
    push(this.store, change(a, first))
    push(this.store, change(b, second))
  })

When('the configuration gets a complete page at {int} with {string} at {int}',
  function (this: World, revision: number, name: string, at: number) {
    this.store.apply({ revision, complete: true, changes: [change(name, at)] })
  })

When('the configuration gets {string} at {int}, without the changes before it',
  function (this: World, name: string, at: number) {
    this.store.apply({ revision: at, after: at - 1, complete: false, changes: [change(name, at)] })
  })

When('the configuration gets a page of the changes above {int} up to {int} with {string} at {int} and {string} at {int}',
  function (this: World, after: number, revision: number, a: string, first: number, b: string, second: number) {
    this.store.apply({ revision, after, complete: false, changes: [change(a, first), change(b, second)] })
  })

When('the configuration gets {string} at {int}, then the value {string} for {string} at {int}',
  function (this: World, name: string, at: number, value: string, other: string, second: number) {
    push(this.store, change(name, at))
    push(this.store, { key: `service/${other}`, revision: second, value })
  })

Then('the configuration has {string} in force at revision {int}', function (this: World, name: string, at: number) {
  assert.equal(this.store.get(RecordKind.Service, name)?.timeoutMs, at)
})

Then('the configuration has no {string}', function (this: World, name: string) {
  assert.equal(this.store.get(RecordKind.Service, name), undefined)
})

Then('the configuration is complete up to revision {int} and has seen {int}',
  function (this: World, complete: number, seen: number) {
    assert.deepEqual([this.store.revision(), this.store.highestSeen()], [complete, seen])
  })

function listProblems (store: Configuration): unknown[] {
  return store.problems().map((problem) => [problem.error.key, problem.error.kind, problem.revision, problem.inForce])
}

Then('the configuration reports {string} for {string} at {int} while {int} is in force',
  function (this: World, kind: string, name: string, at: number, inForce: number) {
    assert.deepEqual(listProblems(this.store), [[`service/${name}`, kind, at, inForce]])
  })

Then('a configuration store that applies a complete page of it has the same records in force and the same problems',
  function (this: World) {
    const other = createConfiguration()
    other.apply(this.store.createPageSince(0))
    assert.deepEqual(other.list(RecordKind.Service), this.store.list(RecordKind.Service))
    assert.deepEqual(listProblems(other), listProblems(this.store))
  })

type Write = { name: string, kind: 'put' | 'bad' | 'delete' }
type Step =
  | { kind: 'watch', at: number, to: number }
  | { kind: 'list', at: number, to: number }
  | { kind: 'push', at: number, to: number }
  | { kind: 'ask', from: number, to: number, stale: boolean }

const names = ['a', 'b', 'c', 'd']
const storeCount = 3

function getStateAt (history: Write[], at: number): Map<string, ConfigChange> {
  const state = new Map<string, ConfigChange>()
  const values = { put: createValue, bad: () => '{"schema":9}', delete: () => null }
  history.slice(0, at).forEach(({ name, kind }, index) => {
    const key = `service/${name}`
    state.set(key, { key, revision: index + 1, value: values[kind](index + 1) })
  })
  return state
}

function createWatchPage (history: Write[], at: number, after: number): ConfigurationPage {
  const changes = [...getStateAt(history, at).values()].filter(({ revision }) => revision > after)
  return { revision: at, after, complete: false, changes }
}

function createListPage (history: Write[], at: number): ConfigurationPage {
  const changes = [...getStateAt(history, at).values()].filter(({ value }) => value !== null)
  return { revision: at, complete: true, changes }
}

function createCheckedStore (): Configuration {
  const store = createConfiguration({ maxTombstones: 2 })
  const inForce = new Map<string, number>()
  store.onChange(({ key, revision }) => {
    assert.ok(revision > (inForce.get(key) ?? 0), `${key} returned to revision ${revision}`)
    inForce.set(key, revision)
  })
  return store
}

/** Checks that a store has at least the state of the service at its own revision. */
function checkState (store: Configuration, history: Write[]): void {
  for (const [key, { revision, value }] of getStateAt(history, store.revision())) {
    const held = store.get(RecordKind.Service, key.slice('service/'.length))
    if (value === null) assert.ok(held === undefined || held.timeoutMs > revision, `${key} was deleted at revision ${revision}`)
    else if (value === createValue(revision)) assert.ok(getHeldRevision(store, key) >= revision, `${key} is older than ${revision}`)
  }
}

function getHeldRevision (store: Configuration, key: string): number {
  const held = store.createPageSince(0).changes.filter((change) => change.key === key).map(({ revision }) => revision)
  return Math.max(...held, held.length === 0 ? Infinity : 0)
}

function run (history: Write[], steps: Step[]): void {
  const all = Array.from({ length: storeCount }, createCheckedStore)
  for (const step of steps) {
    const store = all[step.to]!
    const before = store.revision()
    const at = 'at' in step ? step.at % (history.length + 1) : 0
    if (step.kind === 'watch') store.apply(createWatchPage(history, at, store.revision()))
    if (step.kind === 'list') store.apply(createListPage(history, at))
    if (step.kind === 'push' && at > 0) store.apply(createWatchPage(history, at, at - 1))
    if (step.kind === 'ask') store.apply(all[step.from]!.createPageSince(step.stale ? 0 : store.revision()))
    assert.ok(store.revision() >= before)
    checkState(store, history)
  }
  for (const store of all) store.apply(createWatchPage(history, history.length, store.revision()))
  for (const store of all) for (const other of all) store.apply(other.createPageSince(0))
  const final = getStateAt(history, history.length)
  for (const store of all) {
    assert.equal(store.revision(), history.length)
    for (const [key, { revision, value }] of final) {
      const held = store.get(RecordKind.Service, key.slice('service/'.length))
      if (value === null) assert.equal(held, undefined)
      if (value === createValue(revision)) assert.equal(held?.timeoutMs, revision)
    }
  }
}

Then('configuration stores converge on the service and never revert', () => {
  const at = fc.nat(30)
  const to = fc.nat(storeCount - 1)
  const write = fc.record({ name: fc.constantFrom(...names), kind: fc.constantFrom('put', 'put', 'bad', 'delete') })
  const step = fc.oneof(
    fc.record({ kind: fc.constant('watch'), at, to }),
    fc.record({ kind: fc.constant('list'), at, to }),
    fc.record({ kind: fc.constant('push'), at, to }),
    fc.record({ kind: fc.constant('ask'), from: to, to, stale: fc.boolean() })
  ) as fc.Arbitrary<Step>
  const history = fc.array(write, { minLength: 1, maxLength: 20 }) as fc.Arbitrary<Write[]>
  fc.assert(fc.property(history, fc.array(step, { maxLength: 30 }), run), { seed: 23, numRuns: 2000 })
})
