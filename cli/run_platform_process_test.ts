/**
 * Steps that run the processes of the platform as such, beside a stand-in store and worker.
 */
import assert from 'node:assert/strict'
import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request as httpRequest } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { buildConfiguration, startStore, startWorker, StoreMode } from '../testing/fleuve/mod.ts'
import { findFreePort } from '../testing/ports/mod.ts'
import { writePolicy } from './write_policy.ts'
import type { ChildProcess } from 'node:child_process'
import type { FakeStore, FakeWorker, WorkerMode } from '../testing/fleuve/mod.ts'

interface World {
  folder: string
  port: number
  platformStore: FakeStore
  platformWorker: FakeWorker
  platformEngines: FakeWorker[]
  stream: Promise<{ isComplete: boolean, body: string }>
  streams: Array<{ isComplete: boolean, body: string }>
  child: ChildProcess
  /** Starts the process again, with the same settings. */
  spawnProcess: () => void
  output: string
  exit: Promise<number | null>
  status: Promise<number>
}

const pollMs = 20
/** Timeout in milliseconds of the route for streams: longer than a process is frozen. */
const streamTimeoutMs = 30_000

async function until (fn: () => Promise<boolean> | boolean, withinMs: number, what: string): Promise<void> {
  const endMs = performance.now() + withinMs
  while (!(await fn())) {
    assert.ok(performance.now() < endMs, `${what} did not happen within ${withinMs} ms`)
    await new Promise((resolve) => setTimeout(resolve, pollMs))
  }
}

function settingsPath (world: World): string { return join(world.folder, 'node.json') }

function send (world: World, added: { [name: string]: string } = {}): Promise<number> {
  const headers = { Host: 'a.example', 'X-Request-Id': `p-${Math.random()}`, 'X-Request-Deadline-Ms': '4000', ...added }
  return new Promise((resolve) => {
    httpRequest({ host: '127.0.0.1', port: world.port, method: 'POST', path: '/unsafe/x', headers, agent: false }, (res) => {
      res.resume()
      resolve(res.statusCode ?? 0)
    }).on('error', () => resolve(0)).end()
  })
}

interface StartOptions {
  /** A signal that the process gets as it begins to listen. */
  signal?: NodeJS.Signals
  /** A signal that it gets while it loads its modules. */
  loadSignal?: NodeJS.Signals
}

async function start (world: World, kind: string, { signal, loadSignal }: StartOptions = {}): Promise<void> {
  world.folder = mkdtempSync(join(tmpdir(), 'platform-'))
  world.platformStore = await startStore()
  world.platformWorker = await startWorker({ id: 'w1', service: 'plain' })
  const { routes } = JSON.parse(buildConfiguration(1))
  const longer = routes.map((route: { name: string }) => route.name === 'resume' ? { ...route, timeout_ms: streamTimeoutMs } : route)
  world.platformStore.put('op/config', buildConfiguration(1, { routes: longer }))
  world.platformEngines = []
  for (const id of ['d1', 'd2']) {
    const engine = await startWorker({ id, service: 'llm', stage: 'decode', events: 30, eventMs: 50 })
    world.platformEngines.push(engine)
    world.platformStore.put(`servers/${id}`, engine.buildEntry())
  }
  world.platformStore.put('servers/w1', world.platformWorker.buildEntry())
  world.port = await findFreePort()
  const internalPort = await findFreePort()
  await findFreePort() // The port behind the internal one is in use as well.
  const settings = {
    node_name: 'node-1',
    ip: '127.0.0.1',
    zone: 'levis',
    zones: { levis: 'qc-est' },
    listen: kind === 'gateway' ? { front: `127.0.0.1:${world.port}`, ready: `127.0.0.1:${await findFreePort()}` } : {},
    internal_port_range: [internalPort, 65_000],
    heartbeat_ms: 1200,
    contracts: ['base', 'tenants'],
    app: world.platformWorker.address,
    platform: { address: world.platformStore.address },
    bounds: { grace_s: 5, drain_ms: 2500, budget_ratio: 0.2, budget_slack: 54, budget_window_s: 10, lease_ms: 3000 }
  }
  writeFileSync(settingsPath(world), JSON.stringify(settings))
  const policyFile = join(world.folder, 'policy.json')
  assert.equal(writePolicy('deploy/policy.jsonc', policyFile, { out: () => {}, err: console.error }), 0)
  const policy = JSON.parse(readFileSync(policyFile, 'utf8'))
  policy.metrics = { gatewayPort: await findFreePort(), sidecarPort: await findFreePort() }
  writeFileSync(policyFile, JSON.stringify(policy))
  // Some code of the process that throws outside of any request; SIGUSR2 has no other meaning there.
  const faults = `process.once('SIGUSR2', () => {
    process.once('SIGUSR2', () => { Promise.reject(new Error('unhandled')) })
    setImmediate(() => { throw new Error('uncaught') })
  })`
  // A signal that comes as soon as the process begins to listen at its addresses.
  const early = `import net from 'node:net'
    const listen = net.Server.prototype.listen
    net.Server.prototype.listen = function (...args) {
      net.Server.prototype.listen = listen
      process.kill(process.pid, '${signal ?? 'SIGCONT'}')
      return listen.apply(this, args)
    }`
  // A signal that comes as soon as the process loads a module of a library.
  const loading = `import Module from 'node:module'
    const load = Module._load
    Module._load = function (...args) {
      Module._load = load
      process.kill(process.pid, '${loadSignal ?? 'SIGCONT'}')
      return load.apply(this, args)
    }`
  const preloaded = loadSignal !== undefined ? loading : signal !== undefined ? early : faults
  const module = `data:text/javascript,${encodeURIComponent(preloaded)}`
  world.spawnProcess = () => {
    world.child = spawn(process.execPath, ['--import', module, 'dist/cli/platform_main.js', kind, policyFile], {
      env: { ...process.env, BRIARLOOM_NODE_FILE: settingsPath(world) }, stdio: ['ignore', 'pipe', 'pipe']
    })
    world.output = ''
    for (const stream of [world.child.stdout, world.child.stderr]) stream?.on('data', (chunk) => { world.output += String(chunk) })
    world.exit = new Promise((resolve) => world.child.once('exit', resolve))
  }
  world.spawnProcess()
  await until(() => world.output.includes('"worker":"w1"') || world.child.exitCode !== null || world.child.signalCode !== null, 5000, 'the first worker')
}

After({ tags: '@platform' }, async function (this: World) {
  this.child?.kill('SIGKILL')
  await this.exit
  await this.platformWorker?.close()
  for (const engine of this.platformEngines ?? []) await engine.close()
  await this.platformStore?.close()
  if (this.folder !== undefined) rmSync(this.folder, { recursive: true })
})

Given('a platform process {string} with a worker', async function (this: World, kind: string) { await start(this, kind) })

Given('a platform process {string} with a worker that gets {word} as soon as it listens',
  async function (this: World, kind: string, signal: NodeJS.Signals) { await start(this, kind, { signal }) })

Given('a platform process {string} with a worker that gets {word} while it loads its modules',
  async function (this: World, kind: string, loadSignal: NodeJS.Signals) { await start(this, kind, { loadSignal }) })

Given('the platform engines are {string}', function (this: World, mode: WorkerMode) {
  for (const engine of this.platformEngines) engine.setMode(mode)
})

Given('the platform worker is {string}', function (this: World, mode: WorkerMode) { this.platformWorker.setMode(mode) })

function hangUp (change: (path: string) => void): (world: World) => void {
  return (world) => {
    change(settingsPath(world))
    world.child.kill('SIGHUP')
  }
}

const events: { readonly [what: string]: (world: World) => Promise<void> | void } = {
  'a SIGHUP with a missing settings file': hangUp((path) => rmSync(path)),
  'a SIGHUP with a broken settings file': hangUp((path) => writeFileSync(path, '{"node_name":')),
  'a SIGHUP with a deeply nested settings file': hangUp((path) => writeFileSync(path, `${'['.repeat(100_000)}${']'.repeat(100_000)}`)),
  'a SIGHUP with an odd field': hangUp((path) => {
    const file = JSON.parse(readFileSync(path, 'utf8'))
    writeFileSync(path, JSON.stringify({ ...file, bounds: { ...file.bounds, grace_s: -1 } }))
  }),
  'an uncaught error': (world) => { world.child.kill('SIGUSR2') },
  async 'an unhandled rejection' (world) {
    world.child.kill('SIGUSR2')
    await until(() => world.output.includes('uncaught'), 1000, 'the first error')
    world.output = ''
    world.child.kill('SIGUSR2')
  }
}

When(/^the platform process meets (.*)$/, async function (this: World, what: string) { await events[what]?.(this) })

When('the platform process gets {word}', function (this: World, signal: NodeJS.Signals) { this.child.kill(signal) })

When('a request is in flight at the platform process, and {word} comes {int} times', async function (this: World, signal: NodeJS.Signals, times: number) {
  this.status = send(this)
  await until(() => this.platformWorker.listRequests().length > 0, 1000, 'the request')
  for (let i = 0; i < times; i++) {
    this.child.kill(signal)
    await new Promise((resolve) => setTimeout(resolve, 100))
  }
})

async function assertLogged (world: World, text: string): Promise<void> {
  await until(() => world.output.includes(text), 1500, `"${text}" in the log`)
}

Then('the platform process logs {string}', async function (this: World, text: string) { await assertLogged(this, text) })

Then('the platform process logs {string} and still answers {int}', async function (this: World, text: string, status: number) {
  await assertLogged(this, text)
  assert.equal(await send(this), status)
})

Then('the platform request gets {int}', async function (this: World, status: number) { assert.equal(await this.status, status) })

Then('the platform process exits with {int} within {int} ms', async function (this: World, code: number, ms: number) {
  const late = new Promise<string>((resolve) => setTimeout(() => resolve('no exit'), ms))
  assert.equal(await Promise.race([this.exit, late]), code)
})

interface ClientStream {
  ended: Promise<{ isComplete: boolean, body: string }>
  /** Returns what has come. */
  text: () => string
}

function beginStream (world: World, path: string): ClientStream {
  const headers = { Host: 'a.example', 'X-Request-Id': `p-stream-${path}`, 'X-Request-Deadline-Ms': String(streamTimeoutMs), 'X-Token-Counts': '100,40' }
  let body = ''
  const ended = new Promise<{ isComplete: boolean, body: string }>((resolve, reject) => {
    httpRequest({ host: '127.0.0.1', port: world.port, method: 'POST', path, headers, agent: false }, (res) => {
      res.on('data', (chunk) => { body += chunk })
      res.on('error', () => {})
      res.on('close', () => resolve({ isComplete: res.complete, body }))
    }).on('error', reject).end()
  })
  return { ended, text: () => body }
}

When('a stream that may go on elsewhere has begun at the platform process, which is frozen for {int} ms', { timeout: 30_000 }, async function (this: World, ms: number) {
  const { ended, text } = beginStream(this, '/resume/x')
  this.stream = ended
  await until(() => text().includes('id: 3'), 2000, 'event 3')
  this.child.kill('SIGSTOP')
  await new Promise((resolve) => setTimeout(resolve, ms))
  this.child.kill('SIGCONT')
})

Then('the platform stream is complete with {int} events, each once, of {int} run', async function (this: World, events: number, runs: number) {
  const { isComplete, body } = await this.stream
  assert.ok(isComplete, 'the stream is incomplete')
  assert.deepEqual([...body.matchAll(/^id: (\d+)$/gm)].map((found) => Number(found[1])), Array.from({ length: events }, (_, i) => i + 1))
  assert.equal(this.platformEngines.flatMap((engine) => engine.listRequests()).length, runs)
})

When('streams on {string} and {string} have begun at the platform process, which gets {word}',
  async function (this: World, first: string, second: string, signal: NodeJS.Signals) {
    const begun = [first, second].map((path) => beginStream(this, path))
    for (const { text } of begun) await until(() => text().includes('id: 2'), 2000, 'event 2')
    this.child.kill(signal)
    this.streams = await Promise.all(begun.map(({ ended }) => ended))
  })

Then('no platform stream is complete', function (this: World) {
  for (const { isComplete, body } of this.streams) assert.equal(isComplete, false, body)
})

function sendWithKey (world: World, key: string): Promise<number> { return send(world, { Authorization: `Token ${key}` }) }

function writeKeys (world: World, version: number, keys: string[]): void {
  world.platformStore.put('op/config', buildConfiguration(version, { tenants: [{ name: 'north', api_keys: keys }] }))
}

Given('version {int} of the platform rules has the key {string}', async function (this: World, version: number, key: string) {
  writeKeys(this, version, [key])
  await until(() => this.output.includes(`"version":${version},`), 2000, `version ${version}`)
  assert.deepEqual([await sendWithKey(this, key), await sendWithKey(this, 'other')], [200, 401])
})

const outages: { readonly [what: string]: (world: World) => () => Promise<void> | void } = {
  frozen (world) {
    world.child.kill('SIGSTOP')
    return () => { world.child.kill('SIGCONT') }
  },
  'cut off from the store' (world) {
    world.platformStore.setMode(StoreMode.Silent)
    return () => { world.platformStore.setMode(StoreMode.Up) }
  },
  killed (world) {
    world.child.kill('SIGKILL')
    return async () => {
      await world.exit
      world.spawnProcess()
    }
  }
}

When(/^version (\d+) of the platform rules takes the key "(.*)" away while the platform process is (.*) for (\d+) ms$/, { timeout: 20_000 },
  async function (this: World, version: string, key: string, what: string, ms: string) {
    const end = (outages[what] as (world: World) => () => Promise<void> | void)(this)
    writeKeys(this, Number(version), [`${key}-new`])
    await new Promise((resolve) => setTimeout(resolve, Number(ms)))
    await end()
  })

Then('a request with the key {string} gets {int} from the platform process within {int} ms, and then each time', { timeout: 20_000 },
  async function (this: World, key: string, status: number, ms: number) {
    await until(async () => await sendWithKey(this, key) === status, ms, `status ${status}`)
    for (let i = 0; i < 20; i++) assert.equal(await sendWithKey(this, key), status)
    assert.equal(await sendWithKey(this, `${key}-new`), 200)
    assert.ok(!this.output.includes(key), 'the key is in the output')
  })
