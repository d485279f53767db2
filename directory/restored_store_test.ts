/**
 * Steps for a store that goes back to an older copy, with processes that read it and processes that follow these.
 */
import assert from 'node:assert/strict'
import { createServer } from 'node:http'
import { PassThrough } from 'node:stream'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { WorkerState } from '../core/fleet/mod.ts'
import { createLog } from '../log/mod.ts'
import { buildConfiguration, startStore, StoreMode } from '../testing/fleuve/mod.ts'
import { findFreePort } from '../testing/ports/mod.ts'
import { createSystemTimer } from '../timer/mod.ts'
import { connect, MessageKind } from '../wire/mod.ts'
import { createDirectory, shareView, syncRecords } from './mod.ts'
import type { AddressInfo } from 'node:net'
import type { FakeStore, StoreCopy } from '../testing/fleuve/mod.ts'
import type { Timer } from '../timer/mod.ts'
import type { Directory } from './mod.ts'

interface Process {
  directory: Directory
  /** Versions in the order in which they came into force. */
  versions: number[]
  close (): Promise<void>
}

interface World {
  /** Two servers of one store, for the readers and for the followers, so that one group can be refused. */
  restorable: [FakeStore, FakeStore]
  restorableCopies: StoreCopy[]
  restorableTimer: Timer & { close (): void }
  restorableReaders: string[]
  restorableSeed: string
  restorableProcesses: Process[]
  restorableLog: string[]
  /** Number of times that each worker has written its entry. */
  beats: Map<string, number>
}

const pollMs = 10

async function sleep (ms: number): Promise<void> { await new Promise((resolve) => setTimeout(resolve, ms)) }

async function until (fn: () => boolean, withinMs: number, what: () => string): Promise<void> {
  const endMs = performance.now() + withinMs
  while (!fn()) {
    assert.ok(performance.now() < endMs, `not within ${withinMs} ms: ${what()}`)
    await sleep(pollMs)
  }
}

function names (list: string): string[] { return list.split(',').filter((name) => name !== '') }

async function startProcess (world: World, place: { reader?: string, seed?: string }): Promise<void> {
  const stream = new PassThrough()
  stream.on('data', (chunk) => { world.restorableLog.push(String(chunk)) })
  const log = createLog({ name: 'p', level: 'info', stream })
  const versions: number[] = []
  const timer = world.restorableTimer
  const directory = createDirectory({
    storeAddress: world.restorable[place.reader === undefined ? 1 : 0].address, timer, log, random: Math.random, onRules: (table) => { versions.push(table.version) }
  })
  const own = place.seed === undefined ? {} : { address: place.seed }
  const records = await syncRecords({ directory, timer, log, seeds: [world.restorableSeed], ...own })
  const view = await shareView({
    directory, timer, log, readers: () => world.restorableReaders, ...(place.reader === undefined ? {} : { address: place.reader })
  })
  world.restorableProcesses.push({
    directory,
    versions,
    async close () {
      await records.close()
      await view.close()
      await directory.close()
    }
  })
}

function putItem (world: World, key: string, value: string): void { for (const store of world.restorable) store.put(key, value) }

function copyStore (world: World): void { world.restorableCopies = world.restorable.map((store) => store.copy()) }

function restoreStore (world: World): void { world.restorable.forEach((store, i) => { store.restore(world.restorableCopies[i] as StoreCopy) }) }

function setMode (world: World, mode: StoreMode): void { for (const store of world.restorable) store.setMode(mode) }

function writeVersion (world: World, version: number): void { putItem(world, 'op/config', buildConfiguration(version)) }

function writeWorkers (world: World, ids: string[], state = 'ready'): void {
  for (const id of ids) {
    const sequence = (world.beats.get(id) ?? 0) + 1
    world.beats.set(id, sequence)
    putItem(world, `servers/${id}`, JSON.stringify({
      service: 'plain', address: `10.0.0.1:${80 + id.length}`, zone: 'levis', version: 'v1', slots: 6, state, cold_remaining_ms: 0, sequence, born: 1
    }))
  }
}

function isReady (directory: Directory, id: string): boolean { return directory.fleet.get(id)?.entry.state === WorkerState.Ready }

function describeProcesses (world: World): string {
  return world.restorableProcesses.map(({ directory }) =>
    `version ${directory.routeTable()?.version}, era ${directory.storeEra()}, workers ${directory.fleet.all().map(({ entry }) => `${entry.id} ${entry.state}`).join(', ')}`).join('; ')
}

Given('a restorable store with version {int}, {int} readers and {int} followers', async function (this: World, version: number, readers: number, followers: number) {
  this.restorableTimer = createSystemTimer()
  this.restorable = [await startStore(), await startStore()]
  this.restorableReaders = []
  this.restorableProcesses = []
  this.restorableLog = []
  this.beats = new Map()
  for (let i = 0; i < readers; i++) this.restorableReaders.push(`127.0.0.1:${await findFreePort()}`)
  this.restorableSeed = `127.0.0.1:${await findFreePort()}`
  writeVersion(this, version)
  for (const reader of this.restorableReaders) await startProcess(this, { reader })
  await startProcess(this, { seed: this.restorableSeed })
  for (let i = 1; i < followers; i++) await startProcess(this, {})
  await until(() => this.restorableProcesses.every(({ directory }) => directory.hasReadStore()), 2000, () => 'the first read')
  // All watches wait, and the followers have found their readers.
  await sleep(1500)
})

After(async function (this: World) {
  for (const one of this.restorableProcesses ?? []) await one.close()
  for (const store of this.restorable ?? []) await store.close()
  this.restorableTimer?.close()
})

Given('the workers {string} in the restorable store', async function (this: World, list: string) {
  writeWorkers(this, names(list))
  await until(() => this.restorableProcesses.every(({ directory }) => names(list).every((id) => isReady(directory, id))), 1000, () => list)
})

When('the restorable store is copied', function (this: World) { copyStore(this) })

When('the restorable store is copied and then confirms versions {int} to {int}', async function (this: World, first: number, last: number) {
  copyStore(this)
  for (let version = first; version <= last; version++) writeVersion(this, version)
  await sleep(50)
})

When('the restorable store comes back from the copy, after an outage', async function (this: World) {
  setMode(this, StoreMode.Unavailable)
  await sleep(400)
  restoreStore(this)
  setMode(this, StoreMode.Up)
})

When('the restorable store comes back from the copy, while the watches wait', async function (this: World) {
  // The watches that the last writes have woken wait again.
  await sleep(200)
  restoreStore(this)
})

When('version {int} is written to the restorable store', function (this: World, version: number) { writeVersion(this, version) })

When('version {int} is written to the restorable store again', function (this: World, version: number) { writeVersion(this, version) })

When('the workers {string} are written to the restorable store', function (this: World, list: string) { writeWorkers(this, names(list)) })

When('the workers {string} and version {int} and {int} items more are written to the restorable store',
  function (this: World, list: string, version: number, items: number) {
    writeWorkers(this, names(list))
    writeVersion(this, version)
    for (let i = 0; i < items; i++) putItem(this, `other/${i}`, '')
    writeWorkers(this, ['last'])
  })

When('the worker {string} is draining and the worker {string} is removed from the restorable store', async function (this: World, draining: string, gone: string) {
  writeWorkers(this, [draining], 'draining')
  for (const store of this.restorable) store.remove(`servers/${gone}`)
  await until(() => this.restorableProcesses.every(({ directory }) => !isReady(directory, draining) && !isReady(directory, gone)), 500, () => 'the changes')
})

When('the worker {string} is removed from the restorable store', function (this: World, id: string) {
  for (const store of this.restorable) store.remove(`servers/${id}`)
})

When('an entry of the worker {string} from before is written to the restorable store', function (this: World, id: string) {
  this.beats.set(id, 0)
  writeWorkers(this, [id])
})

When('the restorable store falls silent', function (this: World) { setMode(this, StoreMode.Silent) })

Then('no process of the restorable store answers one that has read nothing', function (this: World) {
  for (const { directory } of this.restorableProcesses) assert.equal(directory.changesAfter([], 0), undefined)
})

When('a process starts at the restorable store', async function (this: World) { await startProcess(this, {}) })

When('a process starts at the restorable store with the records of the first one', async function (this: World) {
  await startProcess(this, {})
  const [first, last] = [this.restorableProcesses[0] as Process, this.restorableProcesses.at(-1) as Process]
  assert.ok(!last.directory.hasReadStore())
  last.directory.applyRecords(first.directory.records())
  await until(() => last.directory.hasReadStore(), 1000, () => 'the first read')
})

Given('a restorable store that answers for the workers, of which it lists none, and not yet for the rules', async function (this: World) {
  let hasListed = false
  const server = createServer((req, res) => {
    if (req.url !== '/v1/kv-range?prefix=servers%2F') return
    hasListed = true
    res.writeHead(200, { 'Store-Era': '1' }).end(JSON.stringify({ items: [], has_more: false, store_revision: 20 }))
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  this.restorableTimer = createSystemTimer()
  const log = createLog({ name: 'p', level: 'info', stream: new PassThrough().resume() })
  const storeAddress = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const directory = createDirectory({ storeAddress, timer: this.restorableTimer, log, random: Math.random })
  this.restorableProcesses = [{
    directory,
    versions: [],
    async close () {
      server.closeAllConnections()
      server.close()
      await directory.close()
    }
  }]
  await until(() => hasListed, 1000, () => 'the read of the workers')
  await sleep(50)
})

When('the reader of the restorable store is told of the worker {string} by another process', function (this: World, id: string) {
  const entry = { service: 'plain', address: '10.0.0.1:80', zone: 'levis', version: 'v1', slots: 6, state: 'ready', cold_remaining_ms: 0, sequence: 1, born: 1 }
  this.restorableProcesses[0]?.directory.applyRecords([{ key: `servers/${id}`, era: 1, revision: 12, value: JSON.stringify(entry) }])
})

Then('the reader of the restorable store knows no worker', function (this: World) { assert.deepEqual(this.restorableProcesses[0]?.directory.fleet.all(), []) })

When('the restorable store refuses the followers', function (this: World) { this.restorable[1].setMode(StoreMode.Unavailable) })

When('the restorable store names the era {string} for {int} ms', async function (this: World, text: string, ms: number) {
  for (const store of this.restorable) store.setEraText(text)
  putItem(this, 'servers/odd', '')
  await sleep(ms)
  for (const store of this.restorable) store.setEraText(undefined)
})

When('one answer of the restorable store names the era {string}', async function (this: World, text: string) {
  for (const store of this.restorable) store.setEraText(text, 1)
  putItem(this, 'servers/odd', '')
  await sleep(100)
})

When('{int} ms pass at the restorable store', async function (ms: number) { await sleep(ms) })

Then('all processes of the restorable store know version {int} within {int} ms', async function (this: World, version: number, ms: number) {
  await until(() => this.restorableProcesses.every(({ directory }) => directory.routeTable()?.version === version), ms, () => describeProcesses(this))
})

Then('no process of the restorable store has gone back to a lower version', function (this: World) {
  for (const { versions } of this.restorableProcesses) assert.deepEqual(versions, [...versions].sort((a, b) => a - b))
})

Then('all processes of the restorable store know the workers {string} within {int} ms', async function (this: World, list: string, ms: number) {
  await until(() => this.restorableProcesses.every(({ directory }) => names(list).every((id) => isReady(directory, id))), ms, () => describeProcesses(this))
})

Then('no process of the restorable store knows the worker {string} within {int} ms', async function (this: World, id: string, ms: number) {
  await until(() => this.restorableProcesses.every(({ directory }) => directory.fleet.get(id) === undefined), ms, () => describeProcesses(this))
})

Then('for {int} ms all processes of the restorable store know the workers {string} as ready and {string} as not',
  async function (this: World, ms: number, ready: string, not: string) {
    const endMs = performance.now() + ms
    while (performance.now() < endMs) {
      for (const { directory } of this.restorableProcesses) {
        const isAsTold = names(ready).every((id) => isReady(directory, id)) && !names(not).some((id) => isReady(directory, id))
        assert.ok(isAsTold, `with ${Math.round(endMs - performance.now())} ms left: ${describeProcesses(this)}`)
      }
      await sleep(pollMs)
    }
  })

Then('a process of the restorable store has logged {string}', function (this: World, text: string) {
  assert.ok(this.restorableLog.some((line) => line.includes(text)), 'no line has this text')
})

Then('in {int} ms a follower without eras hears nothing from a reader of the restorable store, and one with eras does', async function (this: World, ms: number) {
  const reader = this.restorableReaders[0] as string
  const heard = { without: 0, with: 0 }
  const [without, withEras] = [(await connect({ address: reader })).unwrap(), (await connect({ address: reader })).unwrap()]
  without.onMessage(() => { heard.without++ })
  withEras.onMessage(() => { heard.with++ })
  without.send({ kind: MessageKind.ViewRequest, after: [1, 1] })
  withEras.send({ kind: MessageKind.ViewRequest, after: [1, 1], era: 1 })
  await sleep(ms)
  without.close()
  withEras.close()
  assert.equal(heard.without, 0)
  assert.ok(heard.with >= 2, `it heard ${heard.with} messages`)
})
