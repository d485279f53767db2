/**
 * Steps for keys that come and go, with two stand-in stores that hold the same items: one for the readers and one for the other processes.
 */
import assert from 'node:assert/strict'
import { PassThrough } from 'node:stream'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createLog } from '../log/mod.ts'
import { buildConfiguration, startStore, StoreMode } from '../testing/fleuve/mod.ts'
import { findFreePort } from '../testing/ports/mod.ts'
import { createSystemTimer } from '../timer/mod.ts'
import { createDirectory, shareView, syncRecords } from './mod.ts'
import type { FakeStore } from '../testing/fleuve/mod.ts'
import type { Timer } from '../timer/mod.ts'
import type { Directory } from './mod.ts'

interface World {
  keyStores: [FakeStore, FakeStore]
  keyProcesses: Array<{ directory: Directory, close (): Promise<void> }>
  keyReaders: string[]
  keySeed: string
  keyClock: Timer & { close (): void }
  keyLines: string[]
}

const pollMs = 10

async function sleep (ms: number): Promise<void> { await new Promise((resolve) => setTimeout(resolve, ms)) }

function writeKey (world: World, version: number, keys: unknown[]): void {
  const rules = buildConfiguration(version, { tenants: [{ name: 'north', api_keys: keys }] })
  for (const store of world.keyStores) store.put('op/config', rules)
}

async function startProcess (world: World, place: { reader?: string, seed?: string }): Promise<void> {
  const stream = new PassThrough().on('data', (chunk) => { world.keyLines.push(String(chunk)) })
  const log = createLog({ name: 'p', level: 'info', stream })
  const timer = world.keyClock
  const storeAddress = world.keyStores[place.reader === undefined ? 1 : 0].address
  const directory = createDirectory({ storeAddress, timer, log, random: Math.random, ruleParts: { hasOrganisations: true } })
  const records = await syncRecords({ directory, timer, log, seeds: [world.keySeed], ...(place.seed !== undefined && { address: place.seed }) })
  const view = await shareView({ directory, timer, log, readers: () => world.keyReaders, ...(place.reader !== undefined && { address: place.reader }) })
  world.keyProcesses.push({
    directory,
    async close () {
      await records.close()
      await view.close()
      await directory.close()
    }
  })
}

Given('a store of keys with {int} readers and {int} followers, whose version 1 has the key {string}',
  async function (this: World, readers: number, followers: number, key: string) {
    this.keyClock = createSystemTimer()
    this.keyStores = [await startStore(), await startStore()]
    this.keyProcesses = []
    this.keyLines = []
    this.keyReaders = []
    for (let i = 0; i < readers; i++) this.keyReaders.push(`127.0.0.1:${await findFreePort()}`)
    this.keySeed = `127.0.0.1:${await findFreePort()}`
    writeKey(this, 1, [key])
    for (const reader of this.keyReaders) await startProcess(this, { reader })
    await startProcess(this, { seed: this.keySeed })
    for (let i = 1; i < followers; i++) await startProcess(this, {})
    await waitFor(this, (directory) => knows(directory, key), 3000)
    // All watches wait, and the followers have found their readers.
    await sleep(1500)
  })

After(async function (this: World) {
  for (const one of this.keyProcesses ?? []) await one.close()
  for (const store of this.keyStores ?? []) await store.close()
  this.keyClock?.close()
})

function knows (directory: Directory, key: string): boolean { return directory.routeTable()?.findOrganisation(key)?.name === 'north' }

async function waitFor (world: World, isTrue: (directory: Directory) => boolean, ms: number): Promise<void> {
  const endMs = performance.now() + ms
  while (!world.keyProcesses.every(({ directory }) => isTrue(directory))) {
    const versions = world.keyProcesses.map(({ directory }) => directory.routeTable()?.version)
    assert.ok(performance.now() < endMs, `not within ${ms} ms: versions ${versions.join(', ')}`)
    await sleep(pollMs)
  }
}

When('the store of keys is silent to the followers', function (this: World) { this.keyStores[1].setMode(StoreMode.Silent) })

When('version {int} of the store of keys has the key {string}', function (this: World, version: number, key: string) { writeKey(this, version, [key]) })

When('version {int} of the store of keys has the key {string} in a malformed list', function (this: World, version: number, key: string) {
  writeKey(this, version, [key, 7])
})

When('one more process of the store of keys starts', async function (this: World) { await startProcess(this, {}) })

When('version {int} of the store of keys has the key {string} and the store comes back from a copy of version 1',
  async function (this: World, version: number, key: string) {
    const copies = this.keyStores.map((store) => store.copy())
    writeKey(this, version, [key])
    await waitFor(this, (directory) => knows(directory, key), 4000)
    for (const [i, store] of this.keyStores.entries()) store.restore(copies[i] as ReturnType<FakeStore['copy']>)
  })

Then('all processes of the store of keys know {string} and not {string} within {int} ms', async function (this: World, known: string, gone: string, ms: number) {
  await waitFor(this, (directory) => knows(directory, known) && !knows(directory, gone), ms)
})

Then('no process of the store of keys knows {string} for {int} ms', async function (this: World, key: string, ms: number) {
  const endMs = performance.now() + ms
  while (performance.now() < endMs) {
    for (const { directory } of this.keyProcesses) assert.ok(!knows(directory, key), `a process knows ${key}`)
    await sleep(pollMs)
  }
})

Then('the processes of the store of keys have logged {string} and no key', function (this: World, text: string) {
  const lines = this.keyLines.join('')
  assert.ok(lines.includes(text))
  assert.ok(!/k-\d/.test(lines), lines)
})
