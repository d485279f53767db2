/**
 * Steps for processes that follow the readers of the store, with two stand-in stores that hold the same items: one for each group of processes.
 */
import assert from 'node:assert/strict'
import { PassThrough } from 'node:stream'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createServer, connect as connectTcp } from 'node:net'
import { createLog } from '../log/mod.ts'
import { createSystemTimer } from '../timer/mod.ts'
import { buildConfiguration, startStore, StoreMode } from '../testing/fleuve/mod.ts'
import { findFreePort } from '../testing/ports/mod.ts'
import { createDirectory, shareView, syncRecords } from './mod.ts'
import type { AddressInfo, Server, Socket } from 'node:net'
import type { Worker } from '../core/fleet/mod.ts'
import type { FakeStore } from '../testing/fleuve/mod.ts'
import type { Timer } from '../timer/mod.ts'
import type { Log } from '../log/mod.ts'
import type { Directory, RecordSync, ViewSharing } from './mod.ts'

interface Process {
  directory: Directory
  view: ViewSharing
  isReader: boolean
}

interface World {
  viewStores: FakeStore[]
  processes: Process[]
  viewTimer: Timer & { close (): void }
  readerAddresses: string[]
  countedFrom: number[]
  slowLink?: SlowLink
  slowFollower?: Process
  /** Time in milliseconds at which the store has taken the word that a worker leaves, and the worker as each process knows it. */
  leaving?: { atMs: number, workers: Map<Process, Worker> }
  seedAddress?: string
  syncs?: RecordSync[]
}

/** Stands before the readers and passes their bytes on no faster than a link carries them, all of them together. */
interface SlowLink {
  addresses: string[]
  /** Returns the number of bytes that were passed on. */
  carried (): number
  close (): void
}

async function sleep (ms: number): Promise<void> { await new Promise((resolve) => setTimeout(resolve, ms)) }

const pollMs = 10

async function until (fn: () => boolean, withinMs: number, what: string): Promise<void> {
  const endMs = performance.now() + withinMs
  while (!fn()) {
    assert.ok(performance.now() < endMs, `${what} did not happen within ${withinMs} ms`)
    await sleep(pollMs)
  }
}

function entryOf (id: string): string {
  return JSON.stringify({
    service: 'plain', address: `10.0.0.1:${id.length}`, zone: 'levis', version: 'v1', slots: 6, state: 'ready', cold_remaining_ms: 0, sequence: 0, born: 1
  })
}

function createSilentLog (): Log { return createLog({ name: 'p', level: 'info', stream: new PassThrough().resume() }) }

/** Factor that spreads numbers over 32 bits, so that the prefixes of routes look random. */
const spreadFactor = 2_654_435_761

function buildLargeConfiguration (version: number, moreRoutes: number): string {
  const { routes } = JSON.parse(buildConfiguration(version))
  const more = Array.from({ length: moreRoutes }, (_, i) => ({ ...routes[0], name: `r-${i}`, prefix: `/p${(i * spreadFactor % 2 ** 32).toString(36)}/` }))
  return buildConfiguration(version, { routes: [...routes, ...more] })
}

const linkTickMs = 10

async function startSlowLink (readers: readonly string[], bytesPerS: number): Promise<SlowLink> {
  const bytesPerTick = bytesPerS * linkTickMs / 1000
  const waiting = new Map<Socket, Buffer[]>()
  const sockets = new Set<Socket>()
  const servers: Server[] = []
  let carried = 0

  /** Passes on up to `most` bytes of what waits for a socket, and returns their number. */
  function carry (socket: Socket, most: number): number {
    const [first, ...others] = waiting.get(socket) ?? []
    if (first === undefined) return 0
    const size = Math.min(first.length, most)
    socket.write(first.subarray(0, size))
    const rest = size < first.length ? [first.subarray(size), ...others] : others
    if (rest.length > 0) waiting.set(socket, rest)
    else waiting.delete(socket)
    return size
  }

  const ticks = setInterval(() => {
    let left = bytesPerTick
    while (left > 0 && waiting.size > 0) {
      // Connections take turns, as the packets of a link do.
      const part = Math.ceil(left / waiting.size)
      for (const socket of [...waiting.keys()]) {
        const size = carry(socket, Math.min(part, left))
        carried += size
        left -= size
      }
    }
  }, linkTickMs)
  for (const reader of readers) {
    const server = createServer((near) => {
      const far = connectTcp(Number(reader.split(':')[1]), '127.0.0.1')
      for (const socket of [near, far]) {
        sockets.add(socket)
        socket.on('error', () => {})
        socket.on('close', () => { near.destroy(); far.destroy() })
      }
      near.pipe(far)
      near.on('close', () => { waiting.delete(near) })
      far.on('data', (bytes: Buffer) => { waiting.set(near, [...waiting.get(near) ?? [], bytes]) })
    })
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    servers.push(server)
  }
  return {
    addresses: servers.map((server) => `127.0.0.1:${(server.address() as AddressInfo).port}`),
    carried: () => carried,
    close () {
      clearInterval(ticks)
      for (const socket of sockets) socket.destroy()
      for (const server of servers) server.close()
    }
  }
}

async function startProcess (world: World, isReader: boolean, address?: string, onRules?: () => void, readers = world.readerAddresses, storeAddress?: string): Promise<void> {
  const log = createSilentLog()
  const store = world.viewStores[isReader ? 0 : 1] as FakeStore
  const directory = createDirectory({ storeAddress: storeAddress ?? store.address, timer: world.viewTimer, log, random: Math.random, ...(onRules && { onRules }) })
  const own = address === undefined ? {} : { address }
  const view = await shareView({ directory, timer: world.viewTimer, log, readers: () => readers, ...own })
  world.processes.push({ directory, view, isReader })
}

function writeToAll (world: World, key: string, value: string): void {
  for (const store of world.viewStores) store.put(key, value)
}

function removeFromAll (world: World, key: string): void {
  for (const store of world.viewStores) store.remove(key)
}

function knows (directory: Directory, id: string): boolean { return directory.fleet.get(id) !== undefined }

Given('{int} stores with the same items, {int} readers at the first one, and {int} followers at the second one',
  async function (this: World, stores: number, readers: number, followers: number) {
    this.viewTimer = createSystemTimer()
    this.viewStores = await Promise.all(Array.from({ length: stores }, () => startStore()))
    this.processes = []
    this.readerAddresses = []
    for (let i = 0; i < readers; i++) this.readerAddresses.push(`127.0.0.1:${await findFreePort()}`)
    writeToAll(this, 'op/config', buildConfiguration(1))
    for (const address of this.readerAddresses) await startProcess(this, true, address)
    for (let i = 0; i < followers; i++) await startProcess(this, false)
    await until(() => this.processes.every(({ directory }) => directory.hasReadStore()), 2000, 'the first read')
  })

After(async function (this: World) {
  for (const sync of this.syncs ?? []) await sync.close()
  for (const { directory, view } of this.processes ?? []) {
    await view.close()
    await directory.close()
  }
  this.slowLink?.close()
  for (const store of this.viewStores ?? []) await store.close()
  this.viewTimer?.close()
})

Given('{int} more view followers', async function (this: World, count: number) {
  for (let i = 0; i < count; i++) await startProcess(this, false)
})

Given('a view process whose receiver of rules throws', async function (this: World) {
  await startProcess(this, false, undefined, () => { throw new Error('receiver of rules') })
})

When('{int} entries of {int} characters that name no worker are written to the view stores', function (this: World, count: number, length: number) {
  for (let i = 0; i < count; i++) writeToAll(this, `servers/odd-${i}`, 'x'.repeat(length))
})

Given('the worker {string} in the view stores', function (this: World, id: string) { writeToAll(this, `servers/${id}`, entryOf(id)) })

Given('the workers {string} in the view stores, of which {string} has the key {string}', function (this: World, ids: string, odd: string, key: string) {
  for (const store of this.viewStores) store.corrupt(`servers/${odd}`, { key })
  for (const id of ids.split(', ')) writeToAll(this, `servers/${id}`, entryOf(id))
})

Given('the workers {string} in the view stores, of which {string} has a key with a lone surrogate', function (this: World, ids: string, odd: string) {
  for (const store of this.viewStores) store.corrupt(`servers/${odd}`, { key: `servers/${odd}\ud800` })
  for (const id of ids.split(', ')) writeToAll(this, `servers/${id}`, entryOf(id))
})

When('the item of {string} has the revision {float} and the view stores forget their history', function (this: World, id: string, revision: number) {
  for (const store of this.viewStores) {
    store.corrupt(`servers/${id}`, { revision })
    store.compact()
  }
})

When('{int} ms pass at the view', async function (ms: number) { await sleep(ms) })

When('the view calls are counted from now on', function (this: World) {
  this.countedFrom = this.viewStores.map((store) => store.listCalls().length)
})

When('version {int} and the worker {string} are written to the view stores', function (this: World, version: number, id: string) {
  writeToAll(this, 'op/config', buildConfiguration(version))
  writeToAll(this, `servers/${id}`, entryOf(id))
})

When('the worker {string} is removed from the view stores', function (this: World, id: string) { removeFromAll(this, `servers/${id}`) })

When(/^the worker "([^"]*)" (drains|is removed) in the view stores$/, function (this: World, id: string, what: string) {
  const workers = new Map(this.processes.flatMap((process) => {
    const worker = process.directory.fleet.get(id)
    return worker === undefined ? [] : [[process, worker] as const]
  }))
  this.leaving = { atMs: this.viewTimer.now(), workers }
  if (what === 'drains') writeToAll(this, `servers/${id}`, entryOf(id).replace('"ready"', '"draining"'))
  else removeFromAll(this, `servers/${id}`)
})

Then('all view followers know within {int} ms that {string} leaves, and count from at most {int} ms before the store\'s answer on',
  async function (this: World, ms: number, id: string, earlyMs: number) {
    const { atMs, workers } = this.leaving ?? assert.fail('no worker leaves')
    const followers = this.processes.filter(({ isReader }) => !isReader).map((process) => workers.get(process) ?? assert.fail(`a follower does not know ${id}`))
    const sinceMs = ({ drainingSinceMs, goneSinceMs }: Worker): number | undefined => drainingSinceMs ?? goneSinceMs
    await until(() => followers.every((worker) => sinceMs(worker) !== undefined), ms, `the leaving of ${id}`)
    for (const worker of followers) {
      const afterMs = (sinceMs(worker) as number) - atMs
      assert.ok(afterMs <= 0 && afterMs >= -earlyMs, `it counts from ${Math.round(afterMs)} ms after the store's answer on`)
    }
  })

When('the worker {string} is removed from the view stores while they forget their history', function (this: World, id: string) {
  for (const store of this.viewStores) store.setMode(StoreMode.Silent)
  removeFromAll(this, `servers/${id}`)
  for (const store of this.viewStores) {
    store.compact()
    store.setMode(StoreMode.Up)
  }
})

When('the second view store is {string}', function (this: World, mode: StoreMode) { this.viewStores[1]?.setMode(mode) })

When('both view stores are {string} for {int} ms and lose the entry of {string} meanwhile',
  async function (this: World, mode: StoreMode, ms: number, id: string) {
    for (const store of this.viewStores) store.setMode(mode)
    await sleep(ms)
    removeFromAll(this, `servers/${id}`)
    for (const store of this.viewStores) store.setMode(StoreMode.Up)
  })

const faults: { readonly [what: string]: (world: World) => Promise<void> | void } = {
  async killed (world) {
    for (const { directory, view, isReader } of world.processes) {
      if (!isReader) continue
      await view.close()
      await directory.close()
    }
  },
  'cut off by the store': (world) => world.viewStores[0]?.setMode(StoreMode.Silent),
  'refused by the store': (world) => world.viewStores[0]?.setMode(StoreMode.Unavailable)
}

When(/^all view readers are (.+)$/, async function (this: World, what: string) { await faults[what]?.(this) })

When('the view readers are killed, the worker {string} is removed, and the readers start again after {int} ms',
  async function (this: World, id: string, ms: number) {
    const readers = this.processes.filter(({ isReader }) => isReader)
    this.processes = this.processes.filter(({ isReader }) => !isReader)
    for (const { directory, view } of readers) {
      await view.close()
      await directory.close()
    }
    removeFromAll(this, `servers/${id}`)
    await sleep(ms)
    for (const address of this.readerAddresses) await startProcess(this, true, address)
  })

function isUpToDate (processes: Process[], version: number, id: string): boolean {
  return processes.every(({ directory }) => directory.routeTable()?.version === version && knows(directory, id))
}

Then('all view processes know version {int} and the worker {string} within {int} ms', async function (this: World, version: number, id: string, ms: number) {
  await until(() => isUpToDate(this.processes, version, id), ms, `version ${version}`)
})

Then('all view followers know version {int} and the worker {string} within {int} ms', async function (this: World, version: number, id: string, ms: number) {
  await until(() => isUpToDate(this.processes.filter(({ isReader }) => !isReader), version, id), ms, `version ${version}`)
})

Then('no view process knows the worker {string} within {int} ms', async function (this: World, id: string, ms: number) {
  await until(() => this.processes.every(({ directory }) => !knows(directory, id)), ms, `the removal of ${id}`)
})

Then('all view processes know the worker {string} for {int} ms more', async function (this: World, id: string, ms: number) {
  const endMs = performance.now() + ms
  while (performance.now() < endMs) {
    const lacking = this.processes.filter(({ directory }) => !knows(directory, id)).map(({ isReader }) => isReader ? 'reader' : 'follower')
    assert.equal(lacking.length, 0, `${id} is gone at ${lacking.join(', ')} after ${Math.round(ms - (endMs - performance.now()))} ms`)
    await sleep(pollMs)
  }
})

function countCalls (world: World, index: number): number {
  return (world.viewStores[index]?.listCalls().length ?? 0) - (world.countedFrom[index] ?? 0)
}

Then('the second view store has got {int} calls', function (this: World, calls: number) { assert.equal(countCalls(this, 1), calls) })

Then('the first view store has got at most {int} calls', function (this: World, calls: number) {
  assert.ok(countCalls(this, 0) <= calls, `${countCalls(this, 0)} calls`)
})

Then('the second view store has got at most {int} calls', function (this: World, calls: number) {
  assert.ok(countCalls(this, 1) <= calls, `${countCalls(this, 1)} calls`)
})

Given('a view follower whose link carries {int} bytes a second', async function (this: World, bytesPerS: number) {
  this.slowLink = await startSlowLink(this.readerAddresses, bytesPerS)
  await startProcess(this, false, undefined, undefined, this.slowLink.addresses)
  this.slowFollower = this.processes.at(-1) as Process
})

When('version {int} with {int} routes more is written to the view stores, and the entry of a worker each {int} ms for {int} ms',
  async function (this: World, version: number, count: number, eachMs: number, forMs: number) {
    writeToAll(this, 'op/config', buildLargeConfiguration(version, count))
    for (let passedMs = 0; passedMs < forMs; passedMs += eachMs) {
      writeToAll(this, 'servers/busy', entryOf(`busy-${passedMs}`))
      await sleep(eachMs)
    }
  })

Then('the view follower with the slow link knows version {int} within {int} ms more', async function (this: World, version: number, ms: number) {
  const link = this.slowLink
  await until(() => this.slowFollower?.directory.routeTable()?.version === version, ms, `version ${version}, after ${link?.carried() ?? 0} bytes,`)
})

Then('it was sent at most {int} bytes', function (this: World, bytes: number) {
  assert.ok((this.slowLink?.carried() ?? 0) <= bytes, `${this.slowLink?.carried() ?? 0} bytes`)
})

async function startSlowReader (world: World): Promise<void> {
  const [store] = world.viewStores
  if (store === undefined || world.slowLink === undefined) return
  await startProcess(world, false, undefined, undefined, [], world.slowLink.addresses[0])
  world.slowFollower = world.processes.at(-1) as Process
}

Given('a view process without readers whose link to the store carries {int} bytes a second', async function (this: World, bytesPerS: number) {
  this.slowLink = await startSlowLink(this.viewStores.slice(0, 1).map(({ address }) => address), bytesPerS)
  await startSlowReader(this)
})

const moments: { readonly [when: string]: (world: World) => Promise<void> } = {
  'while it watches': async () => {},
  async 'while it has just failed' (world) {
    world.viewStores[0]?.setMode(StoreMode.Unavailable)
    await sleep(300)
    world.viewStores[0]?.setMode(StoreMode.Up)
  },
  async 'while it has just started' (world) { await startSlowReader(world) }
}

When(/^version (\d+) with (\d+) routes more is written to the view stores, (while .+)$/, async function (this: World, version: string, count: string, when: string) {
  writeToAll(this, 'op/config', buildLargeConfiguration(Number(version), Number(count)))
  await moments[when]?.(this)
})

Then('the view process with the slow link knows version {int} within {int} ms more', async function (this: World, version: number, ms: number) {
  await until(() => this.slowFollower?.directory.routeTable()?.version === version, ms, `version ${version}, after ${this.slowLink?.carried() ?? 0} bytes,`)
})

Given('a view process that gives its records to others', async function (this: World) {
  await startProcess(this, false)
  this.seedAddress = `127.0.0.1:${await findFreePort()}`
  const { directory } = this.processes.at(-1) as Process
  this.syncs = [await syncRecords({ directory, timer: this.viewTimer, log: createSilentLog(), seeds: [], address: this.seedAddress })]
})

When('a process starts whose link to three such seeds carries {int} bytes a second, while the store is away', async function (this: World, bytesPerS: number) {
  this.viewStores[1]?.setMode(StoreMode.Silent)
  const seed = this.seedAddress ?? assert.fail('no seed')
  this.slowLink = await startSlowLink([seed, seed, seed], bytesPerS)
  await startProcess(this, false, undefined, undefined, [])
  this.slowFollower = this.processes.at(-1) as Process
  const { directory } = this.slowFollower
  this.syncs?.push(await syncRecords({ directory, timer: this.viewTimer, log: createSilentLog(), seeds: this.slowLink.addresses }))
})
